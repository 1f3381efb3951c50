// Package coordination lets fronts share what changes too fast for the turn stores: the
// quotas of organisations and what each front has measured of backend servers. A few of
// the listed fronts are coordinators; every front reports to them, so that the messages
// of a front do not grow with the fleet.
//
// Nothing is agreed on: two fronts may take different fronts for the coordinator of a
// subject while their lists differ or links are down. Topics have to be correct all the
// same.
package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("coordination")

// MaxCoordinators is the largest number of coordinators at a time.
const MaxCoordinators = 8

// Topic exchanges one kind of content. Only the coordination duty calls its methods.
type Topic interface {
	// Name identifies the topic in messages.
	Name() string
	// Report returns what this front says to a coordinator; nil for nothing.
	Report(coordinator string, now time.Time) []byte
	// Answer returns, at the coordinator, what a front that has reported is told.
	Answer(front string, payload []byte, now time.Time) []byte
	// Learn takes in what a coordinator answered.
	Learn(coordinator string, payload []byte, now time.Time)
}

// FrontsFollower is a Topic that needs to know the fronts.
type FrontsFollower interface {
	// SetFronts sets the known fronts and the addresses of those that are coordinators
	// now. It is called several times a second and whenever the coordinators change.
	SetFronts(fronts []Front, coordinators []string, now time.Time)
}

// Urgent is a Topic whose reports cannot always wait for the regular ones.
type Urgent interface {
	// Urgent reports whether something should be said to a coordinator at once. It is
	// called after Exchange.Wake and after each answer.
	Urgent(coordinator string) bool
}

// Front is a front as the platform's store lists it.
type Front struct {
	// Address is where clients reach the front; it identifies the front.
	Address string
	// PeerAddress is where other fronts reach it; empty if it serves none.
	PeerAddress string
	// Listed says that clients are sent to it.
	Listed bool
	// Draining says that it stops, or cannot serve now, and has said so.
	Draining bool
}

// Coordinators returns the addresses of the coordinators among the fronts, in the order
// of their hashes: of the listed fronts that usable accepts, those with the highest.
func Coordinators(fronts []Front, usable func(address string) bool) []string {
	type candidate struct {
		address string
		rank    uint64
	}
	var found []candidate
	for _, f := range fronts {
		if f.Listed && !f.Draining && f.PeerAddress != "" && usable(f.Address) {
			found = append(found, candidate{f.Address, xxhash.Sum64String(f.Address)})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
	})
	var chosen []string
	for _, c := range found[:min(len(found), MaxCoordinators)] {
		chosen = append(chosen, c.address)
	}
	return chosen
}

// Owner returns which of the coordinators a subject belongs to; empty if there is none.
func Owner(coordinators []string, subject string) string {
	owner, highest := "", uint64(0)
	for _, c := range coordinators {
		if rank := xxhash.Sum64String(subject + "\x00" + c); owner == "" || rank > highest {
			owner, highest = c, rank
		}
	}
	return owner
}
