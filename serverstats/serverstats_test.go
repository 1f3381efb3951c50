package serverstats_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/serverstats"
)

func TestServerStats(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serverstats")
}

var _ = Describe("The coordinator of a service", func() {
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	report := func(servers ...serverstats.Server) serverstats.Report {
		r := serverstats.Report{Service: "s", Running: 3, Waiting: 1, Demand: 4, Servers: servers}
		return r
	}

	It("tells each front what the others run and what waits, and all what begins in each zone", func() {
		c := serverstats.NewCoordinator()
		c.Answer("f1", "a", report(serverstats.Server{Key: 1, Load: 2}), now)
		c.Answer("f2", "b", report(serverstats.Server{Key: 1, Load: 1.5}, serverstats.Server{Key: 2, Load: 1}), now)
		table := c.Answer("f1", "a", report(serverstats.Server{Key: 1, Load: 1}), at(250))
		Expect(table.Fronts).To(Equal(2))
		Expect([]int{table.Running, table.Waiting}).To(Equal([]int{3, 1}))
		Expect(table.Servers).To(Equal(map[uint32]serverstats.Known{1: {Load: 1.5}, 2: {Load: 1}}))
		Expect(table.ZoneDemand).To(Equal(map[string]float64{"a": 4, "b": 4}))
	})

	// Guards against a server that fails part of its calls, or has become slow, and that
	// each front has to find out by itself; and against one that is avoided for ever.
	It("tells within one report that a server fails or is slow, and forgets it", func() {
		c := serverstats.NewCoordinator()
		for i := range 8 {
			c.Answer(fmt.Sprint("f", i), "a", report(serverstats.Server{Key: 1, Ended: 2, Failed: 1}, serverstats.Server{Key: 2, Ended: 1, Slowness: 5}), now)
		}
		table := c.Answer("f9", "a", report(), at(100))
		Expect(table.Servers[1].FailureRate).To(BeNumerically("~", 0.5, 0.1))
		Expect(table.Servers[2].Slowness).To(BeNumerically("~", 5, 0.01))
		Expect(c.Answer("f9", "a", report(), at(20_000)).Servers).To(BeEmpty())
	})

	// Guards against the calls of a front that has died, which would keep its servers from
	// getting others.
	It("forgets a front that no longer reports", func() {
		c := serverstats.NewCoordinator()
		c.Answer("f1", "a", report(serverstats.Server{Key: 1, Load: 8}), now)
		Expect(c.Answer("f2", "a", report(), at(1000)).Servers[1].Load).To(Equal(8.0))
		table := c.Answer("f2", "a", report(), at(2600))
		Expect(table.Fronts).To(Equal(1))
		Expect(table.Servers[1].Load).To(BeZero())
	})

	// Guards against messages that grow with the deployment: 12,000 servers at 420 fronts.
	It("keeps messages within 2 KB at 12,000 servers and 420 fronts", func() {
		c := serverstats.NewCoordinator()
		var table serverstats.Table
		largest := 0
		for f := range 420 {
			r := report()
			for i := range 300 {
				r.Servers = append(r.Servers, serverstats.Server{Key: uint32(f*31+i*40) * 2654435761 % 12000, Load: float64(i%7) + 0.3, Ended: i % 5, Slowness: 1.1})
			}
			payload := serverstats.EncodeReports("zone-a", []serverstats.Report{r})
			largest = max(largest, len(payload))
			zone, reports, ok := serverstats.DecodeReports(payload)
			Expect(ok).To(BeTrue())
			table = c.Answer(fmt.Sprint("f", f), zone, reports[0], at(f))
		}
		Expect(largest).To(BeNumerically("<", 2048))
		encoded := serverstats.EncodeTables([]serverstats.Table{table})
		GinkgoWriter.Println("report", largest, "table", len(encoded), "servers in it", len(table.Servers))
		Expect(len(encoded)).To(BeNumerically("<", 2048))
		Expect(table.Rest.Load).To(BeNumerically(">", 0))
		decoded, ok := serverstats.DecodeTables(encoded)
		Expect(ok).To(BeTrue())
		Expect(decoded[0].Servers).To(HaveLen(len(table.Servers)))
	})

	It("ignores malformed messages", func() {
		_, _, ok := serverstats.DecodeReports([]byte{0xff})
		Expect(ok).To(BeFalse())
		_, ok = serverstats.DecodeTables([]byte{0xff})
		Expect(ok).To(BeFalse())
	})

	It("gets what a report said that was not sent", func() {
		later := report(serverstats.Server{Key: 1, Load: 2, Ended: 1})
		later.AddEarlier(report(serverstats.Server{Key: 1, Load: 9, Ended: 2, Failed: 1, Slowness: 3}, serverstats.Server{Key: 2, Load: 9, Ended: 1}))
		Expect(later.Servers).To(Equal([]serverstats.Server{{Key: 1, Load: 2, Ended: 3, Failed: 1, Slowness: 3}, {Key: 2, Ended: 1}}))
	})
})
