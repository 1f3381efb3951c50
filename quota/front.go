package quota

import (
	"time"
)

// Decision is what becomes of a request.
type Decision int

const (
	// Admitted means that a token was spent.
	Admitted Decision = iota
	// Refused means that the organisation has no token left.
	Refused
	// Ask means that the coordinator may have a token. The request waits until Learn was
	// called and tries again.
	Ask
)

// Front decides about the requests of one front. It spends what coordinators lease to
// it, and its own share of what no coordinator answers for.
type Front struct {
	bounds     Bounds
	fleet      *Fleet
	limits     map[string]Limit
	accounts   map[string]*account
	byKey      map[uint64]*account
	partitions [Partitions]delegation
	links      map[string]*link // by coordinator
	started    time.Time
	nextEpoch  uint64
	swept      time.Time
}

// delegation says who may spend this front's share of a partition.
type delegation struct {
	owner  string // the coordinator that should; empty for none
	holder string // the coordinator that may; empty if only this front may
	// free is when this front may spend the share again, or delegate it.
	free time.Time
}

// link is this front's relation to a coordinator.
type link struct {
	epoch     uint64
	number    uint64
	delegated uint64    // partitions in the last report
	sent      time.Time // when the last report was sent
	answered  time.Time // when the last one that was answered was sent
	waiting   bool      // for the answer to the last report
	dirty     map[*account]bool
	urgent    bool
}

// NewFront returns a front that has no limits yet. The epoch must differ from those of
// earlier processes of the front.
func NewFront(self string, bounds Bounds, epoch uint64, now time.Time) *Front {
	return &Front{
		bounds: bounds, fleet: NewFleet(self), accounts: map[string]*account{}, byKey: map[uint64]*account{}, links: map[string]*link{},
		started: now, nextEpoch: epoch,
	}
}

// SetLimits replaces the limits of the organisations, by name.
func (f *Front) SetLimits(limits map[string]Limit) {
	f.limits = limits
	for name, a := range f.accounts {
		a.limit = limits[name]
	}
}

// SetFronts replaces the list of fronts and the coordinator of each partition. A
// coordinator that has not answered must be missing among them.
func (f *Front) SetFronts(members []Member, owners *[Partitions]string, now time.Time) {
	f.fleet.Set(members, now)
	present := map[string]bool{}
	for i, owner := range owners {
		f.partitions[i].owner = owner
		present[owner] = true
	}
	for _, a := range f.accounts { // those that are handed back to their coordinator
		if l := f.links[a.coordinator]; l != nil && f.partitions[partitionOf(a.key)].owner != a.coordinator {
			l.dirty[a] = true
		}
	}
	for coordinator, l := range f.links {
		switch {
		case present[coordinator]:
		case l.waiting || l.expired(now):
			f.lose(coordinator, now)
		case l.delegated == 0 && len(l.dirty) == 0:
			delete(f.links, coordinator)
		}
	}
	f.sweep(now)
}

// lose ends the epoch of a link: its reports may or may not have arrived. Tokens from it
// stay valid as long as the coordinator counts them, and the share is reclaimed later.
func (f *Front) lose(coordinator string, now time.Time) {
	l := f.links[coordinator]
	for i := range f.partitions {
		if p := &f.partitions[i]; p.holder == coordinator {
			p.holder, p.free = "", l.sent.Add(reclaimDelay)
		}
	}
	delete(f.links, coordinator)
	for _, a := range f.accounts {
		if a.coordinator != coordinator {
			continue
		}
		a.detach(l.answered.Add(frontLease), now)
		if a.waiting == 0 {
			continue
		}
		if next := f.linkOf(a); next != nil {
			next.dirty[a], next.urgent = true, true
		}
	}
}

// expired reports whether tokens of the link are void.
func (l *link) expired(now time.Time) bool { return now.Sub(l.answered) >= frontLease }

// Take decides about a request that was not asked about before.
func (f *Front) Take(organisation string, now time.Time) (Decision, time.Duration) {
	a := f.arrive(organisation, now)
	if a == nil {
		return Admitted, 0
	}
	return f.decide(a, now)
}

// arrive counts a request and returns the account of its organisation; nil if the
// organisation has no limit.
func (f *Front) arrive(organisation string, now time.Time) *account {
	limit := f.limits[organisation]
	if limit.RatePerSecond <= 0 {
		return nil
	}
	a := f.account(organisation, limit, now)
	a.arrivals++
	a.lastUse = now
	return a
}

// StartsScarce reports whether a quota hardly suffices for the programs in progress.
// Requests that start programs are then to be told apart.
func (f *Front) StartsScarce(organisation string, now time.Time) bool {
	a := f.accounts[organisation]
	return a != nil && now.Before(a.scarceUntil)
}

// Started takes in that an admitted request has started a program.
func (f *Front) Started(organisation string) {
	if a := f.accounts[organisation]; a != nil {
		a.started++
	}
}

// TakeStart decides about a request that starts a program while starts are scarce. If it
// returns Ask, TakeStartAgain decides.
func (f *Front) TakeStart(organisation string, now time.Time) (Decision, time.Duration) {
	a := f.arrive(organisation, now)
	if a == nil {
		return Admitted, 0
	}
	decision, after := Ask, time.Duration(0)
	if l := f.linkOf(a); l != nil && !a.unknown && now.Before(a.scarceUntil) && !now.Before(a.emptyUntil) {
		f.ask(a, l)
	} else {
		decision, after = f.decide(a, now)
	}
	if decision == Ask {
		a.starting++
	}
	return decision, after
}

// TakeStartAgain decides about a request that has waited since TakeStart returned Ask,
// with permission for it if the coordinator has answered since the given ticket. It never
// returns Ask.
func (f *Front) TakeStartAgain(organisation string, ticket int64, now time.Time) (Decision, time.Duration) {
	a := f.accounts[organisation]
	if a == nil {
		return Admitted, 0 // the limit was removed
	}
	a.starting = max(0, a.starting-1)
	switch {
	case a.permits > 0:
		a.permits--
	case a.answered >= ticket && now.Before(a.scarceUntil):
		a.waiting = max(0, a.waiting-1)
		return Refused, a.startAfter(now)
	}
	return f.TakeAgain(organisation, now)
}

// TakeAgain decides about a request that has waited since Take returned Ask. It never
// returns Ask.
func (f *Front) TakeAgain(organisation string, now time.Time) (Decision, time.Duration) {
	a := f.accounts[organisation]
	if a == nil {
		return Admitted, 0 // the limit was removed
	}
	a.waiting = max(0, a.waiting-1)
	if f.spend(a, now) {
		return Admitted, 0
	}
	return Refused, a.retryAfter(now)
}

func (f *Front) decide(a *account, now time.Time) (Decision, time.Duration) {
	if f.spend(a, now) {
		return Admitted, 0
	}
	if l := f.links[a.coordinator]; l != nil && l.number > 0 && !l.waiting && l.expired(now) {
		f.lose(a.coordinator, now) // nothing was said to it for a while
	}
	l := f.linkOf(a)
	if l == nil || a.unknown || now.Before(a.emptyUntil) {
		return Refused, a.retryAfter(now)
	}
	f.ask(a, l)
	return Ask, 0
}

// ask lets a request wait for an answer of the coordinator.
func (f *Front) ask(a *account, l *link) {
	a.waiting++
	a.tickets++
	l.dirty[a], l.urgent = true, true
}

// spend spends a token if there is one: first those that are void soonest.
func (f *Front) spend(a *account, now time.Time) bool {
	switch f.held(a, now) {
	case heldOld:
		a.old--
		return true
	case heldVoid:
		f.lose(a.coordinator, now) // this front stood still
		return false
	case heldLeased:
		l := f.links[a.coordinator]
		a.tokens--
		a.spent++
		l.dirty[a] = true
		if a.wanted >= prefetchFrom && a.tokens <= a.wanted/4 && !a.asked && !now.Before(a.emptyUntil) {
			a.asked, l.urgent = true, true
		}
		return true
	}
	return f.spendOwn(a, now)
}

// GiveBack takes back the token of a request that was refused and has not run.
func (f *Front) GiveBack(organisation string, now time.Time) {
	a := f.accounts[organisation]
	if a == nil {
		return
	}
	switch l := f.links[a.coordinator]; {
	case l == nil:
		a.own.level = min(a.own.level+1, f.ownCapacity(a)) // nothing if this front has no share
	case a.spent > 0: // the coordinator still counts it as held
		a.spent--
		a.tokens++
	default:
		a.givenBack++
		l.dirty[a] = true
	}
}

// linkOf returns the link to the coordinator of an account, and makes one if there is
// none; nil without a coordinator.
func (f *Front) linkOf(a *account) *link {
	if a.coordinator == "" {
		a.coordinator = f.partitions[partitionOf(a.key)].owner
	}
	if a.coordinator == "" {
		return nil
	}
	return f.link(a.coordinator)
}

func (f *Front) link(coordinator string) *link {
	l := f.links[coordinator]
	if l == nil {
		f.nextEpoch++
		l = &link{epoch: f.nextEpoch, dirty: map[*account]bool{}}
		f.links[coordinator] = l
	}
	return l
}

// Urgent reports whether something should be said to a coordinator at once.
func (f *Front) Urgent(coordinator string) bool {
	l := f.links[coordinator]
	return l != nil && l.urgent && !l.waiting
}

// AnyUrgent reports whether something should be said to any coordinator at once.
func (f *Front) AnyUrgent() bool {
	for coordinator := range f.links {
		if f.Urgent(coordinator) {
			return true
		}
	}
	return false
}

// Ticket numbers the request for which Take has just returned Ask.
func (f *Front) Ticket(organisation string) int64 {
	if a := f.accounts[organisation]; a != nil {
		return a.tickets
	}
	return 0
}

// Answered reports whether the coordinator has answered about a request that waits, or
// will not.
func (f *Front) Answered(organisation string, ticket int64) bool {
	a := f.accounts[organisation]
	return a == nil || a.answered >= ticket || a.tokens > 0 || f.links[a.coordinator] == nil
}
