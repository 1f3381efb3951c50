// Package membership keeps track of the live nodes, confirms that lapsed nodes
// are dead, and chooses the nodes that a caller of a program addresses.
//
// A node is a member while its record is in the platform store under its
// lease. Safety does not depend on the lease: a node that is taken over by
// mistake is fenced by its journal.
package membership

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"dogwoodline.example/kvstore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("membership")

var (
	// ErrFenced reports that the journal of this incarnation is sealed.
	ErrFenced = Error.New("this incarnation is fenced")
	// ErrSuperseded reports that a newer incarnation of this node registered.
	ErrSuperseded = Error.New("a newer incarnation of this node is registered")
	// ErrMalformed reports a member record that cannot be decoded.
	ErrMalformed = Error.New("malformed member record")
)

// KeyPrefix is the prefix of the keys of member records in the platform store; a
// member's ID follows it.
const KeyPrefix = "member/"

// Member is the record of one node in the platform store.
type Member struct {
	ID string `json:"id"`
	// Incarnation identifies one run of the node's process, and the journal of
	// that run.
	Incarnation string `json:"incarnation"`
	HTTP        string `json:"http"`
	GRPC        string `json:"grpc"`
	Zone        string `json:"zone"`
	Draining    bool   `json:"draining,omitempty"`
	// Disk names the disk of a turn store; empty for other processes.
	Disk string `json:"disk,omitempty"`
	// Cores is the number of cores, perhaps a fraction, that a front may use; 0
	// if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Version is the version of the record in the store.
	Version kvstore.Version `json:"-"`
}

// Decode decodes a member record. It returns ErrMalformed, perhaps combined with
// a cause, if the value is not valid JSON, its ID does not match the key or it
// has no incarnation.
func Decode(item kvstore.Item) (Member, error) {
	var m Member
	if err := json.Unmarshal(item.Value, &m); err != nil {
		return Member{}, errs.Combine(ErrMalformed, err)
	}
	if m.ID != strings.TrimPrefix(item.Key, KeyPrefix) || m.Incarnation == "" {
		return Member{}, ErrMalformed
	}
	m.Version = item.Version
	return m, nil
}

// View is an immutable snapshot of the live members.
type View struct {
	// Members is sorted by ID. The rank of a member is its index.
	Members []Member
	// Revision is the store revision that the view reflects.
	Revision kvstore.Version
	// StoreDown is set before the store first answers and while listing or
	// watching it fails. The view may then be stale.
	StoreDown bool
	// NoDeathsBefore is the time before which no lapsed member is confirmed dead:
	// one lease period after the start and after each outage of the store that
	// may have made leases lapse, so that all members have time to renew.
	NoDeathsBefore time.Time
}

// ByIncarnation returns the live member with the given incarnation. The second
// result is false if there is none.
func (v *View) ByIncarnation(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Incarnation == name {
			return m, true
		}
	}
	return Member{}, false
}

// Rank returns the index of the incarnation among the live members, or the
// number of members if it is not one of them.
func (v *View) Rank(incarnation string) int {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return len(v.Members)
	}
	return i
}

// ChooseForProgram returns the members that a caller of a program should address: first
// the owner of the program's shard, second another member, in another
// availability zone if possible. Draining members are never chosen. If the
// owner is not available, rendezvous hashing of the program selects the first
// member, which spreads the programs over the members. A result is nil if there
// are too few members.
func ChooseForProgram(v *View, program, ownerIncarnation string) (first, second *Member) {
	var candidates []Member
	for _, m := range v.Members {
		if !m.Draining {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Compare(rendezvousWeight(program, b.ID), rendezvousWeight(program, a.ID))
	})
	if len(candidates) == 0 {
		return nil, nil
	}
	owner := slices.IndexFunc(candidates, func(m Member) bool { return m.Incarnation == ownerIncarnation })
	first = &candidates[max(owner, 0)]
	for i := range candidates {
		m := &candidates[i]
		if m != first && (second == nil || second.Zone == first.Zone && m.Zone != first.Zone) {
			second = m
		}
	}
	return first, second
}

// rendezvousWeight is the weight of a member for a program in rendezvous
// hashing; the member with the highest weight comes first.
func rendezvousWeight(program, id string) uint64 {
	return xxhash.Sum64String(id + "\x00" + program)
}
