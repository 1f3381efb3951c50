package gateway

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/ring"
)

var _ = Describe("The list of fronts", func() {
	fronts := func(large, small int) []Front {
		var all []Front
		for i := range small {
			all = append(all, Front{Address: fmt.Sprintf("small-%02d", i), Cores: 0.2})
		}
		for i := range large {
			all = append(all, Front{Address: fmt.Sprintf("large-%02d", i), Cores: 0.8})
		}
		return all
	}
	count := func(all []Front, slots int) (large, small int) {
		for _, f := range selectFronts(all, slots) {
			if f.Cores > 0.5 {
				large++
			} else {
				small++
			}
		}
		return large, small
	}

	// In the deployment ortak-fiyat-grown, 58 fronts opened 18,764 connections
	// and each saw a sixtieth of the calls.
	It("contains only the large hosts if they suffice", func() {
		large, small := count(fronts(10, 48), 1400)
		Expect([]int{large, small}).To(Equal([]int{10, 0}))
	})

	// Guards against clients that know no front outside their availability zone
	// when all fronts of that zone fail together.
	It("starts with the client's availability zone and continues with the others", func() {
		g := &Gateway{settings: Settings{MaxAddresses: 8}, scheduler: &Scheduler{messages: ring.New[schedulerMessage](1)}}
		g.cutOff.Store(&map[string]bool{})
		Expect(g.SetFronts(context.Background(), []Front{{Address: "1", Zone: "a"}, {Address: "2", Zone: "a"}, {Address: "3", Zone: "b"}})).To(Succeed())
		all, _ := g.Addresses("b")
		Expect(all).To(HaveLen(3))
		Expect(all[0]).To(Equal("3"))
	})

	// Guards against clients that are sent to fronts without links to backend servers
	// while others have some, and against an empty list when none has (RECOVER, issue
	// 26).
	It("leaves out the fronts that are cut off from backend servers, unless all are", func() {
		g := &Gateway{settings: Settings{MaxAddresses: 8}, scheduler: &Scheduler{messages: ring.New[schedulerMessage](8)}}
		g.fronts.Store(&[]Front{{Address: "1", PeerAddress: "p1"}, {Address: "2", PeerAddress: "p2"}, {Address: "3"}})
		g.cutOff.Store(&map[string]bool{"1": true})
		addresses, _ := g.Addresses("a")
		Expect(addresses).To(ConsistOf("2", "3"))
		Expect(g.peers(g.servingFronts())).To(Equal([]string{"p2"}))
		g.cutOff.Store(&map[string]bool{"1": true, "2": true, "3": true})
		addresses, _ = g.Addresses("a")
		Expect(addresses).To(HaveLen(3))
		Expect(g.peers(g.servingFronts())).To(BeEmpty(), "none of them would open a connection")
	})

	It("contains all hosts if they are of equal size", func() {
		_, small := count(fronts(0, 7), 100)
		Expect(small).To(Equal(7))
	})

	// Guards against overloading the large hosts with a load that needs all hosts,
	// and against a list so short that losing one host costs much capacity.
	It("contains small hosts too if the large ones are too few or too weak", func() {
		large, small := count(fronts(3, 48), 100)
		Expect([]int{large, small}).To(Equal([]int{3, 3}))
		large, small = count(fronts(10, 48), 4000)
		Expect(large).To(Equal(10))
		Expect(small).To(BeNumerically(">=", 35))
	})

	// Pattern: a crowd while the platform turns away a third of the fronts, among
	// them half of the large ones. On trouble-1 of apfsa-formacao-grown three small
	// hosts then got as many clients as the three large ones left, and most turns
	// through them were refused or late for six seconds.
	It("gives no host more than its share fits when most large hosts are gone in a crowd", func() {
		const slots, crowdCores = 522, 3.9 // the cores that all fronts used in the crowd
		listed := selectFronts(fronts(3, 43), slots)
		for _, f := range listed {
			Expect(crowdCores/float64(len(listed))).To(BeNumerically("<=", f.Cores), "host %s of %d", f.Address, len(listed))
		}
	})

	// Pattern: one large host is gone, on an ordinary load. With 22 hosts in the list
	// in place of six, a large one that still had a fifth of the calls took itself
	// for one of 22, and refused programs although the model servers were free.
	It("stays short when one of six large hosts is gone and the others suffice", func() {
		large, small := count(fronts(5, 65), 522)
		Expect([]int{large, small}).To(Equal([]int{5, 0}))
	})

	// Pattern: a crowd at many large hosts. On scale-1 of satamavirta-prod-large 18
	// fronts were listed, and when a front placed a call it knew of a fifth of one
	// call at the chosen model server, of six that fit.
	It("contains as many large hosts as the load needs, from all availability zones", func() {
		var all []Front
		for zone := range 6 {
			for i := range 3 {
				all = append(all, Front{Address: fmt.Sprintf("%d-%d", zone, i), Zone: fmt.Sprint(zone), Cores: 0.8})
			}
		}
		listed := selectFronts(append(all, fronts(0, 65)...), 558)
		Expect(len(listed)).To(BeNumerically("<=", 9))
		zones, cores := map[string]bool{}, 0.0
		for _, f := range listed {
			zones[f.Zone] = true
			cores += f.Cores
		}
		Expect(zones).To(HaveLen(6))
		Expect(cores).To(BeNumerically(">=", 2*coresPerSlot*558), "room for a crowd")
	})
})
