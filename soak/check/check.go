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

// Bounds are the times of the design page, section 1.2 and 1.3.
type Bounds struct {
	// Recovery bounds the time until a program of a killed node is served.
	Recovery time.Duration
	// Config bounds the time until an accepted resource is in force.
	Config time.Duration
}

// DefaultBounds returns the bounds of the design page for a lease.
func DefaultBounds(lease time.Duration) Bounds {
	return Bounds{Recovery: lease + 5*time.Second, Config: 11 * time.Second}
}

// requestKey names a request of a program.
type requestKey struct {
	program, request string
}

type checker struct {
	history    History
	bounds     Bounds
	calls      map[requestKey][]Call
	effects    map[requestKey][]Effect
	violations []Violation
}

// Check returns every violation that the history shows.
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

func (c *checker) report(guarantee, detail string, evidence ...string) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, Detail: detail, Evidence: evidence})
}

// about returns the lines of the history that concern a request.
func (c *checker) about(key requestKey) []string {
	lines := linesOf(c.calls[key])
	lines = append(lines, linesOf(c.effects[key])...)
	for _, p := range c.history.Programs {
		for _, entry := range p.Entries {
			if p.ID == key.program && entry.RequestID == key.request {
				lines = append(lines, entry.String())
			}
		}
	}
	return append(lines, c.faultsDuring(c.calls[key])...)
}

func linesOf[T fmt.Stringer](items []T) []string {
	result := make([]string, len(items))
	for i, item := range items {
		result[i] = item.String()
	}
	return result
}

// faultsDuring returns the faults near the calls.
func (c *checker) faultsDuring(calls []Call) []string {
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

// checkEffects compares the ledger with what callers were told: G6 and G7.
func (c *checker) checkEffects() {
	for key, effects := range c.effects {
		if len(effects) > 1 {
			c.report("G7", fmt.Sprintf("%s %s took effect %d times", key.program, key.request, len(effects)), c.about(key)...)
		}
		if !slices.ContainsFunc(c.calls[key], mayRun) {
			c.report("G6", fmt.Sprintf("%s %s took effect, and every caller was told that it did not run", key.program, key.request), c.about(key)...)
		}
	}
	for key, calls := range c.calls {
		completed := slices.ContainsFunc(calls, func(call Call) bool { return !call.Model && call.Code == outcome.Completed })
		if completed && len(c.effects[key]) == 0 {
			c.report("G7", fmt.Sprintf("%s %s completed without an effect", key.program, key.request), c.about(key)...)
		}
	}
}

// mayRun reports whether the caller has to expect that the request ran.
func mayRun(call Call) bool { return !call.told() }

// told reports whether the caller was told that the request did not run.
func (c Call) told() bool { return (outcome.Outcome{Code: c.Code}).ProvablyNotRun() }

// checkEffectOrder checks that the effects of a program follow its order: G1.
func (c *checker) checkEffectOrder() {
	last := map[string]Effect{}
	for _, effect := range c.history.Effects {
		before, ok := last[effect.Program]
		if ok && effect.Order < before.Order {
			evidence := append([]string{before.String(), effect.String()}, c.about(requestKey{effect.Program, effect.RequestID})...)
			evidence = append(evidence, c.about(requestKey{before.Program, before.RequestID})...)
			c.report("G1", fmt.Sprintf("%s: order %d took effect after order %d", effect.Program, effect.Order, before.Order), evidence...)
		}
		last[effect.Program] = effect
	}
}

// checkAnswers checks that each answer belongs to its own request: G5.
func (c *checker) checkAnswers() {
	for key, calls := range c.calls {
		for _, call := range calls {
			if call.Code == outcome.Completed && !c.ownAnswer(key, call) {
				c.report("G5", fmt.Sprintf("%s %s got an answer that is not its own or not complete", key.program, key.request), c.about(key)...)
			}
		}
	}
}

// hedgeSuffix ends the id of the second copy of a call towards engines.
const hedgeSuffix = "~2"

// ownAnswer reports whether the answer is one that the stand-ins give to this
// request: from one owner, of one attempt and one copy.
func (c *checker) ownAnswer(key requestKey, call Call) bool {
	outside := key.program + ":" + key.request
	if !call.Model {
		return serviceAnswer(outside, call.Answer)
	}
	for _, owner := range c.history.Incarnations {
		for _, copied := range []string{"", hedgeSuffix} {
			if call.Answer == engine.AnswerText(outside+"@"+owner+copied, call.Attempt, call.MaxTokens) {
				return true
			}
		}
	}
	return false
}

func serviceAnswer(outside, answer string) bool {
	var receipt struct {
		RequestID string `json:"request_id"`
		State     string `json:"state"`
	}
	return json.Unmarshal([]byte(answer), &receipt) == nil && receipt.RequestID == outside && receipt.State == "done"
}

// checkRefusals checks that no correct request is refused for good, and that
// no node denies a program or a tenant that exists. A crashing prompt may be
// refused.
func (c *checker) checkRefusals() {
	for _, call := range c.history.Calls {
		if call.Code != outcome.Invalid || call.Reason == outcome.CrashesBackend {
			continue
		}
		ordinary := call.Via == "main" || call.Via == "streamed"
		denied := call.Reason != outcome.Conflict && call.Reason != outcome.ProgramEnded
		if ordinary || denied {
			c.report("refused", fmt.Sprintf("%s %s was refused as %s", call.Program, call.RequestID, call.Reason), c.callsOf(call.Program)...)
		}
	}
}

// checkProgram checks history and budget of a program: G1, G2 and G3.
func (c *checker) checkProgram(p Program) {
	if p.Missing != "" {
		c.report("G2", fmt.Sprintf("the history of %s cannot be read", p.ID), p.Missing)
		return
	}
	entries := map[string]Entry{}
	order := 0
	for _, entry := range p.Entries {
		if entry.Order <= order {
			c.report("G1", fmt.Sprintf("%s: history has order %d after %d", p.ID, entry.Order, order), linesOf(p.Entries)...)
		}
		order = entry.Order
		if _, twice := entries[entry.RequestID]; twice {
			c.report("G2", fmt.Sprintf("%s: request %s is in the history twice", p.ID, entry.RequestID), linesOf(p.Entries)...)
		}
		entries[entry.RequestID] = entry
		key := requestKey{p.ID, entry.RequestID}
		if len(c.calls[key]) == 0 {
			c.report("G2", fmt.Sprintf("%s: request %s of the history was never sent", p.ID, entry.RequestID), linesOf(p.Entries)...)
		}
		if !entry.Model && entry.Code == outcome.Completed && len(c.effects[key]) == 0 {
			c.report("G7", fmt.Sprintf("%s %s is completed in the history without an effect", p.ID, entry.RequestID), c.about(key)...)
		}
	}
	c.checkRecorded(p, entries)
	c.checkBudget(p)
}

// checkRecorded checks that recorded answers are in the final history.
func (c *checker) checkRecorded(p Program, entries map[string]Entry) {
	for key, calls := range c.calls {
		if key.program != p.ID {
			continue
		}
		entry, kept := entries[key.request]
		for _, call := range calls {
			if !call.Recorded {
				continue
			}
			if !kept || entry.Code != call.Code || entry.Answer != call.Answer {
				c.report("G2", fmt.Sprintf("%s %s was answered as recorded, and the history does not have it so", p.ID, key.request), c.about(key)...)
			}
		}
	}
}

// checkBudget checks that no program spends beyond its budget: G3. What the
// engines generated is counted here again, apart from the account.
func (c *checker) checkBudget(p Program) {
	var used int64
	for _, entry := range p.Entries {
		if entry.Model {
			used += int64(len(entry.Answer) / engine.BytesPerToken)
		}
	}
	if p.Spent+p.Reserved > p.Limit || used > p.Limit {
		c.report("G3", fmt.Sprintf("%s: limit %d, spent %d, reserved %d, generated %d", p.ID, p.Limit, p.Spent, p.Reserved, used), linesOf(p.Entries)...)
	}
}

// String returns the violation with its evidence, for people.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail + "\n    " + strings.Join(v.Evidence, "\n    ")
}
