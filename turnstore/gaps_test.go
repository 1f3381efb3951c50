package turnstore

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

// conversationOf returns the records of a conversation of that many turns, t0 first.
func conversationOf(turns int) []*turnpb.Record {
	records := make([]*turnpb.Record, 0, turns)
	previous := ""
	for i := range turns {
		id := fmt.Sprint("t", i)
		records = append(records, turnRecord(id, previous, fmt.Sprint("content of ", id), time.Hour))
		previous = id
	}
	return records
}

// contentsOf returns what a reader gets of the conversation.
func contentsOf(records []*turnpb.Record) [][]byte {
	contents := make([][]byte, 0, len(records))
	for _, record := range records {
		contents = append(contents, record.GetTurn().Content)
	}
	return contents
}

// importInto makes records durable at one store, as if the others had not got them.
func (c *cluster) importInto(host string, records ...*turnpb.Record) {
	GinkgoHelper()
	_, err := c.stores[host].server.Import(context.Background(), records)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A conversation whose turns are on different stores", func() {
	// Guards against a conversation that is refused for good although three disks hold
	// each of its turns, because each store was restarted once and lacks the turns of
	// that time (LOST, review/1).
	It("is read although no store has all of its turns", func() {
		c := newCluster("a", "b", "c", "d")
		records := conversationOf(12)
		hosts := []string{"a", "b", "c", "d"}
		for i, record := range records {
			for h, host := range hosts {
				if h != i/3 { // the store that was restarted then
					c.importInto(host, record)
				}
			}
		}
		result := do(c.newClient(), Operation{Chain: "t11"})
		Expect(result.Verdict).To(Equal(Stored))
		Expect(result.Conversation).To(Equal(contentsOf(records)))
	})

	// Guards against a reader that gives up after one gap, or goes on with the wrong turn.
	It("is read when the store that lacks a turn changes with each turn", func() {
		c := newCluster("a", "b", "c", "d")
		records := conversationOf(9)
		for i, record := range records {
			for h, host := range []string{"a", "b", "c", "d"} {
				if h != i%4 {
					c.importInto(host, record)
				}
			}
		}
		result := do(c.newClient(), Operation{Chain: "t8", Records: []*turnpb.Record{reserve("r", 1)}, Budget: 10})
		Expect(result.Verdict).To(Equal(Stored))
		Expect(result.Conversation).To(Equal(contentsOf(records)))
	})

	// Guards against a request that is held until its deadline, or answered with a part
	// of the conversation, when an earlier turn is on no store.
	It("is not read, and the turn that is missing is named, when no store has one of them", func() {
		c := newCluster("a", "b", "c", "d")
		records := conversationOf(6)
		for i, record := range records {
			for _, host := range []string{"a", "b", "c", "d"} {
				if i != 2 {
					c.importInto(host, record)
				}
			}
		}
		started := time.Now()
		result := do(c.newClient(), Operation{Chain: "t5"})
		Expect(result.Verdict).To(Equal(Uncertain))
		Expect(result.MissingTurn).To(Equal("t2"))
		Expect(result.Conversation).To(BeEmpty())
		Expect(time.Since(started)).To(BeNumerically("<", exchangeTimeout))
	})
})

var _ = Describe("Gaps of a store", func() {
	It("are due from the second look on, until the turn is here or no store has it", func() {
		g := gaps{}
		g.extend("a", 5)
		g.extend("b", 6)
		Expect(g.due(9)).To(BeEmpty(), "a turn may arrive shortly after one that continues it")
		Expect(g.due(9)).To(ConsistOf("a", "b"))
		Expect(g.due(1)).To(HaveLen(1))
		g.setAbsent([]string{"a", "unknown"})
		Expect(g.due(9)).To(ConsistOf("b"))
		Expect(g.fill("b")).To(BeEquivalentTo(6))
		Expect(g.fill("b")).To(BeZero())
	})
})
