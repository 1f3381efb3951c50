package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"sync"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/deployment"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

const (
	accountantsKey = "demo-accountants"
	customersKey   = "demo-customers"
	// demoDeadline bounds one call, over the takeover of a killed node.
	demoDeadline = 20 * time.Second
)

type demoResource struct {
	kind, name string
	spec       resource.Spec
}

// demoResources are small forms of the resources of both users.
func demoResources(running *deployment.Deployment) []demoResource {
	list := []demoResource{
		{"tenant", "accountants", demoTenant(accountantsKey)},
		{"tenant", "customers", demoTenant(customersKey)},
		{"pool", "models", &resource.Pool{Model: "demo", Role: resource.RoleBoth}},
		{"service", "ledger", &resource.Service{
			Addresses: []string{running.Services[0].Address()}, Lookup: true, Concurrency: 64,
			Operations: []resource.Operation{{Name: "post-invoice", Cost: 20}, {Name: "take-deposit", Cost: 20}},
		}},
		{"class", "reconciliation", demoClass("accountants", 5, "post-invoice")},
		{"class", "quote", demoClass("customers", 8, "take-deposit")},
	}
	for i, e := range running.Engines {
		list = append(list, demoResource{"backend", fmt.Sprintf("engine-%d", i+1), &resource.Backend{
			Pool: "models", Address: e.Address(), Zone: fmt.Sprintf("az-%d", i%4+1), Slots: 8,
		}})
	}
	return list
}

func demoTenant(key string) *resource.Tenant {
	sum := sha256.Sum256([]byte(key))
	highest := 9
	return &resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highest, ProgramBudgetMax: 1_000_000}
}

func demoClass(tenant string, priority int, operation string) *resource.Class {
	return &resource.Class{
		Tenant: tenant, Pool: "models", Priority: priority, BudgetLimit: 100_000, TurnLimit: 50,
		IdleLeaseMS: 60_000, DeadlineMS: demoDeadline.Milliseconds(),
		Tools: []resource.Tool{{Service: "ledger", Operation: operation, MaxCost: 20, Retry: resource.Retry{Attempts: 1, BackoffMS: 100}}},
	}
}

// demoRuns are the programs under way.
type demoRuns struct {
	wg       sync.WaitGroup
	expected int

	mu      sync.Mutex
	summary demoSummary
}

type demoSummary struct {
	programs, finished, calls int
	latencies                 []time.Duration
	failures                  []string
	postings                  map[string]struct{}
}

func (s demoSummary) percentile(share float64) int64 {
	if len(s.latencies) == 0 {
		return 0
	}
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	return s.latencies[int(share*float64(len(s.latencies)-1))].Milliseconds()
}

// step is a call of a demo program.
type step struct {
	prompt    string
	operation string
	child     []step // runs as a sub-agent
}

func reconciliation(i int) []step {
	return []step{
		{prompt: fmt.Sprintf("Compare the pump-over log of tank %d with the invoices of March.", i)},
		{prompt: "List the pump-overs that no invoice covers."},
		{operation: "post-invoice"},
		{prompt: "Write a note to the accountant about the invoice posted."},
	}
}

func quote(i int) []step {
	return []step{
		{prompt: fmt.Sprintf("Quote a gel manicure for customer %d on Saturday.", i)},
		{child: []step{{prompt: "Find a free desk on Saturday morning."}, {prompt: "Hold it for ten minutes."}}},
		{operation: "take-deposit"},
	}
}

// startPrograms runs the programs of both users side by side.
func startPrograms(ctx context.Context, running *deployment.Deployment, each int) *demoRuns {
	runs := &demoRuns{expected: each * (len(reconciliation(0)) + len(quote(0)) + 1), summary: demoSummary{
		programs: 2 * each, postings: map[string]struct{}{},
	}}
	accountants, customers := running.Client(accountantsKey), running.Client(customersKey)
	for i := range each {
		runs.wg.Go(func() {
			runs.program(ctx, accountants, fmt.Sprintf("recon-%d", i), "reconciliation", reconciliation(i))
		})
		runs.wg.Go(func() { runs.program(ctx, customers, fmt.Sprintf("quote-%d", i), "quote", quote(i)) })
	}
	return runs
}

func (r *demoRuns) program(ctx context.Context, caller *client.Client, id, class string, steps []step) {
	if r.steps(ctx, caller, id, class, steps) {
		r.mu.Lock()
		r.summary.finished++
		r.mu.Unlock()
	}
}

// steps runs a program and reports whether all of its calls completed.
func (r *demoRuns) steps(ctx context.Context, caller *client.Client, id, class string, steps []step) bool {
	start := api.StartRequest{ID: id, Class: class, DeadlineMS: demoDeadline.Milliseconds()}
	if id != program.Root(id) {
		start.Budget = 5000 // a sub-agent draws on a share of its parent's budget
	}
	started, err := caller.Start(ctx, start)
	if err == nil {
		err = failureOf(started.Outcome)
	}
	if err != nil {
		r.fail(fmt.Sprintf("%s: %v", id, err))
		return false
	}
	order := 0
	for _, s := range steps {
		if s.child != nil {
			if !r.steps(ctx, caller, id+".1", class, s.child) {
				return false
			}
			continue
		}
		order++
		if !r.call(ctx, caller, id, order, s) {
			return false
		}
	}
	ended, err := caller.End(ctx, id)
	if err == nil {
		err = failureOf(ended.Outcome)
	}
	if err != nil {
		r.fail(fmt.Sprintf("%s: not ended: %v", id, err))
	}
	return err == nil
}

func (r *demoRuns) fail(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.failures = append(r.summary.failures, line)
}

func (r *demoRuns) call(ctx context.Context, caller *client.Client, id string, order int, s step) bool {
	body := api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order), Order: order, Kind: program.Model, MaxTokens: 60,
		Messages: []program.Message{{Role: "user", Content: s.prompt}}, DeadlineMS: demoDeadline.Milliseconds(),
	}}
	if s.operation != "" {
		body.Kind, body.Messages, body.MaxTokens = program.Service, nil, 0
		body.Service, body.Operation, body.Body = "ledger", s.operation, []byte(fmt.Sprintf(`{"program":%q}`, id))
	}
	begin := time.Now()
	result, err := caller.Call(ctx, id, body, nil)
	if err == nil {
		err = failureOf(result.Outcome)
	}
	completed := err == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.summary.failures = append(r.summary.failures, fmt.Sprintf("%s call %d: %v", id, order, err))
	}
	r.summary.calls++
	r.summary.latencies = append(r.summary.latencies, time.Since(begin))
	if s.operation != "" && completed {
		r.summary.postings[id+":"+body.RequestID] = struct{}{}
	}
	return completed
}

func (r *demoRuns) calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary.calls
}

// progress waits until a share of all calls is done.
func (r *demoRuns) progress(ctx context.Context, share float64) error {
	for float64(r.calls()) < share*float64(r.expected) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

func (r *demoRuns) wait() demoSummary {
	r.wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}
