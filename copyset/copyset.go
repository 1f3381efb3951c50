// Package copyset decides which turn stores hold the copies of conversations
// and budgets, and how that changes. It is pure: a change takes a set and
// returns the next one, which its caller swaps in the platform's store.
//
// A record counts as stored when a majority of the members has synced it. Any
// two majorities share a member, and a new member counts only after it has
// pulled from enough members that each earlier majority is represented, so no
// reader misses a record, also when a disk came back empty.
package copyset

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("copyset")

// Key is the key of the copy set in the platform's store.
const Key = "copyset"

// Member is one disk. A disk that was emptied is another member.
type Member struct {
	Disk string `json:"disk"`
	Host string `json:"host"`
	// Address is where the store listens for fronts and other stores.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Ready members count for majorities. Others receive records and pull.
	Ready bool `json:"ready"`
}

// Set is one version of the copy set. The version is the store revision at
// which it was written.
type Set struct {
	Version uint64   `json:"-"`
	Members []Member `json:"members"`
}

// Decode reads the value that was written at a version.
func Decode(value []byte, version uint64) (Set, error) {
	var s Set
	if err := json.Unmarshal(value, &s); err != nil {
		return Set{}, Error.Wrap(err)
	}
	s.Version = version
	return s, nil
}

// Encode returns the value to be written.
func (s Set) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic("copyset: a set cannot be encoded: " + err.Error())
	}
	return value
}

// Majority is the number of ready members that must have synced a record.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Witnesses is the number of ready members that together have seen every
// record that a majority has synced.
func (s Set) Witnesses() int { return len(s.Members) - s.Majority() + 1 }

// Serves reports whether the set has a majority of ready members and keeps
// enough copies to survive the loss of tolerated disks.
func (s Set) Serves(tolerated int) bool {
	return s.ready() >= s.Majority() && s.Majority() > tolerated
}

func (s Set) ready() int {
	count := 0
	for _, m := range s.Members {
		if m.Ready {
			count++
		}
	}
	return count
}

// Find returns the member with that disk.
func (s Set) Find(disk string) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Disk == disk })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// Join returns the set with a new member. The first member of all is ready at
// once. The new one takes the place of an earlier disk of its host, or of a
// member that is absent. It reports false while another member is joining
// that is not absent: one joins at a time, so that majorities of successive
// sets overlap.
func (s Set) Join(joining Member, absent func(disk string) bool) (Set, bool) {
	joining.Ready = len(s.Members) == 0
	next := Set{Members: slices.Clone(s.Members)}
	place := -1
	for i, m := range next.Members {
		switch {
		case m.Host == joining.Host:
			place = i
		case !m.Ready && !absent(m.Disk):
			return Set{}, false
		case place < 0 && len(next.Members) > 1 && absent(m.Disk):
			place = i
		}
	}
	if place < 0 {
		next.Members = append(next.Members, joining)
		return next, true
	}
	joining.Ready = len(next.Members) == 1 // nothing is left to pull
	next.Members[place] = joining
	return next, true
}

// Ready returns the set with the member counting for majorities.
func (s Set) Ready(disk string) (Set, bool) {
	next := Set{Members: slices.Clone(s.Members)}
	for i := range next.Members {
		if next.Members[i].Disk == disk && !next.Members[i].Ready {
			next.Members[i].Ready = true
			return next, true
		}
	}
	return Set{}, false
}

// Move returns the set with another address of the member.
func (s Set) Move(disk, address string) (Set, bool) {
	next := Set{Members: slices.Clone(s.Members)}
	for i := range next.Members {
		if next.Members[i].Disk == disk && next.Members[i].Address != address {
			next.Members[i].Address = address
			return next, true
		}
	}
	return Set{}, false
}

// Leave returns the set without the member. It reports false if too few
// members would be left to lose the tolerated number of disks.
func (s Set) Leave(disk string, tolerated int) (Set, bool) {
	next := Set{Members: slices.DeleteFunc(slices.Clone(s.Members), func(m Member) bool { return m.Disk == disk })}
	if len(next.Members) == len(s.Members) || next.Majority() <= tolerated || next.ready() < next.Majority() {
		return Set{}, false
	}
	return next, true
}

// leastSpare is how many members beyond the tolerated losses are kept when an
// absent member is dropped.
const leastSpare = 2

// Drop returns the set without one member that is absent, if enough others
// are there.
func (s Set) Drop(absent func(disk string) bool, tolerated int) (Set, string, bool) {
	if len(s.Members)-1 < tolerated+leastSpare {
		return Set{}, "", false
	}
	for _, m := range s.Members {
		if !absent(m.Disk) {
			continue
		}
		if next, ok := s.Leave(m.Disk, tolerated); ok {
			return next, m.Disk, true
		}
	}
	return Set{}, "", false
}
