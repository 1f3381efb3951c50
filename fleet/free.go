package fleet

import "time"

// HasFree reports whether a backend server that may take the call has a free slot, as far
// as is known. It also does if none of the servers is known to serve: the call then tries
// one. callsInMemory is the number of calls that fit into the memory of one server, or 0
// if that is unknown.
func (f *Fleet) HasFree(request Request, callsInMemory float64, now time.Time) bool {
	servers := f.byService[request.Service]
	for _, s := range servers {
		if s.hasFree(callsInMemory) && !now.Before(s.fullUntil) && s.serves(request, now) {
			return true
		}
	}
	for _, s := range servers {
		if s.serves(request, now) {
			return false
		}
	}
	return true
}

// hasFree reports whether a backend server can take another call at once.
func (s *backendState) hasFree(callsInMemory float64) bool {
	return s.running < s.Slots && (callsInMemory <= 0 || s.running == 0 || float64(s.running+1) <= callsInMemory)
}

// serves reports whether a call may go to a backend server that is known to serve.
func (s *backendState) serves(request Request, now time.Time) bool {
	return !excluded(request.Exclude, s.ID) && request.versionFits(s) && s.limit.wait(now) == 0 && !now.Before(s.suspectUntil)
}
