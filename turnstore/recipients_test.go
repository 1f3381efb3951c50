package turnstore

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("The members that an operation is sent to", func() {
	clientOf := func(members int) *Client {
		set := copyset.Set{Version: 1}
		k := &Client{set: &set, slotByDisk: map[string]int{}}
		for i := range members {
			disk := fmt.Sprintf("d%d", i)
			set.Members = append(set.Members, copyset.Member{Disk: disk, Ready: true})
			k.slotByDisk[disk], k.senders[i] = i, newSender(i, slog.New(slog.DiscardHandler), dialTest, nil, nil)
		}
		return k
	}
	budget := func(program string) Operation {
		return Operation{Records: []*turnpb.Record{{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{Program: program}}}}}
	}

	It("are a majority and a spare for a budget, include the nearest, and differ between programs", func() {
		k := clientOf(9)
		seen := map[string]bool{}
		for i := range 40 {
			first, remaining := k.selectMembers(budget(fmt.Sprintf("p%d", i)), "d4")
			Expect(first).To(HaveLen(6))
			Expect(remaining).To(HaveLen(3))
			near := false
			for _, m := range first {
				seen[m.Disk] = true
				near = near || m.Disk == "d4"
			}
			Expect(near).To(BeTrue())
		}
		Expect(seen).To(HaveLen(9))
	})

	It("are all members for a conversation and in a small copy set", func() {
		first, remaining := clientOf(9).selectMembers(Operation{Records: []*turnpb.Record{turnRecord("t", "", "x", 0)}}, "d4")
		Expect(first).To(HaveLen(9))
		Expect(remaining).To(BeEmpty())
		first, remaining = clientOf(4).selectMembers(budget("p"), "d1")
		Expect(first).To(HaveLen(4))
		Expect(remaining).To(BeEmpty())
	})

	// A joining member that missed a budget record would still lack it when it
	// becomes ready.
	It("include those that are joining and leave out at first those that cannot be reached", func() {
		k := clientOf(9)
		k.set.Members[8].Ready = false
		k.senders[0].failing.Store(true)
		for i := range 20 {
			first, remaining := k.selectMembers(budget(fmt.Sprintf("p%d", i)), "d4")
			Expect(first).To(HaveLen(7))
			Expect(first).To(ContainElement(k.set.Members[8]))
			Expect(remaining).To(ContainElement(k.set.Members[0]))
		}
	})

	// A majority that is made up of answers under two copy set versions may not
	// include a store that joined in between and pulled from neither group, so a
	// budget could be spent twice.
	It("receive the same copy set version, even if some are asked later", func() {
		k := clientOf(9)
		k.pending, k.hasSet, k.fallbackTimer = map[uint64]*pending{}, true, time.NewTimer(time.Hour)
		k.serving.Store(true)
		k.begin(submission{op: budget("p"), reply: make(chan Result, 1)})
		newer := *k.set
		newer.Version = 2
		k.set = &newer
		k.runDueFallbacks(time.Now().Add(time.Second))
		asked := 0
		for i := range 9 {
			for m, ok := k.senders[i].queue.TryPop(); ok; m, ok = k.senders[i].queue.TryPop() {
				asked++
				Expect(m.set.Version).To(Equal(uint64(1)))
			}
		}
		Expect(asked).To(Equal(9))
	})
})
