package serverstats

import (
	"container/heap"
	"math"
	"time"
)

// chooseInterval is how often the coordinator chooses the servers that tables have. At
// 12,000 servers this takes about a millisecond.
const chooseInterval = 200 * time.Millisecond

// failureUnusual is how unusual a server is that fails all its calls, compared with one
// that is e times as slow as the others.
const failureUnusual = 4

// entry is a server that tables have.
type entry struct {
	key uint32
	Known
	unusual float64
}

// byUnusual is a heap with the most usual server first.
type byUnusual []entry

func (h byUnusual) Len() int { return len(h) }
func (h byUnusual) Less(a, b int) bool {
	return h[a].unusual < h[b].unusual || h[a].unusual == h[b].unusual && h[a].key > h[b].key
}
func (h byUnusual) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *byUnusual) Push(x any)   { *h = append(*h, x.(entry)) }
func (h *byUnusual) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// choose decides which servers the tables have: all, or those that differ most from the
// others. The rest have their mean load.
func (t *serviceTotals) choose(now time.Time) {
	if len(t.servers) <= MaxEntries {
		t.told, t.rest = t.told[:0], Known{}
		for key, s := range t.servers {
			t.told = append(t.told, entry{key: key, Known: s.known(now)})
		}
		return
	}
	if now.Sub(t.chosen) < chooseInterval {
		return
	}
	t.chosen = now
	total := 0.0
	for _, s := range t.servers {
		total += s.load
	}
	mean := total / float64(len(t.servers))
	found := make(byUnusual, 0, MaxEntries+1)
	for key, s := range t.servers {
		e := entry{key: key, Known: s.known(now)}
		e.unusual = math.Abs(e.Load-mean)/(mean+1) + failureUnusual*e.FailureRate
		if e.Slowness > 0 {
			e.unusual += math.Abs(math.Log(e.Slowness))
		}
		if len(found) == MaxEntries && e.unusual <= found[0].unusual {
			continue
		}
		heap.Push(&found, e)
		if len(found) > MaxEntries {
			heap.Pop(&found)
		}
	}
	for _, e := range found {
		total -= e.Load
	}
	t.told = found
	t.rest = Known{Load: max(0, total) / float64(len(t.servers)-len(found))}
}

// known returns what is known of a server now.
func (s *serverTotals) known(now time.Time) Known {
	k := Known{Load: s.load, FailureRate: s.failureRate(now)}
	if s.slow.weight*decay(s.slow.at, now) >= minEvidence {
		k.Slowness = math.Exp(s.slow.sum / s.slow.weight)
	}
	return k
}

// failureRate returns the fraction of recent calls at a server that failed. A single
// failure among few calls counts less.
func (s *serverTotals) failureRate(now time.Time) float64 {
	left := decay(s.counted, now)
	return s.failed * left / (s.ended*left + 1)
}
