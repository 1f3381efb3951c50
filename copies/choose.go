package copies

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/membership"
)

// Choose returns the incarnations that hold the copies of a node, sorted, or
// none when there are fewer than fencedlog.HoldersWanted others. It prefers
// availability zones that differ from the node's and from each other's.
// Rendezvous hashing spreads the copies and keeps the choice while other
// members come and go.
func Choose(view *membership.View, id, zone string) []string {
	var others []membership.Member
	for _, m := range view.Members {
		if m.ID != id && !m.Draining {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(weight(id, b.ID), weight(id, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	var chosen []string
	used := map[string]int{zone: 1}
	for range fencedlog.HoldersWanted {
		if len(others) == 0 {
			return nil
		}
		best := 0
		for i, m := range others {
			if used[m.Zone] < used[others[best].Zone] {
				best = i
			}
		}
		chosen = append(chosen, others[best].Incarnation)
		used[others[best].Zone]++
		others = slices.Delete(others, best, best+1)
	}
	slices.Sort(chosen)
	return chosen
}

func weight(owner, holder string) uint64 {
	return xxhash.Sum64String(owner + "\x00" + holder)
}
