// Package fleet keeps what a front believes about the backend servers and
// chooses one for a call. It does no I/O; its caller passes the time.
package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// returnWindow is how long entries that vanished while the platform's
	// store was away are still used: live backend servers are back within
	// about two seconds.
	returnWindow = 2 * time.Second
	// suspectFor is how long a backend server that could not be connected to
	// is avoided while others are left.
	suspectFor = time.Second
)

// Backend is the registration of a backend server.
type Backend struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// Draining backend servers get nothing new.
	Draining bool
	// Incarnation is the Unix millisecond of its start; 0 if unknown.
	Incarnation int64
}

type state struct {
	Backend
	running   int
	suspect   time.Time
	fullUntil time.Time
	latency   latency
	failures  failures
	goneAt    time.Time // when to forget it; zero while it is registered
}

// Fleet is the set of backend servers. One duty owns it.
type Fleet struct {
	byID      map[string]*state
	byService map[string][]*state
	zone      string
}

// New returns an empty fleet, seen from an availability zone.
func New(zone string) *Fleet {
	return &Fleet{byID: map[string]*state{}, byService: map[string][]*state{}, zone: zone}
}

// Put adds or replaces a registration. It reports whether the entry changed
// in what decides.
func (f *Fleet) Put(b Backend) bool {
	known := f.byID[b.ID]
	if known == nil {
		f.byID[b.ID] = &state{Backend: b}
		f.index()
		return true
	}
	changed := known.Draining != b.Draining || known.Address != b.Address || known.Service != b.Service ||
		known.Incarnation != b.Incarnation || !known.goneAt.IsZero()
	if known.Incarnation != b.Incarnation {
		known.latency, known.failures, known.suspect, known.fullUntil = latency{}, failures{}, time.Time{}, time.Time{}
	}
	known.Backend, known.goneAt = b, time.Time{}
	f.index()
	return changed
}

// Remove takes a registration out. While the store has just been away, the
// entry stays in use for the return window.
func (f *Fleet) Remove(id string, now time.Time, storeWasAway bool) {
	known := f.byID[id]
	if known == nil || !known.goneAt.IsZero() {
		return
	}
	if storeWasAway {
		known.goneAt = now.Add(returnWindow)
		return
	}
	delete(f.byID, id)
	f.index()
}

// Keep removes all registrations that are not in the list.
func (f *Fleet) Keep(present map[string]bool, now time.Time, storeWasAway bool) {
	for id := range f.byID {
		if !present[id] {
			f.Remove(id, now, storeWasAway)
		}
	}
}

// Expire forgets entries whose return window has passed and returns their ids.
func (f *Fleet) Expire(now time.Time) []string {
	var gone []string
	for id, s := range f.byID {
		if !s.goneAt.IsZero() && !now.Before(s.goneAt) {
			delete(f.byID, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		f.index()
	}
	return gone
}

func (f *Fleet) index() {
	f.byService = map[string][]*state{}
	for _, s := range f.byID {
		if !s.Draining {
			f.byService[s.Service] = append(f.byService[s.Service], s)
		}
	}
}

// Size returns the number of backend servers that may get calls of a service.
func (f *Fleet) Size(service string) int { return len(f.byService[service]) }

// Total returns the number of backend servers.
func (f *Fleet) Total() int { return len(f.byID) }

// Use returns the calls that run at a service's backend servers and the number
// that they have room for: their slots, or what fits into memory if that is
// fewer (0 if that is unknown).
func (f *Fleet) Use(service string, perServer float64) (running int, room float64) {
	for _, s := range f.byService[service] {
		running += s.running
		if perServer > 0 {
			room += min(float64(s.Slots), perServer)
		} else {
			room += float64(s.Slots)
		}
	}
	return running, room
}

// Slots returns the number of calls that all backend servers can run at once.
func (f *Fleet) Slots() int {
	sum := 0
	for _, s := range f.byID {
		sum += s.Slots
	}
	return sum
}

// Ask is what a choice depends on.
type Ask struct {
	Service string
	// Affinity is the session or object whose earlier calls make a backend
	// server faster; empty for none.
	Affinity string
	// Exclude names backend servers that this call must not go to again.
	Exclude []string
	// Connected reports whether an idle connection to an address is open; nil
	// if that does not matter.
	Connected func(address string) bool
	// Draw is a random number that breaks ties.
	Draw uint64
}

// Choose returns the backend server for a call and the number of calls that
// run there. It reports false when no backend server may get it.
func (f *Fleet) Choose(ask Ask, now time.Time) (Backend, int, bool) {
	var best *state
	var bestCost float64
	home, second := f.homes(ask)
	for _, s := range f.byService[ask.Service] {
		if excluded(ask.Exclude, s.ID) {
			continue
		}
		cost := f.cost(s, ask, now)
		if home == nil && s.AvailabilityZone != f.zone {
			cost += otherZoneCost
		}
		switch {
		case home == nil || s == home:
		case s == second:
			cost += secondCost
		default:
			cost += awayCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return Backend{}, 0, false
	}
	return best.Backend, best.running, true
}

const (
	// awayCost is the part of its slots by which the backend server that has
	// handled the same object before must be busier than others until a call
	// goes elsewhere. Reading a prompt of some thousand tokens again takes as
	// long as a whole turn, and a batch that is full slows a turn by a quarter.
	awayCost = 0.7
	// secondCost is that of the second choice, where calls of the same object
	// meet when their first choice is busy.
	secondCost = 0.6
	// slowCost is what each multiple of the typical time of a call costs
	// beyond slowTolerated, also without any call there: a turn at a server that
	// is three times as slow takes longer than reading its prompt elsewhere.
	// Below that, what a call has to read differs by as much.
	slowCost      = 0.5
	slowTolerated = 1.5
	// otherZoneCost is the part of the slots by which a backend server in
	// another availability zone must be less busy: its answers come later, bytes
	// between zones are priced, and it needs one more connection. A conversation
	// has its home wherever that is, because its turns may come through fronts of
	// several zones.
	otherZoneCost = 0.3
	// connectCost is the part of the slots by which a backend server without an
	// open connection must be less busy; opening one takes a slot for a moment.
	connectCost = 0.15
	// suspectCost and fullCost keep a backend server out of the choice while
	// any other is left.
	suspectCost = 100
	fullCost    = 10
	// tieSpread breaks ties; it is far below the cost of one running call.
	tieSpread = 0.01
)

// cost estimates the expected delay at a backend server in units of the time
// that a full batch takes.
func (f *Fleet) cost(s *state, ask Ask, now time.Time) float64 {
	load := float64(s.running) / float64(s.Slots)
	slowness := s.latency.factor(now)
	cost := load*slowness + slowCost*max(0, slowness-slowTolerated) + failureCost*s.failures.now(now)
	if load >= 1 {
		cost += load // beyond its slots a call waits
	}
	if ask.Connected != nil && !ask.Connected(s.Address) {
		cost += connectCost
	}
	if now.Before(s.suspect) {
		cost += suspectCost
	}
	if now.Before(s.fullUntil) {
		cost += fullCost
	}
	return cost + tieSpread*float64(xxhash.Sum64String(s.ID)^ask.Draw)/(1<<64)
}

// homes returns the two backend servers that calls for the same object meet
// at, from whichever front they come: the one that has handled it, and where
// the calls go that are too many for it. They are nil without an object.
func (f *Fleet) homes(ask Ask) (first, second *state) {
	if ask.Affinity == "" {
		return nil, nil
	}
	var best, next uint64
	for _, s := range f.byService[ask.Service] {
		switch rank := xxhash.Sum64String(ask.Affinity + "\x00" + s.ID); {
		case first == nil || rank > best:
			first, second, best, next = s, first, rank, best
		case second == nil || rank > next:
			second, next = s, rank
		}
	}
	return first, second
}

func excluded(list []string, id string) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}

// Started counts a call that goes to a backend server.
func (f *Fleet) Started(id string) {
	if s := f.byID[id]; s != nil {
		s.running++
	}
}

// Report is how a call at a backend server ended.
type Report struct {
	ID string
	// Unreachable says that no connection could be opened.
	Unreachable bool
	// Full says that the backend server refused the call for want of room.
	Full bool
	// Misdirected says that another backend server has the address now.
	Misdirected bool
	// Failed says that the call broke off, or that its answer was an error or
	// could not be used.
	Failed bool
	// Took is the time of the whole exchange; 0 if no answer came.
	Took time.Duration
	// Typical says that Took may be compared between backend servers.
	Typical bool
}

// fullFor is how long a backend server that refused a call is avoided.
const fullFor = 100 * time.Millisecond

// Ended counts the end of a call and learns from it.
func (f *Fleet) Ended(report Report, now time.Time) {
	s := f.byID[report.ID]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	switch {
	case report.Unreachable, report.Misdirected:
		s.suspect = now.Add(suspectFor)
	case report.Full:
		s.fullUntil = now.Add(fullFor)
	case report.Failed:
		if avoid := s.failures.observe(true, now); avoid > 0 {
			s.suspect = now.Add(avoid)
		}
	case report.Took > 0:
		s.suspect = time.Time{}
		s.failures.observe(false, now)
		if report.Typical {
			s.latency.observe(report.Took, f.typical(s.Service), now)
		}
	}
}

// Get returns a registration.
func (f *Fleet) Get(id string) (Backend, bool) {
	s := f.byID[id]
	if s == nil {
		return Backend{}, false
	}
	return s.Backend, true
}
