package copies

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/membership"
)

// ChooseHolders returns the incarnations that hold the copies of a node's journal
// tail, sorted, or none if fewer than fencedlog.HolderCount other nodes are
// available. It prefers availability zones that differ from the node's and from
// each other. Rendezvous hashing spreads the copies over the nodes and keeps
// the choice stable while other members join and leave.
func ChooseHolders(view *membership.View, id, zone string) []string {
	var candidates []membership.Member
	for _, m := range view.Members {
		if m.ID != id && !m.Draining {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(hashWeight(id, b.ID), hashWeight(id, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	var chosen []string
	perZone := map[string]int{zone: 1}
	for range fencedlog.HolderCount {
		if len(candidates) == 0 {
			return nil
		}
		best := 0
		for i, m := range candidates {
			if perZone[m.Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		chosen = append(chosen, candidates[best].Incarnation)
		perZone[candidates[best].Zone]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	slices.Sort(chosen)
	return chosen
}

// hashWeight returns the weight of a holder for an owner in rendezvous hashing.
func hashWeight(owner, holder string) uint64 {
	return xxhash.Sum64String(owner + "\x00" + holder)
}
