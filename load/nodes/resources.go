package nodes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"dogwoodline.example/deployment"
	"dogwoodline.example/load"
	"dogwoodline.example/load/model"
	"dogwoodline.example/resource"
)

const (
	poolName = "models"
	// programBudget, in budget units, is more than any generated program needs,
	// which is at most 260 turns with a history of 100,000 tokens.
	programBudget = 100_000_000
	// childBudget is the budget of a sub-agent. It is enough for about 100 turns
	// and allows a program several sub-agents at a time; what a sub-agent does
	// not spend returns to the parent.
	childBudget = programBudget / 50
	// budgetAhead is the largest allowed value, a tenth of the budget. Within it,
	// idempotent calls do not wait for a write to the platform store, whose
	// latency TimeScale does not scale.
	budgetAhead = programBudget / 10
	// turnLimit is more than the turns and service calls of a straggler.
	turnLimit       = 1000
	idleLease       = 10 * time.Minute
	classDeadline   = 2 * time.Minute
	serviceCallCost = 20
	serviceSlots    = 4 // per service worker, as in package model
	retryBackoffMS  = 100
	highestPriority = 9
	declareTimeout  = 10 * time.Second
)

// declaration is a resource to declare.
type declaration struct {
	kind resource.Kind
	name string
	spec resource.Spec
}

// TenantKey returns the API key of a generated tenant.
func TenantKey(tenant string) string { return "load-tool-" + tenant }

// resources returns the resources that the generated programs need: the tenants,
// program classes, pool, services and backend servers of the deployment.
func resources(running *deployment.Deployment, config Config) []declaration {
	d := config.Deployment
	list := []declaration{{resource.KindPool, poolName, &resource.Pool{Model: "demo", Role: resource.RoleBoth}}}
	for i := range d.Tenants {
		name := fmt.Sprintf("tenant-%02d", i)
		sum, highest := sha256.Sum256([]byte(TenantKey(name))), highestPriority
		list = append(list, declaration{resource.KindTenant, name, &resource.Tenant{
			KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highest, ProgramBudgetMax: programBudget,
		}})
	}
	var tools []resource.Tool
	for i, name := range d.Services {
		idempotent := i == 0
		list = append(list, declaration{resource.KindService, name, &resource.Service{
			Addresses: []string{running.Services[i].Address()}, Lookup: true,
			Operations:  []resource.Operation{{Name: name, Idempotent: idempotent, Cost: serviceCallCost}},
			Concurrency: serviceSlots * d.ServiceWorkers / len(d.Services),
		}})
		tools = append(tools, resource.Tool{
			Service: name, Operation: name, Idempotent: idempotent, MaxCost: serviceCallCost,
			Retry: resource.Retry{Attempts: 1, BackoffMS: retryBackoffMS},
		})
	}
	for _, c := range d.Classes {
		list = append(list, declaration{resource.KindClass, c.Name, &resource.Class{
			Pool: poolName, Priority: c.Priority, BudgetLimit: programBudget, BudgetAhead: budgetAhead, TurnLimit: turnLimit,
			IdleLeaseMS: idleLease.Milliseconds(), DeadlineMS: classDeadline.Milliseconds(), Tools: tools,
		}})
	}
	for i, e := range running.Engines {
		list = append(list, declaration{resource.KindBackend, fmt.Sprintf("engine-%d", i+1), &resource.Backend{
			Pool: poolName, Address: e.Address(), Zone: fmt.Sprintf("az-%d", i%d.Zones+1), Slots: model.SlotsPerEngine,
		}})
	}
	return list
}

// declare writes the resources and waits until all nodes have applied them.
func declare(ctx context.Context, running *deployment.Deployment, list []declaration) error {
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	writer := running.Client("").Resources()
	for _, r := range list {
		data, err := json.Marshal(r.spec)
		if err == nil {
			_, err = writer.Put(ctx, string(r.kind), r.name, data, 0)
		}
		if err != nil {
			return load.Error.New("%s %s: %v", r.kind, r.name, err)
		}
	}
	for _, n := range running.Nodes() {
		for n.ResourceCount() < len(list) {
			select {
			case <-ctx.Done():
				return load.Error.New("node %s has not applied all resources: %v", n.ID, ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
