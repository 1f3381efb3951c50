package fleet

import "time"

// leavingMemory is how long it is remembered that a backend server said that it is
// leaving. It exits within seconds, but its registration may come back before.
const leavingMemory = 10 * time.Minute

// Statement is what a backend server says of itself in a response.
type Statement struct {
	BackendID string
	// Sent is when the call that it answers was sent.
	Sent time.Time
	// Limited says that the server names the number of calls per second that it
	// takes from all fronts together, which is CallsPerSecond.
	Limited        bool
	CallsPerSecond float64
	// Leaving says that the server is about to stop.
	Leaving bool
}

// News tells what was new in a statement.
type News struct {
	Limit   bool // the limit has changed
	Leaving bool // the backend server gets no further calls
}

// leavingServer is a backend server that said that it is leaving.
type leavingServer struct {
	incarnation int64
	said        time.Time
}

// Heard takes note of what a backend server says in a response.
func (f *Fleet) Heard(said Statement, now time.Time) News {
	s := f.byID[said.BackendID]
	if s == nil {
		return News{}
	}
	news := News{Limit: f.hear(s, said, now), Leaving: said.Leaving && !f.saidLeaving(s.Backend)}
	if news.Leaving {
		f.leaving[s.ID] = leavingServer{incarnation: s.Incarnation, said: now}
		f.reindex()
	}
	return news
}

// saidLeaving reports whether a backend server said that it is leaving. Another
// incarnation with its ID is not leaving. A registration that was written before,
// or that returns after an outage of the platform's store, changes nothing.
func (f *Fleet) saidLeaving(b Backend) bool {
	known, said := f.leaving[b.ID]
	return said && known.incarnation == b.Incarnation
}

// forgetLeaving removes the backend servers that said long ago that they are
// leaving.
func (f *Fleet) forgetLeaving(now time.Time) {
	for id, known := range f.leaving {
		if now.Sub(known.said) > leavingMemory {
			delete(f.leaving, id)
			f.forgotten = true
		}
	}
}
