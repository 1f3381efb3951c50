package turnstore

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

func readySet(disks ...string) copyset.Set {
	set := copyset.Set{Version: 3}
	for _, disk := range disks {
		set.Members = append(set.Members, copyset.Member{Disk: disk, Host: disk, Ready: true})
	}
	return set
}

func entryOf(attempt string, tokens int64, settled bool) *turnpb.LedgerEntry {
	return &turnpb.LedgerEntry{Attempt: attempt, Tokens: tokens, Settled: settled}
}

func ledgerOf(entries ...*turnpb.LedgerEntry) *turnpb.Ledger { return &turnpb.Ledger{Entries: entries} }

var _ = Describe("Tally", func() {
	set := readySet("a", "b", "c", "d")
	reservation := func(budget int64) Operation {
		return Operation{Records: []*turnpb.Record{reserve("mine", 40)}, Budget: budget}
	}

	It("is undecided, or finally uncertain, with fewer than a majority", func() {
		t := newTally(reservation(1000), set)
		t.addAnswer("a", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		t.addAnswer("b", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	// A member that is asked for the conversation in a second request answers
	// twice; the log of one day showed five answers from four members.
	It("counts a member that answers twice once, and as synced only if it stored the records", func() {
		t := newTally(Operation{Records: []*turnpb.Record{reserve("mine", 40)}, Budget: 1000, Chain: "x"}, set)
		t.addAnswer("a", true, ledgerOf(entryOf("mine", 40, false)), &turnpb.Chain{Id: "x"}, nil)
		t.addAnswer("b", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		t.addAnswer("b", false, nil, &turnpb.Chain{Id: "x"}, nil)
		t.addAnswer("c", false, nil, &turnpb.Chain{Id: "x"}, nil)
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	It("counts a reservation that only one member of the majority has, so that two front servers cannot both spend the rest", func() {
		t := newTally(reservation(100), set)
		t.addAnswer("a", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		t.addAnswer("b", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		t.addAnswer("c", true, ledgerOf(entryOf("mine", 40, false), entryOf("other", 70, false)), nil, nil)
		Expect(t.result(1).Verdict).To(Equal(OverBudget))
	})

	It("counts a settlement in place of its reservation, whichever member has it", func() {
		t := newTally(reservation(100), set)
		t.addAnswer("a", true, ledgerOf(entryOf("other", 70, false)), nil, nil)
		t.addAnswer("b", true, ledgerOf(entryOf("other", 10, true)), nil, nil)
		t.addAnswer("c", true, ledgerOf(entryOf("other", 70, false)), nil, nil)
		Expect(t.result(1).Verdict).To(Equal(Stored))
	})

	// Guards against a conversation that anyone can continue because a front of an earlier
	// release has stored its last turn.
	It("names the organisation of the newest turn that has one", func() {
		t := newTally(Operation{Chain: "z"}, set)
		chain := &turnpb.Chain{Id: "z", Whole: true, Turns: []*turnpb.Turn{{Id: "z", Previous: "y"}, {Id: "y", Previous: "x", Organisation: "org"}, {Id: "x"}}}
		for _, disk := range []string{"a", "b", "c"} {
			t.addAnswer(disk, true, nil, chain, nil)
		}
		Expect(t.result(0).Organisation).To(Equal("org"))
	})

	It("reports a turn as missing only after a read quorum has answered", func() {
		t := newTally(Operation{Chain: "x"}, set)
		t.addAnswer("a", true, nil, &turnpb.Chain{Id: "x"}, nil)
		t.addAnswer("b", true, nil, nil, nil)
		t.addAnswer("c", true, nil, nil, nil)
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
		t.addAnswer("d", true, nil, &turnpb.Chain{Id: "x"}, nil)
		Expect(t.result(0).Verdict).To(Equal(TurnMissing))
	})

	It("does not report a turn as missing when members have it without its predecessors", func() {
		t := newTally(Operation{Chain: "x"}, set)
		for _, disk := range []string{"a", "b", "c", "d"} {
			t.addAnswer(disk, true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "x", Previous: "w"}}}, nil)
		}
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	It("assembles a conversation from members that have different parts", func() {
		t := newTally(Operation{Chain: "x"}, set)
		t.addAnswer("a", true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "x", Previous: "w", Content: []byte("2")}}}, nil)
		t.addAnswer("b", true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "w", Content: []byte("1")}}}, nil)
		t.addAnswer("c", true, nil, nil, nil)
		result := t.result(0)
		Expect(result.Verdict).To(Equal(Stored))
		Expect(result.Conversation).To(Equal([][]byte{[]byte("1"), []byte("2")}))
	})

	// Guards against a stream that goes on where an earlier attempt at it was refused,
	// because a store that missed the newest fact answered first.
	It("returns the newest fact that any member of a majority knows", func() {
		t := newTally(Operation{FactKey: "k"}, set)
		t.addAnswer("a", false, nil, nil, &turnpb.Fact{Key: "k", Version: 2, Value: []byte("new")})
		t.addAnswer("b", false, nil, nil, &turnpb.Fact{Key: "k", Version: 1, Value: []byte("old")})
		Expect(t.result(2).Verdict).To(Equal(Undecided))
		t.addAnswer("c", false, nil, nil, &turnpb.Fact{Key: "k"})
		Expect(t.result(1).Verdict).To(Equal(Stored))
		Expect(t.result(1).Fact).To(And(HaveField("Version", BeEquivalentTo(2)), HaveField("Value", Equal([]byte("new")))))
	})
})
