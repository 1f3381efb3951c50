package fleet

import "math/bits"

// serviceIndex holds what a choice needs to know of all servers of a service together, and
// finds those that run fewer calls of this front than their capacity, without looking at each.
type serviceIndex struct {
	servers   []*backendState // by ID
	mostSlots int
	running   int // calls of this front at all of them
	limited   int // servers that have named a limit
	slots     slotSum
	latencies []float64 // that medianLatency is the median of, sorted; nil if not worked out
	// forWhole is for the calls in memory rounded down, forAny rounded up: the number of
	// calls changes with each request, but rarely its integer part.
	forWhole, forAny serverSet
}

// slotSum is the number of calls that the servers of a service can run at once.
type slotSum struct {
	callsInMemory, sum float64
	known              bool
}

// sumSlots adds up for each server its slots or callsInMemory, whichever is less, or just the
// slots if callsInMemory is 0.
func (x *serviceIndex) sumSlots(callsInMemory float64) float64 {
	if callsInMemory >= float64(x.mostSlots) {
		callsInMemory = 0 // it limits no server
	}
	if !x.slots.known || x.slots.callsInMemory != callsInMemory {
		x.slots = slotSum{callsInMemory: callsInMemory, known: true}
		for _, s := range x.servers {
			if callsInMemory > 0 {
				x.slots.sum += min(float64(s.Slots), callsInMemory)
			} else {
				x.slots.sum += float64(s.Slots)
			}
		}
	}
	return x.slots.sum
}

// serverSet has a bit for each server of a service that is not full.
type serverSet struct {
	callsInMemory float64
	words         []uint64 // nil if the set is not in use yet
}

// notFull brings a set up to date with the number of calls that fit into the memory of one
// server.
func (x *serviceIndex) notFull(set *serverSet, callsInMemory float64) *serverSet {
	if callsInMemory >= float64(x.mostSlots) {
		callsInMemory = 0 // it limits no server
	}
	if set.words == nil || set.callsInMemory != callsInMemory {
		set.callsInMemory, set.words = callsInMemory, make([]uint64, (len(x.servers)+63)/64)
		for _, s := range x.servers {
			set.update(s)
		}
	}
	return set
}

// next returns the place in the index of the first server of the set from a place on, or -1.
func (set *serverSet) next(from int) int {
	mask := ^uint64(0) << (from % 64)
	for i := from / 64; i < len(set.words); i++ {
		if word := set.words[i] & mask; word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
		mask = ^uint64(0)
	}
	return -1
}

// update takes in how many calls run at a server.
func (set *serverSet) update(s *backendState) {
	word, bit := s.place/64, uint64(1)<<(s.place%64)
	if float64(s.running) < s.capacity(set.callsInMemory) {
		set.words[word] |= bit
	} else {
		set.words[word] &^= bit
	}
}

// setRunning changes the number of this front's calls that run at a server.
func (s *backendState) setRunning(calls int) {
	change := calls - s.running
	s.running = calls
	if s.index == nil {
		return
	}
	s.index.running += change
	for _, set := range []*serverSet{&s.index.forWhole, &s.index.forAny} {
		if set.words != nil {
			set.update(s)
		}
	}
}

// countLimit takes in that a server has begun to name a limit, or no longer does.
func (s *backendState) countLimit() {
	if s.index == nil {
		return
	}
	if s.limit.perSecond > 0 {
		s.index.limited++
	} else {
		s.index.limited--
	}
	s.index.latencies = nil
}
