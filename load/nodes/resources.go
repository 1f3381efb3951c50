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
	// programBudget is above what any generated program needs: 260 turns with
	// a history of 100,000 tokens. It is in budget units.
	programBudget = 100_000_000
	// childBudget is enough for about 100 turns and leaves the parent room for
	// several sub-agents at a time; the unspent rest returns to the parent.
	childBudget = programBudget / 50
	// budgetAhead is the largest allowed part. It keeps the time of a store
	// write, which is not scaled, out of calls that may be repeated.
	budgetAhead = programBudget / 10
	// turnLimit is above the turns and service calls of a straggler.
	turnLimit       = 1000
	idleLease       = 10 * time.Minute
	classDeadline   = 2 * time.Minute
	serviceCost     = 20
	serviceSlots    = 4 // per service worker, as in load/model
	backoffMS       = 100
	highestPriority = 9
	declareTimeout  = 10 * time.Second
)

type declaration struct {
	kind resource.Kind
	name string
	spec resource.Spec
}

// KeyOf returns the key of a generated tenant.
func KeyOf(tenant string) string { return "load-tool-" + tenant }

// resources returns what the deployment's programs need.
func resources(running *deployment.Deployment, config Config) []declaration {
	d := config.Deployment
	list := []declaration{{resource.KindPool, poolName, &resource.Pool{Model: "demo", Role: resource.RoleBoth}}}
	for i := range d.Tenants {
		name := fmt.Sprintf("tenant-%02d", i)
		sum, highest := sha256.Sum256([]byte(KeyOf(name))), highestPriority
		list = append(list, declaration{resource.KindTenant, name, &resource.Tenant{
			KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highest, ProgramBudgetMax: programBudget,
		}})
	}
	var tools []resource.Tool
	for i, name := range d.Services {
		idempotent := i == 0
		list = append(list, declaration{resource.KindService, name, &resource.Service{
			Addresses: []string{running.Services[i].Address()}, Lookup: true,
			Operations:  []resource.Operation{{Name: name, Idempotent: idempotent, Cost: serviceCost}},
			Concurrency: serviceSlots * d.ServiceWorkers / len(d.Services),
		}})
		tools = append(tools, resource.Tool{
			Service: name, Operation: name, Idempotent: idempotent, MaxCost: serviceCost,
			Retry: resource.Retry{Attempts: 1, BackoffMS: backoffMS},
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
			Pool: poolName, Address: e.Address(), Zone: fmt.Sprintf("az-%d", i%d.Zones+1), Slots: model.SlotsPerWorker,
		}})
	}
	return list
}

// declare writes the resources and waits until they are in force at all nodes.
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
				return load.Error.New("resources are not in force at %s: %v", n.ID, ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
