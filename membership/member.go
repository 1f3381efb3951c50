// Package membership tells which nodes are live, which of the others are
// confirmed dead, and which address a caller uses.
//
// A node is a member while its record is in the platform store under its
// lease. No safety depends on the lease: a node that is taken over by mistake
// is fenced by its journal.
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

// Prefix is the prefix of the keys of member records in the platform store.
const Prefix = "member/"

// Member is the record of one node.
type Member struct {
	ID string `json:"id"`
	// Incarnation names one run of the node's process and its journal.
	Incarnation string `json:"incarnation"`
	HTTP        string `json:"http"`
	GRPC        string `json:"grpc"`
	Zone        string `json:"zone"`
	Draining    bool   `json:"draining,omitempty"`
	// Disk names the disk of a turn store; empty for other processes.
	Disk string `json:"disk,omitempty"`
	// Cores is the part of a core that a front may use; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Version is the store revision of the record.
	Version kvstore.Version `json:"-"`
}

// Decode reads a member record.
func Decode(item kvstore.Item) (Member, error) {
	var m Member
	if err := json.Unmarshal(item.Value, &m); err != nil {
		return Member{}, errs.Combine(ErrMalformed, err)
	}
	if m.ID != strings.TrimPrefix(item.Key, Prefix) || m.Incarnation == "" {
		return Member{}, ErrMalformed
	}
	m.Version = item.Version
	return m, nil
}

// View is an immutable snapshot of the live members.
type View struct {
	// Members are sorted by ID. The rank of a member is its index.
	Members []Member
	// Revision is the store revision that the view reflects.
	Revision kvstore.Version
	// StoreDown is set while the watch of the store fails. The view may then
	// be stale.
	StoreDown bool
	// SuspectAfter is the time before which no lapsed member counts as dead:
	// one lease period after the start and after each outage of the store, so
	// that all can renew.
	SuspectAfter time.Time
}

// Incarnation returns the live member of that incarnation.
func (v *View) Incarnation(name string) (Member, bool) {
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

// Choose returns the members whose addresses a caller uses for a program: the
// owner of its shard first, and a second choice, in another availability zone
// if there is one. Draining members are never chosen. If the owner cannot be
// chosen, the hash of the program spreads the callers. The results are nil when
// there are too few members.
func Choose(v *View, program, ownerIncarnation string) (first, second *Member) {
	var open []Member
	for _, m := range v.Members {
		if !m.Draining {
			open = append(open, m)
		}
	}
	slices.SortStableFunc(open, func(a, b Member) int {
		return cmp.Compare(weight(program, b.ID), weight(program, a.ID))
	})
	if len(open) == 0 {
		return nil, nil
	}
	owner := slices.IndexFunc(open, func(m Member) bool { return m.Incarnation == ownerIncarnation })
	first = &open[max(owner, 0)]
	for i := range open {
		m := &open[i]
		if m != first && (second == nil || second.Zone == first.Zone && m.Zone != first.Zone) {
			second = m
		}
	}
	return first, second
}

func weight(program, id string) uint64 {
	return xxhash.Sum64String(id + "\x00" + program)
}
