package turnstore

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

// reserveOf is a reservation as fronts send it, with the budget.
func reserveOf(attempt string, tokens, budget int64, left time.Duration) *turnpb.Record {
	record := reserve(attempt, tokens)
	record.GetReservation().Budget = budget
	record.GetReservation().ExpiresUnixMs = time.Now().Add(left).UnixMilli()
	return record
}

// withdraw is the settlement of an attempt that generated nothing.
func withdraw(attempt string, left time.Duration) *turnpb.Record {
	record := settle(attempt, 0)
	record.GetSettlement().ExpiresUnixMs = time.Now().Add(left).UnixMilli()
	return record
}

// listed returns the records that a store would give to one that joins.
func (s *testStore) listed(c *cluster) []*turnpb.Record {
	GinkgoHelper()
	reply, err := s.server.Pull(context.Background(), &turnpb.PullRequest{CopySet: c.set().Version})
	Expect(err).NotTo(HaveOccurred())
	return reply.Records
}

var _ = Describe("The ledger of a program that loops without end", func() {
	op := func(attempt string, budget int64) Operation {
		return Operation{Records: []*turnpb.Record{reserveOf(attempt, 40, budget, time.Hour)}, Budget: budget}
	}

	// Guards against fronts and stores whose memory grows with each turn that is refused,
	// until they are killed (LOST, review/4).
	It("does not grow with the turns that are refused, and each is refused at once", func() {
		c := newCluster("a", "b", "c", "d")
		client := c.newClient()
		Expect(do(client, op("x", 100)).Verdict).To(Equal(Stored))
		Expect(do(client, Operation{Records: []*turnpb.Record{settle("x", 80)}}).Verdict).To(Equal(Stored))
		for i := range 300 {
			result := do(client, op(fmt.Sprint("refused", i), 100))
			Expect(result.Verdict).To(Equal(OverBudget))
			Expect(result.Spent).To(BeEquivalentTo(80))
			Expect(result.LedgerEntries).To(BeNumerically("<=", 1))
			client.Send(withdraw(fmt.Sprint("refused", i), time.Minute))
		}
		for _, s := range c.stores {
			Expect(len(s.listed(c))).To(BeNumerically("<=", 2), "the reservation and its settlement")
		}
		Expect(do(client, op("larger", 1000)).Verdict).To(Equal(Stored), "a larger budget has room")
	})

	// Guards against a budget that is had again, because the ledger expired although the
	// program went on, also when the store has restarted.
	It("is kept as long as its turns are refused", func() {
		folder := GinkgoT().TempDir()
		open := func() *Server { return openServer(folder) }
		first := open()
		apply := func(s *Server, records ...*turnpb.Record) *turnpb.ExchangeReply {
			GinkgoHelper()
			set := readySet(s.Disk())
			reply, err := s.Exchange(context.Background(), &turnpb.ExchangeRequest{CopySet: set.Version, Set: encodeVersionedSet(set), Records: records})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Status).To(Equal(turnpb.Status_STATUS_OK))
			return reply
		}
		spent := settle("x", 80)
		spent.GetSettlement().ExpiresUnixMs = time.Now().Add(time.Second).UnixMilli()
		apply(first, spent)
		reply := apply(first, reserveOf("y", 40, 100, time.Hour))
		Expect(reply.Ledgers[0].Refused).To(BeTrue())
		Expect(reply.Ledgers[0].SettledTokens).To(BeEquivalentTo(80))
		again := open()
		time.Sleep(time.Second + 2*expireInterval)
		Expect(apply(again, reserveOf("z", 40, 100, time.Hour)).Ledgers[0].Refused).To(BeTrue())
	})

	// Guards against a ledger that grows with turns that the program's budget allows and
	// that never run, because no backend server takes them.
	It("drops attempts that generated nothing after a while, and nothing else", func() {
		s := newState()
		applyIn(s, settle("spent", 5), 1)
		applyIn(s, reserve("open", 7), 1)
		for i := range 100 {
			applyIn(s, reserve(fmt.Sprint("w", i), 9), 1)
			applyIn(s, withdraw(fmt.Sprint("w", i), time.Second), 1)
		}
		Expect(applyIn(s, reserve("w1", 9), 1)).To(BeFalse(), "a reservation that arrives late is over")
		Expect(s.ledger("p", s.nextCursor).Entries).To(HaveLen(2), "replies have the newest of them only")
		Expect(s.ledger("p", 0).Entries).To(HaveLen(102))
		s.expire(time.Now().Add(2 * time.Second))
		Expect(s.ledger("p", 0).Entries).To(HaveLen(2))
		s.expire(time.Now().Add(time.Hour))
		Expect(s.bytes).To(BeZero())
	})

	It("keeps what a front of the release before reserves, which does not say its budget", func() {
		c := newCluster("a")
		s := c.stores["a"].server
		_, err := s.Import(context.Background(), []*turnpb.Record{settle("x", 80)})
		Expect(err).NotTo(HaveOccurred())
		reply, err := s.Exchange(context.Background(), &turnpb.ExchangeRequest{CopySet: c.set().Version, Records: []*turnpb.Record{reserve("y", 40)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Ledgers[0].Refused).To(BeFalse())
		Expect(reply.Ledgers[0].Entries).To(HaveLen(2))
	})

	// Guards against a refusal of one member that is outvoted by others, which lack what
	// was settled.
	It("is spent if one member says so, whatever the others answer", func() {
		t := newTally(op("mine", 100), readySet("a", "b", "c", "d"))
		t.addAnswer("a", true, ledgerOf(entryOf("mine", 40, false)), nil, nil)
		Expect(t.result(3).Verdict).To(Equal(Undecided))
		t.addAnswer("b", true, &turnpb.Ledger{Refused: true, SettledTokens: 80}, nil, nil)
		Expect(t.result(2).Verdict).To(Equal(OverBudget))
		Expect(t.result(2).Spent).To(BeEquivalentTo(80))
		Expect(t.result(2).Reserved).To(BeZero())
	})
})
