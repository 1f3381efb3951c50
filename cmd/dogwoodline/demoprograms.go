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
	// demoDeadline bounds one call. It leaves time for another node to take over
	// the programs of a killed node.
	demoDeadline = 20 * time.Second
)

type demoResource struct {
	kind, name string
	spec       resource.Spec
}

// demoResources returns small versions of the resources of both example
// deployments.
func demoResources(dep *deployment.Deployment) []demoResource {
	list := []demoResource{
		{"tenant", "accountants", demoTenant(accountantsKey)},
		{"tenant", "customers", demoTenant(customersKey)},
		{"pool", "models", &resource.Pool{Model: "demo", Role: resource.RoleBoth}},
		{"service", "ledger", &resource.Service{
			Addresses: []string{dep.Services[0].Address()}, Lookup: true, Concurrency: 64,
			Operations: []resource.Operation{{Name: "post-invoice", Cost: 20}, {Name: "take-deposit", Cost: 20}},
		}},
		{"class", "reconciliation", demoClass("accountants", 5, "post-invoice")},
		{"class", "quote", demoClass("customers", 8, "take-deposit")},
	}
	for i, e := range dep.Engines {
		list = append(list, demoResource{"backend", fmt.Sprintf("engine-%d", i+1), &resource.Backend{
			Pool: "models", Address: e.Address(), Zone: fmt.Sprintf("az-%d", i%4+1), Slots: 8,
		}})
	}
	return list
}

func demoTenant(key string) *resource.Tenant {
	sum := sha256.Sum256([]byte(key))
	priorityMax := 9
	return &resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &priorityMax, ProgramBudgetMax: 1_000_000}
}

func demoClass(tenant string, priority int, operation string) *resource.Class {
	return &resource.Class{
		Tenant: tenant, Pool: "models", Priority: priority, BudgetLimit: 100_000, TurnLimit: 50,
		IdleLeaseMS: 60_000, DeadlineMS: demoDeadline.Milliseconds(),
		Tools: []resource.Tool{{Service: "ledger", Operation: operation, MaxCost: 20, Retry: resource.Retry{Attempts: 1, BackoffMS: 100}}},
	}
}

// demoPrograms runs the programs of the demo and collects their results.
type demoPrograms struct {
	wg            sync.WaitGroup
	expectedCalls int

	mu      sync.Mutex
	summary demoSummary
}

// demoSummary holds the results of the programs. The key of a posting is its
// request id as the ledger service reports it.
type demoSummary struct {
	programs, finished, calls int
	latencies                 []time.Duration
	failures                  []string
	postings                  map[string]struct{}
}

// percentile returns a percentile of the call latencies in milliseconds. The
// share is between 0 and 1.
func (s demoSummary) percentile(share float64) int64 {
	if len(s.latencies) == 0 {
		return 0
	}
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	return s.latencies[int(share*float64(len(s.latencies)-1))].Milliseconds()
}

// step is one step of a demo program: a model call with a prompt, a call of a
// service operation, or a sub-agent with steps of its own.
type step struct {
	prompt    string
	operation string
	child     []step // steps of a sub-agent
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

// startPrograms starts the programs of both example deployments, which run
// concurrently.
func startPrograms(ctx context.Context, dep *deployment.Deployment, perClass int) *demoPrograms {
	programs := &demoPrograms{expectedCalls: perClass * (len(reconciliation(0)) + len(quote(0)) + 1), summary: demoSummary{
		programs: 2 * perClass, postings: map[string]struct{}{},
	}}
	accountants, customers := dep.Client(accountantsKey), dep.Client(customersKey)
	for i := range perClass {
		programs.wg.Go(func() {
			programs.runProgram(ctx, accountants, fmt.Sprintf("recon-%d", i), "reconciliation", reconciliation(i))
		})
		programs.wg.Go(func() { programs.runProgram(ctx, customers, fmt.Sprintf("quote-%d", i), "quote", quote(i)) })
	}
	return programs
}

// runProgram runs a program and counts it as finished if it succeeds.
func (p *demoPrograms) runProgram(ctx context.Context, apiClient *client.Client, id, class string, steps []step) {
	if p.runSteps(ctx, apiClient, id, class, steps) {
		p.mu.Lock()
		p.summary.finished++
		p.mu.Unlock()
	}
}

// runSteps starts a program, runs its steps and ends it. It reports whether all
// of this succeeded.
func (p *demoPrograms) runSteps(ctx context.Context, apiClient *client.Client, id, class string, steps []step) bool {
	start := api.StartRequest{ID: id, Class: class, DeadlineMS: demoDeadline.Milliseconds()}
	if id != program.Root(id) {
		start.Budget = 5000 // part of the parent's budget, which is reserved for the sub-agent
	}
	started, err := apiClient.Start(ctx, start)
	if err == nil {
		err = errorFromOutcome(started.Outcome)
	}
	if err != nil {
		p.addFailure(fmt.Sprintf("%s: %v", id, err))
		return false
	}
	order := 0
	for _, s := range steps {
		if s.child != nil {
			if !p.runSteps(ctx, apiClient, id+".1", class, s.child) {
				return false
			}
			continue
		}
		order++
		if !p.runCall(ctx, apiClient, id, order, s) {
			return false
		}
	}
	ended, err := apiClient.End(ctx, id)
	if err == nil {
		err = errorFromOutcome(ended.Outcome)
	}
	if err != nil {
		p.addFailure(fmt.Sprintf("%s: end: %v", id, err))
	}
	return err == nil
}

func (p *demoPrograms) addFailure(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summary.failures = append(p.summary.failures, line)
}

func (p *demoPrograms) runCall(ctx context.Context, apiClient *client.Client, id string, order int, s step) bool {
	body := api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order), Order: order, Kind: program.Model, MaxTokens: 60,
		Messages: []program.Message{{Role: "user", Content: s.prompt}}, DeadlineMS: demoDeadline.Milliseconds(),
	}}
	if s.operation != "" {
		body.Kind, body.Messages, body.MaxTokens = program.Service, nil, 0
		body.Service, body.Operation, body.Body = "ledger", s.operation, []byte(fmt.Sprintf(`{"program":%q}`, id))
	}
	begin := time.Now()
	result, err := apiClient.Call(ctx, id, body, nil)
	if err == nil {
		err = errorFromOutcome(result.Outcome)
	}
	completed := err == nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.summary.failures = append(p.summary.failures, fmt.Sprintf("%s call %d: %v", id, order, err))
	}
	p.summary.calls++
	p.summary.latencies = append(p.summary.latencies, time.Since(begin))
	if s.operation != "" && completed {
		p.summary.postings[id+":"+body.RequestID] = struct{}{}
	}
	return completed
}

func (p *demoPrograms) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary.calls
}

// waitForShare waits until a share of all expected calls is done.
func (p *demoPrograms) waitForShare(ctx context.Context, share float64) error {
	for float64(p.callCount()) < share*float64(p.expectedCalls) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

func (p *demoPrograms) wait() demoSummary {
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary
}
