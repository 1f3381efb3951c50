package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodline.example/fleet"
)

// BenchmarkChooseContended is the choice among 1,000 servers, all of which are full, so
// that it looks at each.
func BenchmarkChooseContended(b *testing.B) {
	f := newFleet(1000)
	now := time.Unix(1_000_000, 0)
	for i := range 1000 {
		for range 4 {
			f.CallStarted(fmt.Sprint("b", i), now)
		}
	}
	b.ResetTimer()
	for i := range b.N {
		f.Choose(fleet.Request{Service: "s", Contended: true, TieBreak: uint64(i)}, now)
	}
}
