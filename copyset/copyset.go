// Package copyset defines the copy set, which is the set of disks that hold
// the replicas of conversations and budgets, and the changes that it permits.
// The package does no I/O: a change takes a Set and returns the next one, which
// the caller writes to the platform store if nobody has written in between.
//
// A record counts as stored when a majority of the members has synced it. Any
// two majorities share a member. A new member counts only after it has pulled
// the records of so many members that every earlier majority is represented
// among them, so no reader misses a record, even if a disk came back empty.
package copyset

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("copyset")

// Key is the key of the copy set in the platform store.
const Key = "copyset"

// Member is one disk of the copy set. A disk that was emptied has a new
// identity and is another member.
type Member struct {
	Disk string `json:"disk"`
	Host string `json:"host"`
	// Address is where the turn store listens for front servers and other turn
	// stores.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Ready members count for majorities. A member that is not ready yet
	// receives new records and pulls the earlier ones from ready members.
	Ready bool `json:"ready"`
	// PullFrom is the number of ready members that a member that is not ready
	// must pull from, so that it has every record that a majority has synced. It
	// is 0 in sets of earlier releases.
	PullFrom int `json:"pull_from,omitempty"`
}

// Set is one version of the copy set. Version is the revision of the platform
// store at which the set was written.
type Set struct {
	Version uint64   `json:"-"`
	Members []Member `json:"members"`
	// Forming says that no version of the set has been able to serve yet, so that
	// no record can be lost.
	Forming bool `json:"forming,omitempty"`
}

// Decode parses the value that the platform store holds at the given version.
func Decode(value []byte, version uint64) (Set, error) {
	var s Set
	if err := json.Unmarshal(value, &s); err != nil {
		return Set{}, Error.Wrap(err)
	}
	s.Version = version
	return s, nil
}

// Encode returns the value to write to the platform store.
func (s Set) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic("copyset: cannot encode set: " + err.Error())
	}
	return value
}

// Majority is the number of ready members that must have synced a record.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// ReadQuorum is the size of a read quorum: among that many ready members, at
// least one has synced any record that a majority has synced.
func (s Set) ReadQuorum() int { return len(s.Members) - s.Majority() + 1 }

// Serves reports whether a majority of the members is ready, and whether a
// record that a majority has synced survives the loss of tolerated disks.
func (s Set) Serves(tolerated int) bool {
	return s.readyCount() >= s.Majority() && s.Majority() > tolerated
}

// MustPullFrom returns the number of ready members that a joining member must
// pull from before it is ready.
func (s Set) MustPullFrom(joining Member) int {
	if joining.PullFrom > 0 {
		return joining.PullFrom
	}
	return s.ReadQuorum()
}

func (s Set) readyCount() int {
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

// Join returns the set with a new member. The first member of a set is ready
// at once. A new member replaces an earlier disk of its host or else an absent
// member, but the only member of a set is not replaced for being absent,
// because no other has its records. Join reports false while another member
// that is not absent is still joining: one member joins at a time, so that
// majorities of successive sets overlap.
//
// While the set is forming, a disk that replaces the last ready one is ready at
// once, since there are no records to pull; otherwise no member could become
// ready any more.
func (s Set) Join(joining Member, absent func(disk string) bool) (Set, bool) {
	next := Set{Members: slices.Clone(s.Members), Forming: s.Forming || len(s.Members) == 0}
	replaced := -1
	for i, m := range next.Members {
		switch {
		case m.Host == joining.Host:
			replaced = i
		case !m.Ready && !absent(m.Disk) && !s.lastReady(joining.Host):
			return Set{}, false
		case replaced < 0 && len(next.Members) > 1 && absent(m.Disk):
			replaced = i
		}
	}
	joining.Ready, joining.PullFrom = false, 0
	if replaced < 0 {
		next.Members = append(next.Members, joining)
	} else {
		next.Members[replaced] = joining
	}
	ready := next.readyCount()
	joining.Ready = len(next.Members) == 1 || ready == 0 && s.Forming
	if !joining.Ready {
		joining.PullFrom = s.pullFrom(ready, replaced)
	}
	next.Members[slices.IndexFunc(next.Members, func(m Member) bool { return m.Disk == joining.Disk })] = joining
	return next, true
}

// lastReady reports whether the set is forming and its only ready member is on
// the host.
func (s Set) lastReady(host string) bool {
	return s.Forming && s.readyCount() == 1 && slices.ContainsFunc(s.Members, func(m Member) bool { return m.Ready && m.Host == host })
}

// pullFrom returns how many of the ready members that are left a new member must
// pull from. Each record that was acknowledged is on a majority of the set; one
// of them may be the replaced member.
func (s Set) pullFrom(ready, replaced int) int {
	holders := s.Majority()
	switch {
	case replaced < 0:
	case s.Members[replaced].Ready:
		holders--
	default:
		// The replaced member may itself have replaced one with records.
		return max(s.MustPullFrom(s.Members[replaced]), ready-holders+1)
	}
	return max(1, ready-holders+1)
}

// Formed returns the set, no longer forming if it serves.
func (s Set) Formed(tolerated int) Set {
	s.Forming = s.Forming && !s.Serves(tolerated)
	return s
}

// clone returns a copy that can be changed, without the version.
func (s Set) clone() Set { return Set{Members: slices.Clone(s.Members), Forming: s.Forming} }

// MarkReady returns the set in which the member counts for majorities. It
// reports false if the disk is not a member or is ready already.
func (s Set) MarkReady(disk string) (Set, bool) {
	next := s.clone()
	for i := range next.Members {
		if next.Members[i].Disk == disk && !next.Members[i].Ready {
			next.Members[i].Ready, next.Members[i].PullFrom = true, 0
			return next, true
		}
	}
	return Set{}, false
}

// SetAddress returns the set with a new address of the member. It reports false
// if the disk is not a member or has that address already.
func (s Set) SetAddress(disk, address string) (Set, bool) {
	next := s.clone()
	for i := range next.Members {
		if next.Members[i].Disk == disk && next.Members[i].Address != address {
			next.Members[i].Address = address
			return next, true
		}
	}
	return Set{}, false
}

// Leave returns the set without the member. It reports false if the disk is not
// a member, or if the others could not lose the tolerated number of disks or
// lack a majority of ready members.
func (s Set) Leave(disk string, tolerated int) (Set, bool) {
	next := s.clone()
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Disk == disk })
	if len(next.Members) == len(s.Members) || next.Majority() <= tolerated || next.readyCount() < next.Majority() {
		return Set{}, false
	}
	return next, true
}

// SurvivableLosses is the number of ready members that may be unreachable while
// the others still form a majority.
func (s Set) SurvivableLosses() int { return max(0, s.readyCount()-s.Majority()) }

// LeavingCostsTolerance reports whether the set without the member could lose
// fewer of the tolerated disks than it can now and still serve.
func (s Set) LeavingCostsTolerance(disk string, tolerated int) bool {
	next, allowed := s.Leave(disk, tolerated)
	return !allowed || next.SurvivableLosses() < min(tolerated, s.SurvivableLosses())
}

// minSpareMembers is how many members beyond the tolerated losses must remain
// when an absent member is dropped.
const minSpareMembers = 2

// Drop returns the set without one absent member, and the disk of that member.
// It reports false if no member is absent, if too few would remain, or if the
// number of members is odd: its majority would stay the same, and a read quorum
// of the smaller set could miss a record of which the absent member has a copy.
func (s Set) Drop(absent func(disk string) bool, tolerated int) (Set, string, bool) {
	if len(s.Members)%2 == 1 || len(s.Members)-1 < tolerated+minSpareMembers {
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
