package gateway

import (
	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/route/fairshare"
)

const (
	// admissionThreshold is the utilization at which the least urgent routes
	// admit no new programs: the model servers have no free capacity.
	admissionThreshold = 1.0
	// priorityHeadroom is added to the threshold for the most urgent routes
	// (priority 0). Routes of priority p get priorityHeadroom/(1+p).
	priorityHeadroom = 0.2
	// callTokensWeight is the weight of a new sample in the exponential moving
	// average of tokens per call, which thus covers about the last 20 calls.
	callTokensWeight = 0.05
)

// admission decides whether a new program may start. It admits whole programs
// and not single calls: when the model servers are full, programs that have
// started take precedence, because more concurrent programs would only evict
// each other's prompts from the KV cache. Only the scheduler goroutine may use
// it.
type admission struct {
	meanCallTokens map[string]float64 // moving average by service name
}

// observe records the number of KV cache tokens that a call does not share with
// other calls.
func (a *admission) observe(service string, tokens int) {
	if mean := a.meanCallTokens[service]; mean > 0 {
		a.meanCallTokens[service] = mean + callTokensWeight*(float64(tokens)-mean)
	} else {
		a.meanCallTokens[service] = float64(tokens)
	}
}

// utilization estimates the fraction of the model servers' capacity that
// running calls use. Clients choose fronts at random, so each front sees about
// an equal share of the calls: the calls of this front are multiplied by the
// number of fronts.
func (a *admission) utilization(f *fleet.Fleet, service route.Service, fronts int) float64 {
	utilization, _ := a.load(f, service, fronts)
	return utilization
}

// load returns the utilization, and how much of it one call of this front stands for.
func (a *admission) load(f *fleet.Fleet, service route.Service, fronts int) (utilization, step float64) {
	running, capacity := f.Occupancy(service.Name, a.callsInMemory(service))
	if capacity == 0 {
		return 0, 0
	}
	step = float64(max(1, fronts)) / capacity
	return float64(running) * step, step
}

// fairnessMargin is the part of the utilization that is left free for other organisations
// by one that has had more than its share, at least one call of this front.
const fairnessMargin = 0.1

// adjust returns the utilization and the priority with which an organisation of the given
// standing is admitted. One that is served much less often than all goes before the most
// urgent ones, or their demand alone could keep it out.
func adjust(utilization, step float64, priority int, standing fairshare.Standing) (float64, int) {
	margin := max(step, fairnessMargin*utilization)
	switch standing {
	case fairshare.Over:
		return utilization + margin, priority
	case fairshare.Under:
		return utilization - margin, 0
	default:
		return utilization, priority
	}
}

// callsInMemory returns the number of calls that fit into the KV cache of one server, or
// 0 if that is unknown.
func (a *admission) callsInMemory(service route.Service) float64 {
	if size := a.meanCallTokens[service.Name]; size > 0 && service.Engine != nil {
		return float64(service.Engine.KVCacheTokens) / size
	}
	return 0
}

// admits reports whether a route of the given priority may start a program.
func admits(utilization float64, priority int) bool {
	return utilization < admissionThreshold+priorityHeadroom/float64(1+max(0, priority))
}
