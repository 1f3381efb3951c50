package role

import (
	"math/rand/v2"
	"time"

	"dogwoodline.example/quota"
	"dogwoodline.example/quota/limiter"
	"dogwoodline.example/route"
)

// newQuotas returns the limiter of the organisations' requests, which has no limits until
// the configuration is known.
func (p *process) newQuotas() *limiter.Limiter {
	bounds := quota.Bounds{Window: p.host.QuotaWindow, Overage: p.host.QuotaOverage, Slack: p.host.QuotaSlack}
	quotas := limiter.New(p.host.FrontAddress, bounds, rand.Uint64(), time.Now())
	for name, value := range quotas.Gauges() {
		p.group.RegisterGauge(name, value)
	}
	return quotas
}

// quotaLimits returns the limits of the organisations in a configuration, by name.
func quotaLimits(table *route.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for name, o := range table.Organisations {
		if o.RatePerSecond > 0 {
			limits[name] = quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst}
		}
	}
	return limits
}
