package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Move is a planned handoff of a shard between two incarnations.
type Move struct {
	Shard    int
	From, To string
}

// Assign gives each shard without an owner to one of the eligible
// incarnations and reports whether it changed the map.
func (m *Map) Assign(eligible []string) bool {
	return m.reassign(eligible, "", nil)
}

// Takeover gives the shards of a dead owner to the eligible incarnations, adds
// its journal to the sources of these shards and lists it as sealed. It reports
// whether it changed the map. When several nodes take over the same owner, only
// the first one changes anything.
func (m *Map) Takeover(dead string, eligible []string) bool {
	if len(eligible) == 0 {
		return false
	}
	changed := m.reassign(eligible, dead, []string{dead})
	if slices.Contains(m.Sealed, dead) {
		return changed
	}
	m.Sealed = append(m.Sealed, dead)
	return true
}

// reassign gives the shards of the owner from to the eligible incarnations and
// adds sources to each of them. It reports whether it changed the map.
func (m *Map) reassign(eligible []string, from string, sources []string) bool {
	if len(eligible) == 0 {
		return false
	}
	p := newPlacer(*m, eligible)
	changed := false
	for shard, e := range m.Shards {
		if e.Owner != from {
			continue
		}
		// If the old owner died before it had adopted the shard, its sources
		// stay in the list, so that the next owner replays all of them.
		e.Sources = union(e.Sources, sources)
		e.Owner = p.place(shard)
		m.Shards[shard] = e
		changed = true
	}
	return changed
}

// Handoff gives a shard to another owner, with the journal of the old owner as
// its source. It changes nothing, and returns false, if the shard has another
// owner than move.From, is still being adopted, or would not change its owner.
func (m *Map) Handoff(move Move) bool {
	e := m.Shards[move.Shard]
	if e.Owner != move.From || len(e.Sources) > 0 || move.To == move.From {
		return false
	}
	m.Shards[move.Shard] = Entry{Owner: move.To, Sources: []string{move.From}}
	return true
}

// RemoveSources ends the adoption of a shard by its owner, which has replayed the
// adopted sources. It changes nothing, and returns false, if the shard has
// another owner, other sources or none.
func (m *Map) RemoveSources(shard int, owner string, adopted []string) bool {
	e := m.Shards[shard]
	if e.Owner != owner || len(e.Sources) == 0 || !slices.Equal(e.Sources, adopted) {
		return false
	}
	m.Shards[shard].Sources = nil
	return true
}

// UnusedJournals returns the sealed journals that no shard refers to, as owner or as
// source. They can be deleted: the incarnation of a sealed journal gets no
// shards, so no shard will refer to the journal again.
func (m *Map) UnusedJournals() []string {
	var unused []string
	for _, journal := range m.Sealed {
		if !m.References(journal) {
			unused = append(unused, journal)
		}
	}
	return unused
}

// Retire lists the journal of an incarnation that owns no shards as sealed, so
// that the incarnation gets no shards any more. It returns false if the
// incarnation still owns shards.
func (m *Map) Retire(owner string) bool {
	if m.CountOwned(owner) > 0 {
		return false
	}
	if !slices.Contains(m.Sealed, owner) {
		m.Sealed = append(m.Sealed, owner)
	}
	return true
}

// RemoveSealed removes deleted journals from the list of sealed ones. It reports
// whether it changed the map.
func (m *Map) RemoveSealed(deleted []string) bool {
	before := len(m.Sealed)
	m.Sealed = slices.DeleteFunc(m.Sealed, func(j string) bool { return slices.Contains(deleted, j) })
	return len(m.Sealed) < before
}

// Rebalance returns handoffs after which every shard has an eligible owner and
// the numbers of shards of any two eligible incarnations differ by at most one.
// It plans no more handoffs than that needs. Shards that are being adopted stay
// where they are; while there are any, the result may be less balanced.
func (m *Map) Rebalance(eligible []string) []Move {
	if len(eligible) == 0 {
		return nil
	}
	p := newPlacer(*m, eligible)
	var moves []Move
	owned := map[string][]int{} // shards that can move, by owner
	for shard, e := range m.Shards {
		if _, ok := p.counts[e.Owner]; ok {
			if len(e.Sources) == 0 {
				owned[e.Owner] = append(owned[e.Owner], shard)
			}
		} else if len(e.Sources) == 0 {
			moves = append(moves, Move{Shard: shard, From: e.Owner, To: p.place(shard)})
		}
	}
	for {
		from, to := p.extremes(func(name string) bool { return len(owned[name]) > 0 })
		if from == "" || p.counts[from]-p.counts[to] <= 1 {
			return moves
		}
		i := indexOfHighestWeight(owned[from], to)
		moves = append(moves, Move{Shard: owned[from][i], From: from, To: to})
		owned[from] = slices.Delete(owned[from], i, i+1)
		p.counts[from]--
		p.counts[to]++
	}
}

// placer chooses owners by rendezvous hashing among the eligible incarnations
// that own fewer shards than the limit.
type placer struct {
	eligible []string
	counts   map[string]int // shards owned, by eligible incarnation
	limit    int            // average number of shards, rounded up
}

func newPlacer(m Map, eligible []string) *placer {
	p := &placer{eligible: slices.Sorted(slices.Values(eligible)), counts: map[string]int{}}
	p.limit = (len(m.Shards) + len(eligible) - 1) / len(eligible)
	for _, name := range eligible {
		p.counts[name] = 0
	}
	for _, e := range m.Shards {
		if _, ok := p.counts[e.Owner]; ok {
			p.counts[e.Owner]++
		}
	}
	return p
}

// place returns the incarnation with the highest weight for the shard among
// those below the limit, and adds the shard to its count.
func (p *placer) place(shard int) string {
	best, bestWeight := "", uint64(0)
	for _, name := range p.eligible {
		if p.counts[name] >= p.limit {
			continue
		}
		if w := weight(shard, name); best == "" || w > bestWeight {
			best, bestWeight = name, w
		}
	}
	if best == "" {
		// All are at the limit or above it, because a node has just joined or
		// left. Rebalance evens out the difference later.
		best = slices.MinFunc(p.eligible, func(a, b string) int { return cmp.Compare(p.counts[a], p.counts[b]) })
	}
	p.counts[best]++
	return best
}

// extremes returns the incarnation with the most shards among those that can
// give one away, and the one with the fewest shards. Of equal counts, the first
// by name is returned.
func (p *placer) extremes(canGive func(string) bool) (most, fewest string) {
	for _, name := range p.eligible {
		if canGive(name) && (most == "" || p.counts[name] > p.counts[most]) {
			most = name
		}
		if fewest == "" || p.counts[name] < p.counts[fewest] {
			fewest = name
		}
	}
	return most, fewest
}

// indexOfHighestWeight returns the index of the shard that has the highest
// rendezvous weight for the owner.
func indexOfHighestWeight(shards []int, owner string) int {
	best, bestWeight := 0, uint64(0)
	for i, shard := range shards {
		if w := weight(shard, owner); w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// weight returns the rendezvous weight of an owner for a shard.
func weight(shard int, owner string) uint64 {
	var buffer [64]byte
	key := binary.BigEndian.AppendUint64(buffer[:0], uint64(shard))
	return xxhash.Sum64(append(key, owner...))
}

// union returns the distinct elements of both lists, sorted.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
