package turnstore

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("What a store lists for one that was away", func() {
	It("begins with the first record that may have arrived in that time", func() {
		now := time.Unix(1000, 0)
		var a arrivals
		Expect(a.since(now)).To(BeZero(), "nothing is known of the time before the start")
		for i := range 5 {
			a.mark(now.Add(time.Duration(i)*time.Second), uint64(10*i+10))
		}
		Expect(a.since(now.Add(-time.Second))).To(BeZero())
		Expect(a.since(now)).To(BeEquivalentTo(10))
		Expect(a.since(now.Add(2500 * time.Millisecond))).To(BeEquivalentTo(30))
		Expect(a.since(now.Add(time.Hour))).To(BeEquivalentTo(50))
		for i := range 2 * maxArrivalMarks {
			a.mark(now.Add(time.Duration(5+i)*time.Second), 50)
		}
		Expect(a).To(HaveLen(maxArrivalMarks))
	})

	It("has a mark each second while records arrive", func() {
		now := time.Unix(1000, 0)
		var a arrivals
		Expect(a.due(now)).To(BeTrue())
		a.mark(now, 0)
		Expect(a.due(now.Add(clockInterval - 1))).To(BeFalse())
		Expect(a.due(now.Add(clockInterval))).To(BeTrue())
	})

	// Guards against a store that lists all that it holds because it has restarted itself,
	// as the stores do one after the other in a release.
	It("is known after its own restart", func() {
		c := newCluster("a", "b")
		a := c.stores["a"]
		c.importInto("a", conversationOf(5)...)
		time.Sleep(2 * clockInterval)
		between := time.Now()
		c.importInto("a", turnRecord("late", "t4", "x", time.Hour))
		c.stop(a)
		c.start("a", a.folder)
		records := func(request *turnpb.PullRequest) []*turnpb.Record {
			request.CopySet = c.set().Version
			reply, err := c.stores["a"].server.Pull(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			return reply.Records
		}
		Expect(len(records(&turnpb.PullRequest{}))).To(BeNumerically(">=", 6))
		late := records(&turnpb.PullRequest{ArrivedWithinMs: uint64(time.Since(between).Milliseconds())})
		Expect(late).To(HaveLen(1))
		Expect(late[0].GetTurn().GetId()).To(Equal("late"))
	})

	// Guards against a store that takes records without a time, on a disk of the release
	// before, for ones that it has only just missed.
	It("is asked for from the last time in the log on, or else for all", func() {
		folder := GinkgoT().TempDir()
		open := func() *Server { return openServer(folder) }
		first := open()
		Expect(first.missedSince).To(BeZero(), "an empty disk pulls everything when it joins")
		before := time.Now().Truncate(time.Millisecond)
		_, err := first.Import(context.Background(), conversationOf(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(open().missedSince).To(BeTemporally("~", before, time.Second))
		folder = GinkgoT().TempDir()
		log, err := turnlog.Open(folder, func(turnlog.Position, []byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append([][]byte{encodeRecord(conversationOf(1)[0])})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Close()).To(Succeed())
		Expect(open().missedSince).To(Equal(time.UnixMilli(0)))
	})

	// Guards against a repair that costs as much as a join, whatever was missed.
	It("leaves out the records that arrived before, and is divided as asked", func() {
		s := &Server{state: newState()}
		for _, record := range conversationOf(5) {
			applyIn(s.state, record, 1)
		}
		s.state.arrivals.mark(time.Now().Add(-time.Minute), s.state.nextCursor)
		applyIn(s.state, turnRecord("late", "t4", "x", time.Hour), 1)
		applyIn(s.state, turnRecord("later", "late", "y", time.Hour), 1)
		list := func(request *turnpb.PullRequest) []string {
			reply := &turnpb.PullReply{}
			s.fillPull(request, reply, nil)
			var ids []string
			for _, record := range reply.Records {
				ids = append(ids, record.GetTurn().GetId())
			}
			return ids
		}
		Expect(list(&turnpb.PullRequest{})).To(HaveLen(7))
		Expect(list(&turnpb.PullRequest{ArrivedWithinMs: 30_000})).To(Equal([]string{"late", "later"}))
		Expect(list(&turnpb.PullRequest{ArrivedWithinMs: 30_000, MaxBytes: 1})).To(Equal([]string{"late"}))
		Expect(list(&turnpb.PullRequest{ArrivedWithinMs: 90_000})).To(HaveLen(7))
	})
})
