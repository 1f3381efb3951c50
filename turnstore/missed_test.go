package turnstore

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("What a front tells a store that it has missed", func() {
	set := readySet("a", "b", "c", "d")
	// missed returns the disks that are to be told after an operation.
	missed := func(records []*turnpb.Record, synced ...string) []string {
		c := &Client{slotByDisk: map[string]int{}}
		p := &pending{submission: submission{op: Operation{Records: records}}, begun: time.Now(), owed: map[string]bool{}}
		p.tally = newTally(p.op, set)
		for i, m := range set.Members {
			c.senders[i], c.slotByDisk[m.Disk] = &sender{}, i
			p.owed[m.Disk] = m.Disk != "d"
		}
		for _, disk := range synced {
			p.tally.synced[disk] = true
		}
		c.noteMissed(p)
		var disks []string
		for _, m := range set.Members {
			if c.senders[c.slotByDisk[m.Disk]].missedSince.Load() != nil {
				disks = append(disks, m.Disk)
			}
		}
		return disks
	}

	// Guards against stores that copy records which nobody stored, or which are not theirs.
	It("are records that others have stored and that it should have got", func() {
		records := []*turnpb.Record{reserve("x", 1)}
		Expect(missed(records, "a", "b", "c")).To(BeEmpty(), "d was left out on purpose")
		Expect(missed(records, "a", "b", "d")).To(Equal([]string{"c"}))
		Expect(missed(records, "a", "b")).To(BeEmpty(), "it is not stored")
		Expect(missed(nil, "a", "b", "c")).To(BeEmpty())
	})

	It("is as old as the first of them, and is told once", func() {
		now := time.Now()
		s := newSender(0, slog.New(slog.DiscardHandler), nil, nil, nil, nil)
		s.noteMissed(now.Add(-time.Second))
		s.noteMissed(now.Add(-time.Minute))
		s.noteMissed(now)
		Expect(*s.missedSince.Load()).To(Equal(now.Add(-time.Minute)))
		conn := &recordingConn{errs: []error{errors.New("reset"), nil, nil}}
		s.conn = turnpb.NewTurnStoreClient(conn)
		for range 3 {
			_, _ = s.call(context.Background(), &turnpb.ExchangeRequest{})
		}
		Expect(conn.requests[0].MissedMs).To(BeNumerically(">=", 60_000))
		Expect(conn.requests[1].MissedMs).To(BeNumerically(">=", 60_000), "the first request failed")
		Expect(conn.requests[2].MissedMs).To(BeZero())
	})
})
