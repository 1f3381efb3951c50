package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lostRetention is how long a front that has vanished from the list is counted: it may
	// be cut off and spend its share.
	lostRetention = time.Minute
	// stoppedRetention is how long a front is counted that stops as planned or is no longer
	// listed. Clients keep the list of fronts for up to 5 s.
	stoppedRetention = 5 * time.Second
)

// Member is a front as the platform's store lists it.
type Member struct {
	Address  string
	Listed   bool // clients are sent to it
	Draining bool
}

// Fleet knows the fronts among which each quota is divided.
type Fleet struct {
	self   string
	counts map[string]time.Time // until when a front is counted, by address
	last   map[string]bool      // listed in the last list
	// draining are the fronts that were draining in the last list.
	draining map[string]bool
}

// NewFleet returns a fleet that knows no front yet.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, counts: map[string]time.Time{}, last: map[string]bool{}, draining: map[string]bool{}}
}

// Set replaces the list of fronts.
func (f *Fleet) Set(members []Member, now time.Time) {
	stopped, draining := map[string]bool{}, map[string]bool{}
	listed := map[string]bool{}
	for _, m := range members {
		if m.Listed && !m.Draining {
			listed[m.Address] = true
			f.counts[m.Address] = now.Add(lostRetention)
			continue
		}
		stopped[m.Address] = true
		if !m.Draining {
			continue
		}
		draining[m.Address] = true
		if _, counted := f.counts[m.Address]; !counted && !f.draining[m.Address] && m.Address != f.self {
			// This process has just started, and clients may still go to the other front.
			f.counts[m.Address] = now.Add(stoppedRetention)
		}
	}
	for address, until := range f.counts {
		if limit := now.Add(stoppedRetention); stopped[address] && until.After(limit) {
			f.counts[address] = limit
		}
		if now.After(f.counts[address]) {
			delete(f.counts, address)
		}
	}
	f.last, f.draining = listed, draining
}

// Share returns the part of each quota that this front owns; 0 if clients are not sent
// to it.
func (f *Fleet) Share() float64 {
	if _, counted := f.counts[f.self]; !counted {
		return 0
	}
	return 1 / float64(len(f.counts))
}

// place returns how many of the counted fronts come before this one for an organisation.
func (f *Fleet) place(organisation string) int {
	before := 0
	own := xxhash.Sum64String(organisation + "\x00" + f.self)
	for address := range f.counts {
		if rank := xxhash.Sum64String(organisation + "\x00" + address); address != f.self && cmp.Or(cmp.Compare(rank, own), cmp.Compare(address, f.self)) > 0 {
			before++
		}
	}
	return before
}

// Addresses returns the fronts that are counted, in order.
func (f *Fleet) Addresses() []string {
	var all []string
	for address := range f.counts {
		all = append(all, address)
	}
	slices.Sort(all)
	return all
}
