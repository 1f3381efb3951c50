package check_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/outcome"
	"dogwoodline.example/soak/check"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak check")
}

const receipt = `{"request_id":"p:r2","operation":"post","state":"done","sequence":1}`

// validHistory returns a history without a violation: a model call, a call of
// the ledger service, a planned stop, a kill, a leaving engine, and one accepted
// write.
func validHistory() check.History {
	text := engine.AnswerText("p:r1@n-1", 1, 5)
	return check.History{
		Calls: []check.Call{
			{Program: "p", RequestID: "r1", Order: 1, Model: true, Origin: "main", Invoked: 1, Returned: 2, Code: outcome.Completed,
				Answer: text, Attempt: 1, MaxTokens: 5, Recorded: true},
			{Program: "p", RequestID: "r2", Order: 2, Origin: "main", Invoked: 3, Returned: 4, Code: outcome.Completed,
				Answer: receipt, Attempt: 1, Recorded: true},
			{Program: "p", RequestID: "r3", Order: 3, Origin: "main", Invoked: 5, Returned: 6, Code: outcome.NotRun},
		},
		Effects: []check.Effect{{Sequence: 1, Program: "p", RequestID: "r2", Order: 2}},
		Programs: []check.Program{{ID: "p", Limit: 100, Spent: 20, Entries: []check.Entry{
			{RequestID: "r1", Order: 1, Model: true, Code: outcome.Completed, Answer: text, Recorded: true},
			{RequestID: "r2", Order: 2, Code: outcome.Completed, Answer: receipt, Recorded: true},
		}}},
		Recoveries:   []check.Recovery{{Node: "n", Program: "p", Killed: time.Second, Served: 5 * time.Second}},
		Stops:        []check.Stop{{Node: "n", Begin: 0, End: 4}},
		EngineLeaves: []check.EngineLeave{{Engine: "e", StartedAtBound: 4, StartedAtEnd: 4}},
		ConfigWrites: []check.ConfigWrite{{Resource: "x", Expected: 1, Version: 2, Accepted: true, Returned: time.Second}},
		ConfigReads: []check.ConfigRead{{Node: "n", Resource: "x", Version: 1, RequestedAt: 2 * time.Second, AnsweredAt: 2 * time.Second},
			{Node: "n", Resource: "x", Version: 2, RequestedAt: 13 * time.Second, AnsweredAt: 13 * time.Second}},
		CrashingPrompts: []check.CrashingPrompt{{Text: "t", Crashes: 2, Allowed: 2}},
		Incarnations:    []string{"n-1", "n-2"},
	}
}

// guarantees returns the guarantees that the history violates.
func guarantees(h check.History) []string {
	var names []string
	for _, v := range check.Check(h, check.DefaultBounds(3*time.Second)) {
		names = append(names, v.Guarantee)
	}
	return names
}

var _ = Describe("Check", func() {
	It("finds no violation in a valid history", func() {
		Expect(check.Check(validHistory(), check.DefaultBounds(3*time.Second))).To(BeEmpty())
	})

	// Each entry guards against a check that overlooks one kind of violation.
	DescribeTable("finds each violation",
		func(guarantee string, corrupt func(*check.History)) {
			h := validHistory()
			corrupt(&h)
			Expect(guarantees(h)).To(ContainElement(guarantee))
		},
		Entry("a duplicate effect", "G7", func(h *check.History) {
			h.Effects = append(h.Effects, check.Effect{Sequence: 2, Program: "p", RequestID: "r2", Order: 2})
		}),
		Entry("a completed service call without an effect", "G7", func(h *check.History) { h.Effects = nil }),
		Entry("an effect of a request that was answered as not run", "G6", func(h *check.History) {
			h.Effects = append(h.Effects, check.Effect{Sequence: 2, Program: "p", RequestID: "r3", Order: 3})
		}),
		Entry("effects out of order", "G1", func(h *check.History) {
			h.Effects = append([]check.Effect{{Sequence: 0, Program: "p", RequestID: "r3", Order: 3}}, h.Effects...)
		}),
		Entry("a history out of order", "G1", func(h *check.History) { h.Programs[0].Entries[1].Order = 1 }),
		Entry("an answer to another request", "G5", func(h *check.History) { h.Calls[0].Answer = engine.AnswerText("p:r9@n-1", 1, 5) }),
		Entry("a truncated answer", "G5", func(h *check.History) { h.Calls[0].Answer = h.Calls[0].Answer[:8] }),
		Entry("an answer mixed from two attempts", "G5", func(h *check.History) {
			h.Calls[0].Answer = h.Calls[0].Answer[:8] + engine.AnswerText("p:r1@n-1", 2, 5)[8:]
		}),
		Entry("a receipt for another request", "G5", func(h *check.History) { h.Calls[1].Answer = `{"request_id":"p:r9","state":"done"}` }),
		Entry("a recorded answer that is lost", "G2", func(h *check.History) { h.Programs[0].Entries = h.Programs[0].Entries[1:] }),
		Entry("a recorded answer that changed", "G2", func(h *check.History) { h.Programs[0].Entries[0].Answer = "x" }),
		Entry("a history with a request that was never sent", "G2", func(h *check.History) {
			h.Programs[0].Entries = append(h.Programs[0].Entries, check.Entry{RequestID: "q", Order: 3, Model: true})
		}),
		Entry("a program whose history cannot be read", "G2", func(h *check.History) { h.Programs[0].ReadError = "unknown_program" }),
		Entry("a valid request that is refused", "refused", func(h *check.History) {
			h.Calls[2].Code, h.Calls[2].Reason = outcome.Invalid, outcome.UnknownProgram
		}),
		Entry("an exceeded budget", "G3", func(h *check.History) { h.Programs[0].Reserved = 81 }),
		Entry("memory held for an ended program", "G4", func(h *check.History) { h.HeldMemory = []check.HeldMemory{{Engine: "e", Program: "p", Tokens: 1}} }),
		Entry("a call started by a leaving engine after the bound", "G8", func(h *check.History) { h.EngineLeaves[0].StartedAtEnd = 5 }),
		Entry("a planned stop that fails", "G9", func(h *check.History) { h.Stops[0].ExitCode = 1 }),
		Entry("a planned stop that fails a call", "G9", func(h *check.History) {
			h.Calls[0].Code, h.Calls[0].Recorded = outcome.Unknown, false
		}),
		Entry("a configuration that reverts to an older version", "G10", func(h *check.History) {
			h.ConfigReads = append(h.ConfigReads, check.ConfigRead{Node: "n", Resource: "x", Version: 1, RequestedAt: 14 * time.Second, AnsweredAt: 14 * time.Second})
		}),
		Entry("a configuration that reaches a node too late", "G10", func(h *check.History) { h.ConfigReads[1].Version = 1 }),
		Entry("two writes that replace the same version", "G10", func(h *check.History) {
			h.ConfigWrites = append(h.ConfigWrites, check.ConfigWrite{Resource: "x", Expected: 1, Version: 3, Accepted: true, Returned: 20 * time.Second})
		}),
		Entry("a late recovery", "recovery", func(h *check.History) { h.Recoveries[0].Served = 10 * time.Second }),
		Entry("a missing recovery", "recovery", func(h *check.History) { h.Recoveries[0].Failed = true }),
		Entry("a request that crashes a third engine", "crashing request", func(h *check.History) { h.CrashingPrompts[0].Crashes = 3 }),
	)

	It("does not blame a planned stop for the failures of another fault", func() {
		h := validHistory()
		h.Calls[0].Code, h.Calls[0].Recorded = outcome.Unknown, false
		h.Faults = []check.Fault{{Kind: "kill", Target: "n", Begin: 0, End: 3}}
		Expect(guarantees(h)).NotTo(ContainElement("G9"))
	})
})
