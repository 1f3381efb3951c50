package resource

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Problem is one reason why a resource is refused.
type Problem struct {
	// Field is the path of the field, for example spec.tools[2].max_cost.
	Field string `json:"field"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Allowed is the allowed range or form.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Allowed == "" {
		return p.Field + ": " + p.Reason
	}
	return p.Field + ": " + p.Reason + ", allowed: " + p.Allowed
}

// Problems are all reasons why a resource is refused.
type Problems struct {
	List []Problem
}

// Error returns all problems in one line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	return "resource: " + strings.Join(lines, "; ")
}

// namePattern keeps names usable in keys, URLs and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

const nameForm = "1 to 128 of a-z, 0-9, '.', '_', '-', with a letter or digit at both ends"

// Validate returns all problems of a resource, or nil.
func Validate(r Resource) *Problems {
	problems := &Problems{}
	problems.name("name", r.Name)
	switch {
	case newSpec(r.Kind) == nil:
		problems.add("kind", fmt.Sprintf("unknown kind %q", r.Kind), kindList())
	case r.Spec == nil:
		problems.add("spec", "missing", "")
	default:
		r.Spec.check(problems)
	}
	if len(problems.List) == 0 {
		return nil
	}
	return problems
}

func (t *Tenant) check(p *Problems) {
	if t.KeySHA256 != "" && !isSHA256(t.KeySHA256) {
		p.add("spec.key_sha256", "not a SHA-256", "64 of 0-9, a-f, or empty for a tenant without access")
	}
	between(p, "spec.share", t.Share, 1, largestShare)
	between(p, "spec.priority_min", t.PriorityMin, 0, priorityHighest)
	if t.PriorityMax == nil {
		p.add("spec.priority_max", "missing", "")
	} else {
		between(p, "spec.priority_max", *t.PriorityMax, max(0, t.PriorityMin), priorityHighest)
	}
	between(p, "spec.program_budget_max", t.ProgramBudgetMax, 1, largestBudget)
}

func (c *Class) check(p *Problems) {
	if c.Tenant != "" {
		p.name("spec.tenant", c.Tenant)
	}
	p.name("spec.pool", c.Pool)
	between(p, "spec.priority", c.Priority, 0, priorityHighest)
	between(p, "spec.budget_limit", c.BudgetLimit, 1, largestBudget)
	between(p, "spec.budget_ahead", c.BudgetAhead, 0, max(1, c.BudgetLimit))
	between(p, "spec.turn_limit", c.TurnLimit, 1, largestTurnLimit)
	between(p, "spec.idle_lease_ms", c.IdleLeaseMS, 1, longestIdleLeaseMS)
	between(p, "spec.deadline_ms", c.DeadlineMS, 1, longestDeadlineMS)
	between(p, "number of spec.tools", len(c.Tools), 0, largestList)
	seen := map[string]bool{}
	for i, tool := range c.Tools {
		field := fmt.Sprintf("spec.tools[%d]", i)
		p.name(field+".service", tool.Service)
		p.name(field+".operation", tool.Operation)
		between(p, field+".max_cost", tool.MaxCost, 0, largestBudget)
		between(p, field+".retry.attempts", tool.Retry.Attempts, 1, largestRetryAttempts)
		between(p, field+".retry.backoff_ms", tool.Retry.BackoffMS, 1, longestBackoffMS)
		if !tool.Idempotent && tool.Retry.Attempts > 1 {
			p.add(field+".retry.attempts", "a non-idempotent operation is never repeated", "1")
		}
		p.once(seen, field, tool.Service+"/"+tool.Operation)
	}
}

func (s *Pool) check(p *Problems) {
	p.text("spec.model", s.Model)
	between(p, "number of spec.adapters", len(s.Adapters), 0, largestList)
	seen := map[string]bool{}
	for i, adapter := range s.Adapters {
		field := fmt.Sprintf("spec.adapters[%d]", i)
		p.text(field, adapter)
		p.once(seen, field, adapter)
	}
	switch s.Role {
	case RoleBoth, RolePrefill, RoleDecode:
	default:
		p.add("spec.role", fmt.Sprintf("unknown role %q", s.Role), "both, prefill, decode")
	}
}

func (b *Backend) check(p *Problems) {
	p.name("spec.pool", b.Pool)
	p.address("spec.address", b.Address)
	p.text("spec.zone", b.Zone)
	between(p, "spec.slots", b.Slots, 1, largestSlots)
	if b.ChecksCredentials {
		p.text("spec.credential", b.Credential)
	}
}

func (s *Service) check(p *Problems) {
	between(p, "number of spec.addresses", len(s.Addresses), 1, largestList)
	for i, address := range s.Addresses {
		p.address(fmt.Sprintf("spec.addresses[%d]", i), address)
	}
	between(p, "number of spec.operations", len(s.Operations), 1, largestList)
	seen := map[string]bool{}
	for i, operation := range s.Operations {
		field := fmt.Sprintf("spec.operations[%d]", i)
		p.name(field+".name", operation.Name)
		between(p, field+".cost", operation.Cost, 0, largestBudget)
		p.once(seen, field+".name", operation.Name)
	}
	between(p, "spec.concurrency", s.Concurrency, 1, largestConcurrency)
}

func (p *Problems) add(field, reason, allowed string) {
	p.List = append(p.List, Problem{Field: field, Reason: reason, Allowed: allowed})
}

func (p *Problems) name(field, name string) {
	if len(name) > longestName || !namePattern.MatchString(name) {
		p.add(field, fmt.Sprintf("not a name: %.40q", name), nameForm)
	}
}

func (p *Problems) text(field, text string) {
	if text == "" || len(text) > longestRef {
		p.add(field, fmt.Sprintf("length is %d bytes", len(text)), fmt.Sprintf("1 to %d bytes", longestRef))
	}
}

func (p *Problems) address(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		p.add(field, fmt.Sprintf("not an address: %.40q", address), "an IP address with a port, such as 10.0.0.1:7400")
	}
}

func (p *Problems) once(seen map[string]bool, field, value string) {
	if seen[value] {
		p.add(field, fmt.Sprintf("%.40q appears twice", value), "")
	}
	seen[value] = true
}

func between[T int | int64](p *Problems, field string, value, low, high T) {
	if value < low || value > high {
		p.add(field, fmt.Sprintf("value is %d", value), fmt.Sprintf("%d to %d", low, high))
	}
}

func isSHA256(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

func kindList() string {
	names := make([]string, 0, len(Kinds))
	for _, kind := range Kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}
