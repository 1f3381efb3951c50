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

var _ = Describe("The audience of an operation", func() {
	keeperOf := func(members int) *Keeper {
		set := copyset.Set{Version: 1}
		k := &Keeper{set: &set, slotOf: map[string]int{}}
		for i := range members {
			disk := fmt.Sprintf("d%d", i)
			set.Members = append(set.Members, copyset.Member{Disk: disk, Ready: true})
			k.slotOf[disk], k.senders[i] = i, newSender(i, slog.New(slog.DiscardHandler), dialTest, nil, nil)
		}
		return k
	}
	budget := func(program string) Operation {
		return Operation{Records: []*turnpb.Record{{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{Program: program}}}}}
	}

	It("is a majority and a spare member for a budget, the near one among them, and differs between programs", func() {
		k := keeperOf(9)
		seen := map[string]bool{}
		for i := range 40 {
			first, rest := k.audience(budget(fmt.Sprintf("p%d", i)), "d4")
			Expect(first).To(HaveLen(6))
			Expect(rest).To(HaveLen(3))
			near := false
			for _, m := range first {
				seen[m.Disk] = true
				near = near || m.Disk == "d4"
			}
			Expect(near).To(BeTrue())
		}
		Expect(seen).To(HaveLen(9))
	})

	It("is everyone for a conversation and in a small copy set", func() {
		first, rest := keeperOf(9).audience(Operation{Records: []*turnpb.Record{ended("t", "", "x", 0)}}, "d4")
		Expect(first).To(HaveLen(9))
		Expect(rest).To(BeEmpty())
		first, rest = keeperOf(4).audience(budget("p"), "d1")
		Expect(first).To(HaveLen(4))
		Expect(rest).To(BeEmpty())
	})

	// Guards against a budget that a member does not know when it becomes ready.
	It("has the members that are joining, and goes round those that do not answer", func() {
		k := keeperOf(9)
		k.set.Members[8].Ready = false
		k.senders[0].failing.Store(true)
		for i := range 20 {
			first, rest := k.audience(budget(fmt.Sprintf("p%d", i)), "d4")
			Expect(first).To(HaveLen(7))
			Expect(first).To(ContainElement(k.set.Members[8]))
			Expect(rest).To(ContainElement(k.set.Members[0]))
		}
	})

	// Guards against a majority that is put together from two versions of the
	// copy set: a store that joined in between may have pulled from neither part,
	// and a budget could be spent twice.
	It("gets one version of the copy set, also when the others are asked later", func() {
		k := keeperOf(9)
		k.pending, k.known, k.alarm = map[uint64]*pending{}, true, time.NewTimer(time.Hour)
		k.serving.Store(true)
		k.begin(start{op: budget("p"), reply: make(chan Result, 1)})
		newer := *k.set
		newer.Version = 2
		k.set = &newer
		k.askRest(time.Now().Add(time.Second))
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
