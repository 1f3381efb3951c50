package fleet

import (
	"math"
	"time"
)

// capacity returns the number of calls that a server runs at once: its slots, or the
// number of calls that fit into its memory if that is known and lower, at least one.
func (s *backendState) capacity(callsInMemory float64) float64 {
	if callsInMemory > 0 {
		return max(1, min(float64(s.Slots), callsInMemory))
	}
	return max(1, float64(s.Slots))
}

// HasFree reports whether a backend server that may take the call has a free slot, as far
// as is known. It also does if none of the servers is known to serve: the call then tries
// one. callsInMemory is the number of calls that fit into the memory of one server, or 0
// if that is unknown.
func (f *Fleet) HasFree(request Request, callsInMemory float64, now time.Time) bool {
	if index := f.indexes[request.Service]; index != nil {
		wholeCalls := callsInMemory
		if wholeCalls > 0 {
			wholeCalls = max(1, math.Floor(callsInMemory)) // a part of a call does not fit
		}
		set := index.notFull(&index.forWhole, wholeCalls)
		for at := set.next(0); at >= 0; at = set.next(at + 1) {
			if s := index.servers[at]; !now.Before(s.fullUntil) && s.serves(request, now) {
				return true
			}
		}
	}
	for _, s := range f.byService[request.Service] {
		if s.serves(request, now) {
			return false
		}
	}
	return true
}

// serves reports whether a call may go to a backend server that is known to serve.
func (s *backendState) serves(request Request, now time.Time) bool {
	return !excluded(request.Exclude, s.ID) && request.versionFits(s) && s.limit.wait(now) == 0 && !now.Before(s.suspectUntil)
}
