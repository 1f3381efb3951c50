package serverstats_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodline.example/serverstats"
)

// BenchmarkAnswer is one report of one of 420 fronts about a service with 12,000 servers,
// which come once in 1.25 s each: the cost of a coordinator, messages included.
func BenchmarkAnswer(b *testing.B) {
	c := serverstats.NewCoordinator()
	payloads := make([][]byte, 420)
	for f := range payloads {
		r := serverstats.Report{Service: "s", Running: 140, Demand: 140}
		for i := range serverstats.MaxEntries {
			r.Servers = append(r.Servers, serverstats.Server{Key: uint32((f*7919 + i*104729) % 12000), Load: float64(i%7) + 0.3, Ended: i % 5, Slowness: 1.1})
		}
		payloads[f] = serverstats.EncodeReports("a", []serverstats.Report{r})
	}
	now := time.Unix(1_000_000, 0)
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(1250 * time.Millisecond / 420)
		zone, reports, _ := serverstats.DecodeReports(payloads[i%420])
		serverstats.EncodeTables([]serverstats.Table{c.Answer(fmt.Sprint(i%420), zone, reports[0], now)})
	}
}
