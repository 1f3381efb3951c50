package turnstore

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("Transfers between stores", func() {
	const turns, turnBytes = 300, 4 << 10

	// storeTurns stores one conversation of many turns, more than fit on a page.
	storeTurns := func(c *cluster) {
		client := c.newClient()
		previous := ""
		for i := range turns {
			id := fmt.Sprint("t", i)
			op := Operation{Records: []*turnpb.Record{turnRecord(id, previous, strings.Repeat("x", turnBytes), time.Hour)}}
			Expect(do(client, op).Verdict).To(Equal(Stored))
			previous = id
		}
		Eventually(func() int64 { // the members beyond the majority
			least := int64(turns)
			for _, s := range c.stores {
				least = min(least, s.server.gauges.turnCount.Load())
			}
			return least
		}, "5s", "10ms").Should(BeEquivalentTo(turns))
		c.transferred.turnBytes.Store(0)
	}

	// Guards against transfers that grow with the number of stores: on the tutors'
	// grown deployment, with ten stores, a store that joined got each turn nine
	// times, and most bytes between availability zones were those.
	It("get the content of each turn once when a store joins, whatever the number of members", func() {
		c := newCluster("a", "b", "c", "d", "e", "f", "g")
		storeTurns(c)
		c.start("h", GinkgoT().TempDir())
		Expect(c.stores["h"].server.gauges.turnCount.Load()).To(BeEquivalentTo(turns))
		Expect(c.transferred.turnBytes.Load()).To(BeNumerically("<", 2*turns*turnBytes))
		for _, host := range []string{"a", "b", "c"} {
			c.stop(c.stores[host])
		}
		Expect(do(c.newClient(), Operation{Chain: fmt.Sprint("t", turns-1)}).Conversation).To(HaveLen(turns))
	})

	// Guards against a store that joins only after it has read every member of a
	// large set: on the tutors' grown deployment each of two stores took 4 s, the
	// second one after the first, while the set could lose no more.
	It("end when enough members have been read and further ones take long", func() {
		c := newCluster("a", "b", "c", "d", "e", "f")
		c.dialDelay.Store(int64(300 * time.Millisecond))
		c.dials.Store(0)
		c.start("g", GinkgoT().TempDir())
		Expect(c.dials.Load()).To(BeEquivalentTo(3), "each record is on four of the six, and the grace is over by then")
	})

	It("get no content that all members hold when a store is retired", func() {
		c := newCluster("a", "b", "c", "d")
		storeTurns(c)
		c.notify("d")
		Expect(c.stores["d"].joiner.Updates().TryPush(Update{Retire: &RetireOrder{}})).To(Succeed())
		Eventually(func() int { return len(c.set().Members) }, "5s", "10ms").Should(Equal(3))
		Expect(c.transferred.turnBytes.Load()).To(BeZero())
	})

	It("get the turns that only the retiring store holds", func() {
		c := newCluster("a", "b", "c", "d")
		_, err := c.stores["d"].server.Import(context.Background(), []*turnpb.Record{turnRecord("only", "", "here", time.Hour)})
		Expect(err).NotTo(HaveOccurred())
		c.notify("d")
		Expect(c.stores["d"].joiner.Updates().TryPush(Update{Retire: &RetireOrder{}})).To(Succeed())
		Eventually(func() int { return len(c.set().Members) }, "5s", "10ms").Should(Equal(3))
		Expect(do(c.newClient(), Operation{Chain: "only"}).Conversation).To(Equal([][]byte{[]byte("here")}))
	})

	It("do not import a turn without its content", func() {
		c := newCluster("a")
		stub := turnRecord("t", "", "", time.Hour)
		stub.GetTurn().ContentOmitted = true
		missing, err := c.stores["a"].server.Import(context.Background(), []*turnpb.Record{stub})
		Expect(err).NotTo(HaveOccurred())
		Expect(missing).To(Equal([]string{"t"}))
		Expect(c.stores["a"].server.gauges.turnCount.Load()).To(BeZero())
	})
})
