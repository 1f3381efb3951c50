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
	newTestClient := func(members int) *Client {
		set := copyset.Set{Version: 1}
		client := &Client{set: &set, slotByDisk: map[string]int{}}
		for i := range members {
			disk := fmt.Sprintf("d%d", i)
			set.Members = append(set.Members, copyset.Member{Disk: disk, Ready: true})
			client.slotByDisk[disk], client.senders[i] = i, newSender(i, slog.New(slog.DiscardHandler), dialTest, nil, nil, nil)
		}
		return client
	}
	budget := func(program string) Operation {
		return Operation{Records: []*turnpb.Record{{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{Program: program}}}}}
	}

	It("are a majority and a spare for a budget, include the nearest, and differ between programs", func() {
		client := newTestClient(9)
		seen := map[string]bool{}
		for i := range 40 {
			first, remaining := client.selectMembers(budget(fmt.Sprintf("p%d", i)), "d4")
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
		first, remaining := newTestClient(9).selectMembers(Operation{Records: []*turnpb.Record{turnRecord("t", "", "x", 0)}}, "d4")
		Expect(first).To(HaveLen(9))
		Expect(remaining).To(BeEmpty())
		first, remaining = newTestClient(4).selectMembers(budget("p"), "d1")
		Expect(first).To(HaveLen(4))
		Expect(remaining).To(BeEmpty())
	})

	// A joining member that missed a budget record would still lack it when it
	// becomes ready.
	It("include those that are joining and leave out at first those that cannot be reached", func() {
		client := newTestClient(9)
		client.set.Members[8].Ready = false
		client.senders[0].failing.Store(true)
		for i := range 20 {
			first, remaining := client.selectMembers(budget(fmt.Sprintf("p%d", i)), "d4")
			Expect(first).To(HaveLen(7))
			Expect(first).To(ContainElement(client.set.Members[8]))
			Expect(remaining).To(ContainElement(client.set.Members[0]))
		}
	})

	// A majority that is made up of answers under two copy set versions may not
	// include a store that joined in between and pulled from neither group, so a
	// budget could be spent twice.
	It("receive the same copy set version, even if some are asked later", func() {
		client := newTestClient(9)
		client.pending, client.hasSet, client.fallbackTimer = map[uint64]*pending{}, true, time.NewTimer(time.Hour)
		client.serving.Store(true)
		client.begin(submission{op: budget("p"), reply: make(chan Result, 1)})
		newer := *client.set
		newer.Version = 2
		client.set = &newer
		client.runDueFallbacks(time.Now().Add(time.Second))
		asked := 0
		for i := range 9 {
			for m, ok := client.senders[i].queue.TryPop(); ok; m, ok = client.senders[i].queue.TryPop() {
				asked++
				Expect(m.set.Version).To(Equal(uint64(1)))
			}
		}
		Expect(asked).To(Equal(9))
	})
})
