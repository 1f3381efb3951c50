package node

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/budget"
	"dogwoodline.example/dispatch"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

const (
	// defaultMaxTokens bounds the answer of a model call that names no bound.
	defaultMaxTokens = 1024
	// messageOverheadBytes is what an engine adds to each message of a prompt.
	messageOverheadBytes = 16
	// aheadOfLimit bounds the budget that is spent ahead of durable intents
	// to a tenth of the limit: it counts as spent at a takeover, and a small
	// program that lost all of its budget so could not go on.
	aheadOfLimit = 10
	// maxDeadline bounds how long a caller waits for one call.
	maxDeadline = time.Hour
	// defaultDeadline is used for requests that are not calls.
	defaultDeadline = 10 * time.Second
)

// rules applies the declared resources to calls.
type rules struct {
	set func() *resource.Set
}

// Apply implements program.Rules.
func (r rules) Apply(spec program.Spec, conversation []program.Message, call *program.Call) *outcome.Outcome {
	if call.Kind == program.Model {
		if call.MaxTokens == 0 {
			call.MaxTokens = defaultMaxTokens
		}
		call.Idempotent = true
		call.WorstCost = budget.Units(promptTokens(conversation, call.Messages) + call.MaxTokens)
		return nil
	}
	rule, ok := r.set().Operation(spec.Class, call.Service, call.Operation)
	if !ok {
		refusal := outcome.NewInvalid(outcome.Malformed, "service: the class allows no operation "+call.Operation+" of service "+call.Service)
		return &refusal
	}
	call.Idempotent = rule.Idempotent
	call.Lookup = rule.Service.Lookup
	call.WorstCost = budget.Units(rule.MaxCost)
	return nil
}

func promptTokens(lists ...[]program.Message) int {
	bytes := messageOverheadBytes
	for _, messages := range lists {
		for _, m := range messages {
			bytes += len(m.Role) + len(m.Content) + messageOverheadBytes
		}
	}
	return dispatch.TokenCount(bytes)
}

// specOf fills a program's limits from its class.
func specOf(set *resource.Set, tenant string, request api.StartRequest) (program.Spec, *outcome.Outcome) {
	refuse := func(reason outcome.Reason, detail string) (program.Spec, *outcome.Outcome) {
		refusal := outcome.NewInvalid(reason, detail)
		return program.Spec{}, &refusal
	}
	class, ok := set.Class(request.Class)
	if !ok {
		return refuse(outcome.Malformed, "class: no class "+request.Class+" is declared")
	}
	if class.Tenant != "" && class.Tenant != tenant {
		return refuse(outcome.Forbidden, "class: "+request.Class+" belongs to another tenant")
	}
	limit := budget.Units(class.BudgetLimit)
	if request.Budget > 0 {
		limit = min(limit, request.Budget)
	}
	if declared, ok := set.Tenant(tenant); ok {
		limit = min(limit, budget.Units(declared.ProgramBudgetMax))
	}
	return program.Spec{
		ID: request.ID, Tenant: tenant, Class: request.Class, Limit: limit,
		BudgetAhead: min(limit/aheadOfLimit, budget.Units(class.BudgetAhead)),
		TurnLimit:   class.TurnLimit, IdleLease: class.IdleLease(),
	}, nil
}

// callOf turns a caller's request into a call.
func callOf(now time.Time, tenant, programID string, request api.CallRequest, wait time.Duration) program.Call {
	return program.Call{
		Program: programID, Tenant: tenant, RequestID: request.RequestID, Order: request.Order, Kind: request.Kind,
		Service: request.Service, Operation: request.Operation, Messages: request.Messages, Body: request.Body,
		MaxTokens: request.MaxTokens, Digest: digestOf(request), Deadline: deadlineOf(now, wait, defaultDeadline),
		Offset: request.Offset, Attempt: request.Attempt,
	}
}

// digestOf identifies what a request asks for, without its request id and
// order, so that the same request in another program is recognised.
func digestOf(request api.CallRequest) string {
	asked := mustEncode(struct {
		Kind      program.Kind
		Service   string
		Operation string
		Messages  []program.Message
		Body      []byte
		MaxTokens int
	}{request.Kind, request.Service, request.Operation, request.Messages, request.Body, request.MaxTokens})
	sum := sha256.Sum256(asked)
	return hex.EncodeToString(sum[:16])
}
