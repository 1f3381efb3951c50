package fleet

import "time"

// Statement is what a backend server says of itself in a response.
type Statement struct {
	BackendID string
	// Sent is when the call that it answers was sent.
	Sent time.Time
	// Limited says that the server names the number of calls per second that it
	// takes from all fronts together, which is CallsPerSecond.
	Limited        bool
	CallsPerSecond float64
}

// rateLimit is the limit that a backend server has named.
type rateLimit struct {
	perSecond float64 // 0: the server has named none
	named     time.Time
}

// Heard takes note of what a backend server says in a response. It reports whether
// that is new.
func (f *Fleet) Heard(said Statement, now time.Time) bool {
	s := f.byID[said.BackendID]
	if s == nil {
		return false
	}
	known := s.limit.perSecond
	switch {
	case said.Limited:
		s.limit.perSecond, s.limit.named = said.CallsPerSecond, now
	case known != 0 && !said.Sent.Before(s.limit.named): // else it may have been said before the limit
		s.limit = rateLimit{}
	}
	return s.limit.perSecond != known
}

// Limit returns the limit of a backend server in calls per second; 0 if the server
// has named none.
func (f *Fleet) Limit(id string) float64 {
	if s := f.byID[id]; s != nil {
		return s.limit.perSecond
	}
	return 0
}
