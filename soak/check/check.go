package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/outcome"
)

// Bounds holds the time bounds of sections 1.2 and 1.3 of the design page.
type Bounds struct {
	// Recovery bounds the time from the kill of a node until a program that it
	// owned is served again.
	Recovery time.Duration
	// Propagation bounds the time from the acceptance of a resource until all nodes
	// have it in force.
	Propagation time.Duration
}

// DefaultBounds returns the bounds of the design page for the given duration of
// a node's lease.
func DefaultBounds(lease time.Duration) Bounds {
	return Bounds{Recovery: lease + 5*time.Second, Propagation: 11 * time.Second}
}

// requestKey identifies a request of a program.
type requestKey struct {
	program, request string
}

// checker holds the history, indexed by request, and the violations found so
// far.
type checker struct {
	history    History
	bounds     Bounds
	calls      map[requestKey][]Call
	effects    map[requestKey][]Effect
	violations []Violation
}

// Check returns all violations of guarantees in the history.
func Check(history History, bounds Bounds) []Violation {
	c := &checker{
		history: history, bounds: bounds,
		calls: map[requestKey][]Call{}, effects: map[requestKey][]Effect{},
	}
	for _, call := range history.Calls {
		key := requestKey{call.Program, call.RequestID}
		c.calls[key] = append(c.calls[key], call)
	}
	for _, effect := range history.Effects {
		key := requestKey{effect.Program, effect.RequestID}
		c.effects[key] = append(c.effects[key], effect)
	}
	c.checkEffects()
	c.checkEffectOrder()
	c.checkAnswers()
	c.checkRefusals()
	for _, program := range history.Programs {
		c.checkProgram(program)
	}
	c.checkRecoveries()
	c.checkStops()
	c.checkEngines()
	c.checkConfig()
	return c.violations
}

// report adds a violation.
func (c *checker) report(guarantee, detail string, evidence ...string) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, Detail: detail, Evidence: evidence})
}

// evidenceFor returns the lines of the history that concern a request.
func (c *checker) evidenceFor(key requestKey) []string {
	lines := formatLines(c.calls[key])
	lines = append(lines, formatLines(c.effects[key])...)
	for _, p := range c.history.Programs {
		for _, entry := range p.Entries {
			if p.ID == key.program && entry.RequestID == key.request {
				lines = append(lines, entry.String())
			}
		}
	}
	return append(lines, c.faultsNear(c.calls[key])...)
}

// formatLines returns the lines that describe the items.
func formatLines[T fmt.Stringer](items []T) []string {
	result := make([]string, len(items))
	for i, item := range items {
		result[i] = item.String()
	}
	return result
}

// faultsNear returns the faults that overlap one of the calls or ended up to a
// margin before it.
func (c *checker) faultsNear(calls []Call) []string {
	const margin = 5 * time.Second
	var result []string
	for _, f := range c.history.Faults {
		for _, call := range calls {
			if f.Begin <= call.Returned && call.Invoked <= f.End+margin {
				result = append(result, f.String())
				break
			}
		}
	}
	return result
}

// checkEffects compares the ledger with the answers that callers received: G6
// and G7.
func (c *checker) checkEffects() {
	for key, effects := range c.effects {
		if len(effects) > 1 {
			c.report("G7", fmt.Sprintf("%s %s took effect %d times", key.program, key.request, len(effects)), c.evidenceFor(key)...)
		}
		if !slices.ContainsFunc(c.calls[key], mayHaveRun) {
			c.report("G6", fmt.Sprintf("%s %s took effect, but every caller was told that it did not run", key.program, key.request), c.evidenceFor(key)...)
		}
	}
	for key, calls := range c.calls {
		completed := slices.ContainsFunc(calls, func(call Call) bool { return !call.Model && call.Code == outcome.Completed })
		if completed && len(c.effects[key]) == 0 {
			c.report("G7", fmt.Sprintf("%s %s completed but has no effect", key.program, key.request), c.evidenceFor(key)...)
		}
	}
}

// mayHaveRun reports whether the request may have run according to the answer.
func mayHaveRun(call Call) bool { return !call.toldNotRun() }

// toldNotRun reports whether the caller was told that the request did not run.
func (c Call) toldNotRun() bool { return (outcome.Outcome{Code: c.Code}).ProvablyNotRun() }

// checkEffectOrder checks that the effects of a program are in the order of its
// calls: G1.
func (c *checker) checkEffectOrder() {
	last := map[string]Effect{}
	for _, effect := range c.history.Effects {
		previous, ok := last[effect.Program]
		if ok && effect.Order < previous.Order {
			evidence := append([]string{previous.String(), effect.String()}, c.evidenceFor(requestKey{effect.Program, effect.RequestID})...)
			evidence = append(evidence, c.evidenceFor(requestKey{previous.Program, previous.RequestID})...)
			c.report("G1", fmt.Sprintf("%s: order %d took effect after order %d", effect.Program, effect.Order, previous.Order), evidence...)
		}
		last[effect.Program] = effect
	}
}

// checkAnswers checks that each answer belongs to its own request: G5.
func (c *checker) checkAnswers() {
	for key, calls := range c.calls {
		for _, call := range calls {
			if call.Code == outcome.Completed && !c.isOwnAnswer(key, call) {
				c.report("G5", fmt.Sprintf("%s %s got an incomplete answer or one to another request", key.program, key.request), c.evidenceFor(key)...)
			}
		}
	}
}

// hedgeSuffix is the suffix of the id under which the hedged copy of a model
// call is sent to an engine. Package node uses the same one.
const hedgeSuffix = "~2"

// isOwnAnswer reports whether the emulated engine or service gives this answer to
// this request. The answer of an engine must come whole from a single copy of a
// single attempt, sent by a single owner.
func (c *checker) isOwnAnswer(key requestKey, call Call) bool {
	externalID := key.program + ":" + key.request
	if !call.Model {
		return isServiceAnswer(externalID, call.Answer)
	}
	for _, owner := range c.history.Incarnations {
		for _, suffix := range []string{"", hedgeSuffix} {
			if call.Answer == engine.AnswerText(externalID+"@"+owner+suffix, call.Attempt, call.MaxTokens) {
				return true
			}
		}
	}
	return false
}

// isServiceAnswer reports whether the answer is a receipt of the emulated service
// for a completed request with the given id.
func isServiceAnswer(externalID, answer string) bool {
	var receipt struct {
		RequestID string `json:"request_id"`
		State     string `json:"state"`
	}
	return json.Unmarshal([]byte(answer), &receipt) == nil && receipt.RequestID == externalID && receipt.State == "done"
}

// checkRefusals checks that no valid request is refused as invalid, and that no
// node reports an existing program or tenant as unknown. A prompt that crashes
// backend servers may be refused.
func (c *checker) checkRefusals() {
	for _, call := range c.history.Calls {
		if call.Code != outcome.Invalid || call.Reason == outcome.CrashesBackend {
			continue
		}
		ordinary := call.Origin == "main" || call.Origin == "streamed"
		denied := call.Reason != outcome.Conflict && call.Reason != outcome.ProgramEnded
		if ordinary || denied {
			c.report("refused", fmt.Sprintf("%s %s was refused as %s", call.Program, call.RequestID, call.Reason), c.callsOf(call.Program)...)
		}
	}
}

// checkProgram checks the history and the budget of a program: G1, G2, G3 and G7.
func (c *checker) checkProgram(p Program) {
	if p.ReadError != "" {
		c.report("G2", fmt.Sprintf("the history of %s cannot be read", p.ID), p.ReadError)
		return
	}
	entries := map[string]Entry{}
	order := 0
	for _, entry := range p.Entries {
		if entry.Order <= order {
			c.report("G1", fmt.Sprintf("%s: order %d follows order %d in the history", p.ID, entry.Order, order), formatLines(p.Entries)...)
		}
		order = entry.Order
		if _, duplicate := entries[entry.RequestID]; duplicate {
			c.report("G2", fmt.Sprintf("%s: request %s is in the history twice", p.ID, entry.RequestID), formatLines(p.Entries)...)
		}
		entries[entry.RequestID] = entry
		key := requestKey{p.ID, entry.RequestID}
		if len(c.calls[key]) == 0 {
			c.report("G2", fmt.Sprintf("%s: request %s of the history was never sent", p.ID, entry.RequestID), formatLines(p.Entries)...)
		}
		if !entry.Model && entry.Code == outcome.Completed && len(c.effects[key]) == 0 {
			c.report("G7", fmt.Sprintf("%s %s is completed in the history but has no effect", p.ID, entry.RequestID), c.evidenceFor(key)...)
		}
	}
	c.checkRecorded(p, entries)
	c.checkBudget(p)
}

// checkRecorded checks that answers that callers received as recorded are in the
// final history: G2.
func (c *checker) checkRecorded(p Program, entries map[string]Entry) {
	for key, calls := range c.calls {
		if key.program != p.ID {
			continue
		}
		entry, found := entries[key.request]
		for _, call := range calls {
			if !call.Recorded {
				continue
			}
			if !found || entry.Code != call.Code || entry.Answer != call.Answer {
				c.report("G2", fmt.Sprintf("%s %s was answered as recorded, but the history has no such answer", p.ID, key.request), c.evidenceFor(key)...)
			}
		}
	}
}

// checkBudget checks that no program spends more than its budget: G3. It also
// counts the tokens that engines generated, independently of the account.
func (c *checker) checkBudget(p Program) {
	var generated int64
	for _, entry := range p.Entries {
		if entry.Model {
			generated += int64(len(entry.Answer) / engine.BytesPerToken)
		}
	}
	if p.Spent+p.Reserved > p.Limit || generated > p.Limit {
		c.report("G3", fmt.Sprintf("%s: limit %d, spent %d, reserved %d, generated %d", p.ID, p.Limit, p.Spent, p.Reserved, generated), formatLines(p.Entries)...)
	}
}

// String returns the violation and its evidence in readable form.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail + "\n " + strings.Join(v.Evidence, "\n ")
}
