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

func bookOf(entries ...*turnpb.LedgerEntry) *turnpb.Ledger { return &turnpb.Ledger{Entries: entries} }

var _ = Describe("Tally", func() {
	set := readySet("a", "b", "c", "d")
	reservation := func(budget int64) Operation {
		return Operation{Records: []*turnpb.Record{reserve("mine", 40)}, Budget: budget}
	}

	It("is not content with fewer than a majority", func() {
		t := newTally(reservation(1000), set)
		t.ok("a", true, bookOf(entryOf("mine", 40, false)), nil)
		t.ok("b", true, bookOf(entryOf("mine", 40, false)), nil)
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	// A member that is asked for the conversation in a second message answers
	// twice; a day's log showed five of four members.
	It("counts a member that answers twice once, and only where it stored the records", func() {
		t := newTally(Operation{Records: []*turnpb.Record{reserve("mine", 40)}, Budget: 1000, Chain: "x"}, set)
		t.ok("a", true, bookOf(entryOf("mine", 40, false)), &turnpb.Chain{Id: "x"})
		t.ok("b", true, bookOf(entryOf("mine", 40, false)), nil)
		t.ok("b", false, nil, &turnpb.Chain{Id: "x"})
		t.ok("c", false, nil, &turnpb.Chain{Id: "x"})
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	It("sees a reservation that only one store of the majority knows, so that two fronts cannot both spend the rest", func() {
		t := newTally(reservation(100), set)
		t.ok("a", true, bookOf(entryOf("mine", 40, false)), nil)
		t.ok("b", true, bookOf(entryOf("mine", 40, false)), nil)
		t.ok("c", true, bookOf(entryOf("mine", 40, false), entryOf("other", 70, false)), nil)
		Expect(t.result(1).Verdict).To(Equal(Spent))
	})

	It("counts what was handed out in place of what was reserved, whichever store knows", func() {
		t := newTally(reservation(100), set)
		t.ok("a", true, bookOf(entryOf("other", 70, false)), nil)
		t.ok("b", true, bookOf(entryOf("other", 10, true)), nil)
		t.ok("c", true, bookOf(entryOf("other", 70, false)), nil)
		Expect(t.result(1).Verdict).To(Equal(Stored))
	})

	It("says that a turn is missing only if every majority is represented", func() {
		t := newTally(Operation{Chain: "x"}, set)
		t.ok("a", true, nil, &turnpb.Chain{Id: "x"})
		t.ok("b", true, nil, nil)
		t.ok("c", true, nil, nil)
		Expect(t.result(1).Verdict).To(Equal(Undecided))
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
		t.ok("d", true, nil, &turnpb.Chain{Id: "x"})
		Expect(t.result(0).Verdict).To(Equal(Missing))
	})

	It("never says that a turn is missing when one store has it but not its predecessors", func() {
		t := newTally(Operation{Chain: "x"}, set)
		for _, disk := range []string{"a", "b", "c", "d"} {
			t.ok(disk, true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "x", Previous: "w"}}})
		}
		Expect(t.result(0).Verdict).To(Equal(Uncertain))
	})

	It("puts a conversation together from stores that have different parts", func() {
		t := newTally(Operation{Chain: "x"}, set)
		t.ok("a", true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "x", Previous: "w", Content: []byte("2")}}})
		t.ok("b", true, nil, &turnpb.Chain{Id: "x", Turns: []*turnpb.Turn{{Id: "w", Content: []byte("1")}}})
		t.ok("c", true, nil, nil)
		result := t.result(0)
		Expect(result.Verdict).To(Equal(Stored))
		Expect(result.Conversation).To(Equal([][]byte{[]byte("1"), []byte("2")}))
	})
})
