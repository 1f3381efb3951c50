package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/deployment"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/settings"
)

const (
	tenantKey = "slopes-tenant"
	// settleTime bounds the wait until a new deployment moves no more shards.
	settleTime = 40 * time.Second
	// callDeadline bounds one call of the load.
	callDeadline = 20 * time.Second
	// unlimited lifts the platform's rates, so that the demand is measured and
	// not the limit.
	unlimited = 1e6
)

// rig is a deployment in this process with counters.
type rig struct {
	*deployment.Deployment
	platformBytes counter
	peerBytes     counter
}

func startRig(ctx context.Context, options Options, nodes, engines int) (*rig, error) {
	r := &rig{}
	config := deployment.Config{
		Nodes: nodes, Zones: []string{"az-1", "az-2", "az-3", "az-4"}, Settings: settings.Default(), Log: options.Log,
		Limits:               platformserver.Limits{WritesPerSecond: unlimited, ReadsPerSecond: unlimited},
		WrapPlatformListener: r.platformBytes.wrap, WrapPeerListener: r.peerBytes.wrap,
	}
	for i := range engines {
		e := engine.DefaultConfig()
		e.Name, e.TimeScale, e.Slots, e.MaxWaiting = fmt.Sprintf("engine-%d", i), 1000, 64, 1024
		config.Engines = append(config.Engines, e)
	}
	var err error
	r.Deployment, err = deployment.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	if err := r.settle(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// settle waits until no journal or shard map was written for two seconds.
func (r *rig) settle(ctx context.Context) error {
	deadline := time.Now().Add(settleTime)
	for last := int64(-1); time.Now().Before(deadline); {
		now := r.Platform().Counters()["put"]
		if now == last {
			return nil
		}
		last = now
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
	}
	return Error.New("the deployment still writes after %v", settleTime)
}

// declare writes one class and its pool, with the backend servers at the given
// addresses, and waits until all nodes have them.
func (r *rig) declare(ctx context.Context, backends []string) error {
	sum := sha256.Sum256([]byte(tenantKey))
	highest := 9
	list := []resource.Resource{
		{Kind: resource.KindTenant, Name: "tenant", Spec: &resource.Tenant{
			KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highest, ProgramBudgetMax: 1e9}},
		{Kind: resource.KindPool, Name: "models", Spec: &resource.Pool{Model: "m", Role: resource.RoleBoth}},
		{Kind: resource.KindClass, Name: "class", Spec: &resource.Class{
			Pool: "models", Priority: 5, BudgetLimit: 1e8, TurnLimit: 10_000, IdleLeaseMS: 60_000, DeadlineMS: 20_000}},
	}
	for i, address := range backends {
		list = append(list, resource.Resource{Kind: resource.KindBackend, Name: fmt.Sprintf("engine-%d", i), Spec: &resource.Backend{
			Pool: "models", Address: address, Zone: "az-1", Slots: 64}})
	}
	operator := r.Client("").Resources()
	for _, declared := range list {
		if _, err := operator.Put(ctx, string(declared.Kind), declared.Name, resource.EncodeSpec(declared.Spec), 0); err != nil {
			return err
		}
	}
	for _, n := range r.Nodes() {
		for n.ResourceCount() < len(list) {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *rig) engineAddresses() []string {
	var addresses []string
	for _, e := range r.Engines {
		addresses = append(addresses, e.Address())
	}
	return addresses
}

// turns is the length of a program of the load.
const turns = 8

// load runs programs until ctx ends, in so many workers, each with a call
// every period. The channel gets the number of calls when all have ended.
func (r *rig) load(ctx context.Context, workers int, period time.Duration) <-chan int {
	total := make(chan int, 1)
	each := make(chan int, workers)
	caller := r.Client(tenantKey)
	for i := range workers {
		go func() { each <- runPrograms(ctx, caller, i, period) }()
	}
	go func() {
		sum := 0
		for range workers {
			sum += <-each
		}
		total <- sum
	}()
	return total
}

// runPrograms returns the number of calls that completed.
func runPrograms(ctx context.Context, caller *client.Client, worker int, period time.Duration) int {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	calls := 0
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("load-%d-%d-%d", worker, number, time.Now().UnixNano())
		if _, err := caller.Start(ctx, api.StartRequest{ID: id, Class: "class", DeadlineMS: callDeadline.Milliseconds()}); err != nil {
			continue // ctx has ended, or the next program shows it again
		}
		for turn := 1; turn <= turns && ctx.Err() == nil; turn++ {
			if modelCall(ctx, caller, id, turn, 32, nil) == nil {
				calls++
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
		_, _ = caller.End(ctx, id) // an unfinished end only leaves the program to its idle lease
	}
	return calls
}

// modelCall makes a call with a prompt of 200 bytes.
func modelCall(ctx context.Context, caller *client.Client, id string, order, tokens int, stream func(program.Chunk) error) error {
	result, err := caller.Call(ctx, id, api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order), Order: order, Kind: program.Model, MaxTokens: tokens,
		Messages: []program.Message{{Role: "user", Content: text(200)}}, DeadlineMS: callDeadline.Milliseconds(),
	}}, stream)
	if err == nil && result.Outcome.Code != outcome.Completed {
		err = Error.New("call ended as %s %s", result.Outcome.Code, result.Outcome.Detail)
	}
	return err
}
