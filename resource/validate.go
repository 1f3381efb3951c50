package resource

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Problem is one reason why a resource is invalid.
type Problem struct {
	// Field is the path of the field, for example spec.tools[2].max_cost. For a
	// list of the wrong length it is "number of " and the path of the list.
	Field string `json:"field"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Allowed is the allowed range or form.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the problem in one line.
func (p Problem) String() string {
	if p.Allowed == "" {
		return p.Field + ": " + p.Reason
	}
	return p.Field + ": " + p.Reason + ", allowed: " + p.Allowed
}

// Problems is the error that lists every reason why a resource is invalid.
type Problems struct {
	List []Problem
}

// Error formats all problems in one line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	return "resource: " + strings.Join(lines, "; ")
}

// namePattern restricts names to characters that need no escaping in store
// keys, URLs and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// allowedNames describes namePattern and maxNameBytes in the problems that
// operators see.
const allowedNames = "1 to 128 of a-z, 0-9, '.', '_', '-', with a letter or digit at both ends"

// Validate checks a resource without looking at other resources. It returns
// all problems, or nil if there are none.
func Validate(r Resource) *Problems {
	problems := &Problems{}
	problems.checkName("name", r.Name)
	switch {
	case newSpec(r.Kind) == nil:
		problems.add("kind", fmt.Sprintf("unknown kind %q", r.Kind), kindList())
	case r.Spec == nil:
		problems.add("spec", "missing", "")
	default:
		r.Spec.validate(problems)
	}
	if len(problems.List) == 0 {
		return nil
	}
	return problems
}

func (t *Tenant) validate(p *Problems) {
	if t.KeySHA256 != "" && !isSHA256(t.KeySHA256) {
		p.add("spec.key_sha256", "not a SHA-256", "64 of 0-9, a-f, or empty for a tenant without access")
	}
	checkRange(p, "spec.share", t.Share, 1, maxShare)
	checkRange(p, "spec.priority_min", t.PriorityMin, 0, maxPriority)
	if t.PriorityMax == nil {
		p.add("spec.priority_max", "missing", "")
	} else {
		// A negative priority_min is a problem of its own and must not extend the
		// range of priority_max.
		checkRange(p, "spec.priority_max", *t.PriorityMax, max(0, t.PriorityMin), maxPriority)
	}
	checkRange(p, "spec.program_budget_max", t.ProgramBudgetMax, 1, maxBudget)
}

func (c *Class) validate(p *Problems) {
	if c.Tenant != "" {
		p.checkName("spec.tenant", c.Tenant)
	}
	p.checkName("spec.pool", c.Pool)
	checkRange(p, "spec.priority", c.Priority, 0, maxPriority)
	checkRange(p, "spec.budget_limit", c.BudgetLimit, 1, maxBudget)
	// A budget_limit below 1 is a problem of its own; max avoids an empty range
	// for budget_ahead.
	checkRange(p, "spec.budget_ahead", c.BudgetAhead, 0, max(1, c.BudgetLimit))
	checkRange(p, "spec.turn_limit", c.TurnLimit, 1, maxTurnLimit)
	checkRange(p, "spec.idle_lease_ms", c.IdleLeaseMS, 1, maxIdleLeaseMS)
	checkRange(p, "spec.deadline_ms", c.DeadlineMS, 1, maxDeadlineMS)
	checkRange(p, "number of spec.tools", len(c.Tools), 0, maxListLength)
	seen := map[string]bool{}
	for i, tool := range c.Tools {
		field := fmt.Sprintf("spec.tools[%d]", i)
		p.checkName(field+".service", tool.Service)
		p.checkName(field+".operation", tool.Operation)
		checkRange(p, field+".max_cost", tool.MaxCost, 0, maxBudget)
		checkRange(p, field+".retry.attempts", tool.Retry.Attempts, 1, maxRetryAttempts)
		checkRange(p, field+".retry.backoff_ms", tool.Retry.BackoffMS, 1, maxBackoffMS)
		if !tool.Idempotent && tool.Retry.Attempts > 1 {
			p.add(field+".retry.attempts", "a non-idempotent operation is never repeated", "1")
		}
		p.checkUnique(seen, field, tool.Service+"/"+tool.Operation)
	}
}

func (s *Pool) validate(p *Problems) {
	p.checkText("spec.model", s.Model)
	checkRange(p, "number of spec.adapters", len(s.Adapters), 0, maxListLength)
	seen := map[string]bool{}
	for i, adapter := range s.Adapters {
		field := fmt.Sprintf("spec.adapters[%d]", i)
		p.checkText(field, adapter)
		p.checkUnique(seen, field, adapter)
	}
	switch s.Role {
	case RoleBoth, RolePrefill, RoleDecode:
	default:
		p.add("spec.role", fmt.Sprintf("unknown role %q", s.Role), "both, prefill, decode")
	}
}

func (b *Backend) validate(p *Problems) {
	p.checkName("spec.pool", b.Pool)
	p.checkAddress("spec.address", b.Address)
	p.checkText("spec.zone", b.Zone)
	checkRange(p, "spec.slots", b.Slots, 1, maxSlots)
	if b.ChecksCredentials {
		p.checkText("spec.credential", b.Credential)
	}
}

func (s *Service) validate(p *Problems) {
	checkRange(p, "number of spec.addresses", len(s.Addresses), 1, maxListLength)
	for i, address := range s.Addresses {
		p.checkAddress(fmt.Sprintf("spec.addresses[%d]", i), address)
	}
	checkRange(p, "number of spec.operations", len(s.Operations), 1, maxListLength)
	seen := map[string]bool{}
	for i, operation := range s.Operations {
		field := fmt.Sprintf("spec.operations[%d]", i)
		p.checkName(field+".name", operation.Name)
		checkRange(p, field+".cost", operation.Cost, 0, maxBudget)
		p.checkUnique(seen, field+".name", operation.Name)
	}
	checkRange(p, "spec.concurrency", s.Concurrency, 1, maxConcurrency)
}

func (p *Problems) add(field, reason, allowed string) {
	p.List = append(p.List, Problem{Field: field, Reason: reason, Allowed: allowed})
}

// checkName requires a name as described by allowedNames.
func (p *Problems) checkName(field, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		p.add(field, fmt.Sprintf("not a name: %.40q", name), allowedNames)
	}
}

// checkText requires a text of 1 to maxTextBytes bytes.
func (p *Problems) checkText(field, text string) {
	if text == "" || len(text) > maxTextBytes {
		p.add(field, fmt.Sprintf("length is %d bytes", len(text)), fmt.Sprintf("1 to %d bytes", maxTextBytes))
	}
}

// checkAddress requires an IP address with a port other than 0.
func (p *Problems) checkAddress(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		p.add(field, fmt.Sprintf("not an address: %.40q", address), "an IP address with a port, such as 10.0.0.1:7400")
	}
}

// checkUnique adds a problem if the value is in seen, and adds the value to
// seen.
func (p *Problems) checkUnique(seen map[string]bool, field, value string) {
	if seen[value] {
		p.add(field, fmt.Sprintf("%.40q appears twice", value), "")
	}
	seen[value] = true
}

// checkRange adds a problem unless low <= value <= high.
func checkRange[T int | int64](p *Problems, field string, value, low, high T) {
	if value < low || value > high {
		p.add(field, fmt.Sprintf("value is %d", value), fmt.Sprintf("%d to %d", low, high))
	}
}

// isSHA256 reports whether the text has the form of a SHA-256 hash in lower-case
// hexadecimal digits.
func isSHA256(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

// kindList returns the names of all kinds, separated by commas.
func kindList() string {
	names := make([]string, 0, len(Kinds))
	for _, kind := range Kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}
