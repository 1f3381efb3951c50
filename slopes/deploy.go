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
	// settleTimeout limits the wait until a new deployment has placed its shards.
	settleTimeout = 40 * time.Second
	// callDeadline limits the wait for each start of a program and each call of
	// the load.
	callDeadline = 20 * time.Second
	// unlimitedRate is a rate limit that is never reached, so that the demand on
	// the platform store is measured and not the limit.
	unlimitedRate = 1e6
)

// testbed is a deployment in this process that counts the traffic with the
// platform store and between the nodes.
type testbed struct {
	*deployment.Deployment
	platformBytes counter
	peerBytes     counter
}

// startTestbed starts a deployment over four availability zones and waits until
// it has settled.
func startTestbed(ctx context.Context, options Options, nodes, engines int) (*testbed, error) {
	t := &testbed{}
	config := deployment.Config{
		Nodes: nodes, Zones: []string{"az-1", "az-2", "az-3", "az-4"}, Settings: settings.Default(), Log: options.Log,
		Limits:               platformserver.Limits{WritesPerSecond: unlimitedRate, ReadsPerSecond: unlimitedRate},
		WrapPlatformListener: t.platformBytes.wrap, WrapPeerListener: t.peerBytes.wrap,
	}
	for i := range engines {
		e := engine.DefaultConfig()
		e.Name, e.TimeScale, e.Slots, e.MaxWaiting = fmt.Sprintf("engine-%d", i), 1000, 64, 1024
		config.Engines = append(config.Engines, e)
	}
	var err error
	t.Deployment, err = deployment.Start(ctx, config)
	if err != nil {
		return nil, err
	}
	if err := t.settle(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// settle waits until neither a journal nor the shard map has been written to the
// platform store for two seconds.
func (t *testbed) settle(ctx context.Context) error {
	deadline := time.Now().Add(settleTimeout)
	for last := int64(-1); time.Now().Before(deadline); {
		now := t.Platform().Counters()["put"]
		if now == last {
			return nil
		}
		last = now
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
	}
	return Error.New("the deployment still writes to the platform store after %v", settleTimeout)
}

// declare writes a tenant, a program class and its pool with the backend servers
// at the given addresses, and waits until all nodes have applied them.
func (t *testbed) declare(ctx context.Context, backends []string) error {
	sum := sha256.Sum256([]byte(tenantKey))
	highestPriority := 9
	list := []resource.Resource{
		{Kind: resource.KindTenant, Name: "tenant", Spec: &resource.Tenant{
			KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highestPriority, ProgramBudgetMax: 1e9}},
		{Kind: resource.KindPool, Name: "models", Spec: &resource.Pool{Model: "m", Role: resource.RoleBoth}},
		{Kind: resource.KindClass, Name: "class", Spec: &resource.Class{
			Pool: "models", Priority: 5, BudgetLimit: 1e8, TurnLimit: 10_000, IdleLeaseMS: 60_000, DeadlineMS: 20_000}},
	}
	for i, address := range backends {
		list = append(list, resource.Resource{Kind: resource.KindBackend, Name: fmt.Sprintf("engine-%d", i), Spec: &resource.Backend{
			Pool: "models", Address: address, Zone: "az-1", Slots: 64}})
	}
	operator := t.Client("").Resources()
	for _, declared := range list {
		if _, err := operator.Put(ctx, string(declared.Kind), declared.Name, resource.EncodeSpec(declared.Spec), 0); err != nil {
			return err
		}
	}
	for _, n := range t.Nodes() {
		for n.ResourceCount() < len(list) {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *testbed) engineAddresses() []string {
	var addresses []string
	for _, e := range t.Engines {
		addresses = append(addresses, e.Address())
	}
	return addresses
}

// turnsPerProgram is the number of calls of each program of the load.
const turnsPerProgram = 8

// startLoad runs programs in the given number of workers until ctx ends. Each
// worker makes one call per period. The channel receives the number of completed
// calls when all workers have ended.
func (t *testbed) startLoad(ctx context.Context, workers int, period time.Duration) <-chan int {
	total := make(chan int, 1)
	perWorker := make(chan int, workers)
	caller := t.Client(tenantKey)
	for i := range workers {
		go func() { perWorker <- runPrograms(ctx, caller, i, period) }()
	}
	go func() {
		sum := 0
		for range workers {
			sum += <-perWorker
		}
		total <- sum
	}()
	return total
}

// runPrograms runs one program after the other until ctx ends. It returns the
// number of calls that completed.
func runPrograms(ctx context.Context, caller *client.Client, worker int, period time.Duration) int {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	calls := 0
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("load-%d-%d-%d", worker, number, time.Now().UnixNano())
		if _, err := caller.Start(ctx, api.StartRequest{ID: id, Class: "class", DeadlineMS: callDeadline.Milliseconds()}); err != nil {
			continue // ctx has ended, or the error will recur at the next program
		}
		for turn := 1; turn <= turnsPerProgram && ctx.Err() == nil; turn++ {
			if modelCall(ctx, caller, id, turn, 32, nil) == nil {
				calls++
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
		_, _ = caller.End(ctx, id) // if it fails, the program ends when its idle lease expires
	}
	return calls
}

// modelCall makes a model call with a prompt of 200 bytes. It returns an error
// unless the call completes.
func modelCall(ctx context.Context, caller *client.Client, id string, order, tokens int, stream func(program.Chunk) error) error {
	result, err := caller.Call(ctx, id, api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order), Order: order, Kind: program.Model, MaxTokens: tokens,
		Messages: []program.Message{{Role: "user", Content: text(200)}}, DeadlineMS: callDeadline.Milliseconds(),
	}}, stream)
	if err == nil && result.Outcome.Code != outcome.Completed {
		err = Error.New("call not completed: %s %s", result.Outcome.Code, result.Outcome.Detail)
	}
	return err
}
