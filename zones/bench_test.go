package zones_test

import (
	"testing"
	"time"

	"dogwoodline.example/zones"
)

// BenchmarkShares is the decision of one front for one service, once a second, with four
// zones of which one is overloaded.
func BenchmarkShares(b *testing.B) {
	all := []zones.Zone{{Name: "a", Demand: 140, Capacity: 100, Slots: 8, Slowness: 1}, {Name: "b", Demand: 60, Capacity: 100, Slots: 8, Slowness: 1},
		{Name: "c", Demand: 50, Capacity: 100, Slots: 8, Slowness: 1}, {Name: "d", Demand: 70, Capacity: 100, Slots: 8, Slowness: 1}}
	for range b.N {
		zones.Shares("a", all, zones.Call{Time: 250 * time.Millisecond, Transit: 4 * time.Millisecond, Bytes: 8 << 10})
	}
}
