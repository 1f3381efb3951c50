// Package fleet keeps a front's view of the registered backend servers, their
// load, latency and failures, and chooses a backend server for each call. It
// does no I/O and reads no clock; its caller passes the time.
package fleet

import (
	"slices"
	"strings"
	"time"

	"dogwoodline.example/zones"
)

const (
	// returnWindow is how long a backend server stays in use whose registration
	// is missing after an outage of the platform's store. Live backend servers
	// register again within about two seconds.
	returnWindow = 2 * time.Second
	// suspectFor is how long a backend server is avoided, while others are left,
	// after no connection to it could be opened or its address turned out to
	// belong to another one.
	suspectFor = time.Second
)

// Backend is the registration of a backend server.
type Backend struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// SoftwareVersion is the version of the server's software. Servers of several
	// versions may serve side by side.
	SoftwareVersion string
	// Draining backend servers get no new calls.
	Draining bool
	// Incarnation is the Unix time of the server's start in milliseconds; 0 if
	// unknown.
	Incarnation int64
}

// backendState is a registration with what the calls of this front have shown
// about it.
type backendState struct {
	Backend
	running      int // calls of this front that have not ended; see setRunning
	suspectUntil time.Time
	fullUntil    time.Time // end of the pause after it refused a call
	latency      latencyStats
	speed        speedStats
	others       othersState
	average      loadAverage
	key          uint32       // see ServerKey
	period       reportPeriod // since the last report
	failures     failureStats
	limit        rateLimit
	forgetAt     time.Time     // end of the return window; zero while it is registered
	index        *serviceIndex // of its service; nil if it gets no calls
	place        int           // in the index
	zone         *zoneServers  // with it; nil if it gets no calls
}

// Fleet is the set of backend servers. It is not safe for concurrent use.
type Fleet struct {
	byID          map[string]*backendState
	ordered       []*backendState            // by ID, so that choices do not depend on the order of a map
	byService     map[string][]*backendState // without draining and leaving ones
	byZone        map[zoneOfService]*zoneServers
	indexes       map[string]*serviceIndex // of the servers in byService
	rankings      map[rankingKey]ranking   // of the servers in byService; bounded by maxRankings
	onTrial       bool                     // see Trial
	forgotten     bool                     // a leaving server was forgotten since byService was built
	speeds        map[string]*serviceSpeed
	othersRunning map[string]runningElsewhere // by service
	zoneShares    map[string][]zones.Share    // by service
	zone          string                      // availability zone of the front
	leaving       map[string]leavingServer    // by ID, also of servers that are not registered
	self          string                      // address of the front
	listed        []string                    // addresses of the fronts that clients are sent to
	unlisted      []string                    // addresses of the other fronts
}

// zoneOfService names the servers of a service in an availability zone.
type zoneOfService struct{ service, zone string }

// zoneServers holds the servers of a service in an availability zone.
type zoneServers struct {
	servers []*backendState // by ID, without draining and leaving ones
	// othersRatio is how many calls the other fronts run there for each call of this one.
	othersRatio float64
	ratioKnown  bool
}

// New returns an empty fleet for a front in an availability zone.
func New(zone string) *Fleet {
	return &Fleet{byID: map[string]*backendState{}, byService: map[string][]*backendState{}, byZone: map[zoneOfService]*zoneServers{},
		speeds: map[string]*serviceSpeed{}, rankings: map[rankingKey]ranking{}, othersRunning: map[string]runningElsewhere{}, zoneShares: map[string][]zones.Share{}, leaving: map[string]leavingServer{}, zone: zone}
}

// Put adds or replaces a registration. It reports whether the registration is
// new, is back within its return window, or changed in anything but its slots
// and availability zone. What was observed of the previous incarnation of a
// backend server is discarded.
func (f *Fleet) Put(b Backend) bool {
	known := f.byID[b.ID]
	if known == nil {
		f.add(&backendState{Backend: b, key: ServerKey(b.ID)})
		f.reindex()
		return true
	}
	changed := known.Draining != b.Draining || known.Address != b.Address || known.Service != b.Service ||
		known.Incarnation != b.Incarnation || !known.forgetAt.IsZero()
	if known.Incarnation != b.Incarnation {
		known.latency, known.failures, known.suspectUntil, known.fullUntil = latencyStats{}, failureStats{}, time.Time{}, time.Time{}
		known.limit, known.speed, known.others = rateLimit{}, speedStats{}, othersState{}
	}
	if known.Backend != b || f.forgotten {
		known.Backend = b
		f.reindex()
	}
	known.forgetAt = time.Time{}
	return changed
}

// Remove removes a registration and reports whether the backend server is out of
// use. If the platform's store has just returned from an outage, it stays in use
// for the return window.
func (f *Fleet) Remove(id string, now time.Time, storeWasUnavailable bool) bool {
	known := f.byID[id]
	if known == nil || !known.forgetAt.IsZero() {
		return false
	}
	if storeWasUnavailable {
		known.forgetAt = now.Add(returnWindow)
		return false
	}
	f.drop(id)
	f.reindex()
	return true
}

// Missing returns the ids of the registered backend servers that are not in
// present.
func (f *Fleet) Missing(present map[string]bool) []string {
	var missing []string
	for id := range f.byID {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire removes the backend servers whose return window has passed and returns
// them.
func (f *Fleet) Expire(now time.Time) []Backend {
	for service, servers := range f.byService {
		f.speedOf(service, now)
		for _, s := range servers {
			s.average.update(s.running, now)
		}
	}
	f.forgetLeaving(now)
	var gone []Backend
	for id, s := range f.byID {
		if !s.forgetAt.IsZero() && !now.Before(s.forgetAt) {
			f.drop(id)
			gone = append(gone, s.Backend)
		}
	}
	if len(gone) > 0 {
		f.reindex()
	}
	return gone
}

// add adds a backend server whose ID is not known yet.
func (f *Fleet) add(s *backendState) {
	at, _ := slices.BinarySearchFunc(f.ordered, s.ID, compareID)
	f.ordered = slices.Insert(f.ordered, at, s)
	f.byID[s.ID] = s
}

// drop removes a backend server.
func (f *Fleet) drop(id string) {
	if at, known := slices.BinarySearchFunc(f.ordered, id, compareID); known {
		f.ordered = slices.Delete(f.ordered, at, at+1)
	}
	delete(f.byID, id)
}

func compareID(s *backendState, id string) int { return strings.Compare(s.ID, id) }

// reindex rebuilds byService, which has the backend servers that get calls, and what is
// derived from it.
func (f *Fleet) reindex() {
	clear(f.rankings)
	f.forgotten = false
	f.byService, f.indexes = map[string][]*backendState{}, map[string]*serviceIndex{}
	for _, in := range f.byZone {
		in.servers = nil
	}
	for _, s := range f.ordered {
		s.index, s.zone = nil, nil
		if !s.Draining && !f.saidLeaving(s.Backend) {
			s.place = len(f.byService[s.Service])
			f.byService[s.Service] = append(f.byService[s.Service], s)
			zone := zoneOfService{s.Service, s.AvailabilityZone}
			if f.byZone[zone] == nil {
				f.byZone[zone] = &zoneServers{}
			}
			s.zone = f.byZone[zone]
			s.zone.servers = append(s.zone.servers, s)
		}
	}
	for service, servers := range f.byService {
		index := &serviceIndex{servers: servers}
		f.indexes[service] = index
		for _, s := range servers {
			s.index, index.mostSlots = index, max(index.mostSlots, s.Slots)
			index.running += s.running
			if s.limit.perSecond > 0 {
				index.limited++
			}
		}
	}
}

// Request describes the call that a backend server is chosen for.
type Request struct {
	Service string
	// Affinity names the session or object of the call. A backend server that
	// has handled earlier calls with the same affinity is faster. It is empty if
	// there is none.
	Affinity string
	// Contended says that the call goes to the server where it is expected to end first,
	// by the speed that was measured, and not just to the least busy one.
	Contended bool
	// Home is the ID of the backend server that handled the call before in the same
	// conversation and is faster; empty if that is not known. It goes before Affinity if
	// the call is contended.
	Home string
	// CallsInMemory is the number of calls that fit into the memory of one server; 0 if
	// that is not known. It counts if the call is contended.
	CallsInMemory float64
	// Exclude lists the ids of backend servers that must not get this call
	// again.
	Exclude []string
	// SoftwareVersion is the only software version that may serve the call; empty if
	// any may.
	SoftwareVersion string
	// Connected reports whether an idle connection to an address is open that may carry
	// the call. It is nil if that shall not influence the choice.
	Connected func(address string) bool
	// TieBreak is a random number that decides between backend servers of equal cost.
	TieBreak uint64

	// candidates is set by Explain and collects the servers that are compared.
	candidates *Candidates
}

// Choose returns the backend server with the lowest cost for a call and the
// number of this front's calls that run there. It reports false if no backend
// server may get the call, or all that may have taken what their limits allow.
func (f *Fleet) Choose(request Request, now time.Time) (Backend, int, bool) {
	if request.Contended {
		return f.chooseContended(request, now)
	}
	var best *backendState
	var bestCost float64
	first, second := f.preferred(request)
	if second != nil && first.limit.wait(now) > 0 {
		first, second = second, nil // so that these calls stay together too
	}
	for _, s := range f.byService[request.Service] {
		if excluded(request.Exclude, s.ID) || !request.versionFits(s) || s.limit.wait(now) > 0 {
			continue
		}
		cost := f.cost(s, &request, now)
		if first == nil && s.AvailabilityZone != f.zone {
			cost.OtherZone = otherZoneCost
		}
		switch {
		case first == nil || s == first:
		case s == second:
			cost.OtherServer = secondChoiceCost
		default:
			cost.OtherServer = otherServerCost
		}
		request.candidates.observe(s, &cost, float64(s.running), float64(s.Slots))
		if sum := cost.Sum(); best == nil || sum < bestCost {
			best, bestCost = s, sum
		}
	}
	if best == nil {
		return Backend{}, 0, false
	}
	return best.Backend, best.running, true
}

// versionFits reports whether the software version of a backend server may serve
// the call.
func (r Request) versionFits(s *backendState) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == s.SoftwareVersion
}

func excluded(list []string, id string) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}

// Get returns the registration of a backend server. One that said that it is
// leaving counts as draining.
func (f *Fleet) Get(id string) (Backend, bool) {
	s := f.byID[id]
	if s == nil {
		return Backend{}, false
	}
	b := s.Backend
	b.Draining = b.Draining || f.saidLeaving(b)
	return b, true
}
