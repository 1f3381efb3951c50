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
	// defaultMaxTokens limits the output of a model call that sets no limit.
	defaultMaxTokens = 1024
	// messageOverheadBytes is the estimate for what an engine adds to each
	// message of a prompt.
	messageOverheadBytes = 16
	// budgetAheadDivisor caps the budget that may be spent before intents are
	// durable at a tenth of the program's limit. A takeover counts that budget
	// as spent, and a small program that lost all its budget this way could
	// not continue.
	budgetAheadDivisor = 10
	// maxDeadline bounds how long a caller waits for one request.
	maxDeadline = time.Hour
	// defaultDeadline is how long a request may take that sets no deadline.
	defaultDeadline = 10 * time.Second
)

// rules implements program.Rules with the declared resources.
type rules struct {
	resources func() *resource.Set
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
	operation, ok := r.resources().Operation(spec.Class, call.Service, call.Operation)
	if !ok {
		refusal := outcome.NewInvalid(outcome.Malformed, "service: the class allows no operation "+call.Operation+" of service "+call.Service)
		return &refusal
	}
	call.Idempotent = operation.Idempotent
	call.Lookup = operation.Service.Lookup
	call.WorstCost = budget.Units(operation.MaxCost)
	return nil
}

// promptTokens estimates the number of prompt tokens of the messages.
func promptTokens(lists ...[]program.Message) int {
	bytes := messageOverheadBytes
	for _, messages := range lists {
		for _, m := range messages {
			bytes += len(m.Role) + len(m.Content) + messageOverheadBytes
		}
	}
	return dispatch.TokenCount(bytes)
}

// newSpec returns the spec of a new program, with the limits of its class, or the
// outcome that refuses the program.
func newSpec(resources *resource.Set, tenant string, request api.StartRequest) (program.Spec, *outcome.Outcome) {
	refuse := func(reason outcome.Reason, detail string) (program.Spec, *outcome.Outcome) {
		refusal := outcome.NewInvalid(reason, detail)
		return program.Spec{}, &refusal
	}
	class, ok := resources.Class(request.Class)
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
	if tenantSpec, ok := resources.Tenant(tenant); ok {
		limit = min(limit, budget.Units(tenantSpec.ProgramBudgetMax))
	}
	return program.Spec{
		ID: request.ID, Tenant: tenant, Class: request.Class, Limit: limit,
		BudgetAhead: min(limit/budgetAheadDivisor, budget.Units(class.BudgetAhead)),
		TurnLimit:   class.TurnLimit, IdleLease: class.IdleLease(),
	}, nil
}

// newCall returns the call that a caller's request asks for.
func newCall(now time.Time, tenant, programID string, request api.CallRequest, timeout time.Duration) program.Call {
	return program.Call{
		Program: programID, Tenant: tenant, RequestID: request.RequestID, Order: request.Order, Kind: request.Kind,
		Service: request.Service, Operation: request.Operation, Messages: request.Messages, Body: request.Body,
		MaxTokens: request.MaxTokens, Digest: requestDigest(request), Deadline: deadlineAfter(now, timeout, defaultDeadline),
		Offset: request.Offset, Attempt: request.Attempt,
	}
}

// requestDigest returns a digest of the content of a request. It leaves out the
// request id and the order, so that the same request has the same digest in every
// program.
func requestDigest(request api.CallRequest) string {
	content := mustEncode(struct {
		Kind      program.Kind
		Service   string
		Operation string
		Messages  []program.Message
		Body      []byte
		MaxTokens int
	}{request.Kind, request.Service, request.Operation, request.Messages, request.Body, request.MaxTokens})
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:16])
}
