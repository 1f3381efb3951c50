// Package copies keeps copies of the journal tails of other nodes while the
// platform store does not answer.
//
// State is the pure state of a holder; Duty owns it. Choose names the holders
// of a node's own journal.
package copies

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/fencedlog"
)

// Error is the class of all errors of this package.
var Error = errs.Class("copies")

// Verdict is the outcome of a copy at a holder.
type Verdict int

const (
	// Held means that the holder has the copy and all earlier ones that the
	// store lacks.
	Held Verdict = iota + 1
	// Fenced means that the journal was collected. It is final.
	Fenced
	// Full means that a limit of the holder is reached.
	Full
	// Gap means that an earlier copy that the store lacks is missing here.
	Gap
)

// Limits bound a State. The zero value of a field means its default.
type Limits struct {
	// Records and Bytes bound the copies of one journal. Defaults 8,192
	// records and 16 MB, the limits of a journal's tail.
	Records int
	Bytes   int
	// Journals bounds the journals with copies. Default 8: on average a node
	// holds copies for two others.
	Journals int
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Records, 8192)
	setDefault(&l.Bytes, 16<<20)
	setDefault(&l.Journals, 8)
	return l
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// releaseAfter is how long copies are kept after their last use although no
// shard needs the journal. It is far above the time in which all nodes see a
// change of the shard map.
const releaseAfter = 10 * time.Minute

// State holds the copies of the journals of other incarnations.
type State struct {
	limits   Limits
	journals map[string]*held
}

// held is what is kept of one journal. The entry of a collected journal stays
// for the life of the process, without copies, so that its former owner is
// refused whenever it comes back.
type held struct {
	copies  []fencedlog.Copy // in order of their numbers
	last    uint64           // number of the latest copy
	records int
	bytes   int
	fenced  bool
	used    time.Time
}

// NewState returns an empty state.
func NewState(limits Limits) *State {
	return &State{limits: limits.withDefaults(), journals: map[string]*held{}}
}

// Hold takes a copy of the tail of a journal. A repeated copy is acknowledged
// again.
func (s *State) Hold(now time.Time, incarnation string, c fencedlog.Copy) Verdict {
	h := s.journals[incarnation]
	switch {
	case h == nil:
		h = &held{}
	case h.fenced:
		return Fenced
	case c.Number <= h.last:
		return Held
	}
	if c.Number != c.Oldest && c.Number != h.last+1 {
		return Gap
	}
	if h.records+c.Records > s.limits.Records || h.bytes+len(c.Body) > s.limits.Bytes {
		return Full
	}
	if len(h.copies) == 0 && s.inUse() >= s.limits.Journals {
		return Full
	}
	s.journals[incarnation] = h
	h.copies = append(h.copies, c)
	h.last = c.Number
	h.records += c.Records
	h.bytes += len(c.Body)
	h.used = now
	return Held
}

func (s *State) inUse() int {
	count := 0
	for _, h := range s.journals {
		if len(h.copies) > 0 {
			count++
		}
	}
	return count
}

// Collect returns the copies of a journal, in order, and refuses further ones.
func (s *State) Collect(now time.Time, incarnation string) []fencedlog.Copy {
	h := s.journals[incarnation]
	if h == nil {
		h = &held{}
		s.journals[incarnation] = h
	}
	h.fenced = true
	h.used = now
	return slices.Clone(h.copies)
}

// Drop removes the copies that the store has: those up to a commit number.
func (s *State) Drop(incarnation string, commit uint64) {
	if h := s.journals[incarnation]; h != nil && !h.fenced {
		h.keep(func(c fencedlog.Copy) bool { return c.Commit > commit })
	}
}

// keep removes the other copies and gives their memory back.
func (h *held) keep(wanted func(fencedlog.Copy) bool) {
	var kept []fencedlog.Copy
	h.records, h.bytes = 0, 0
	for _, c := range h.copies {
		if wanted(c) {
			kept = append(kept, c)
			h.records += c.Records
			h.bytes += len(c.Body)
		}
	}
	h.copies = kept
}

// Release removes copies that were not used for a while and whose journal
// nothing needs any more.
func (s *State) Release(now time.Time, needed func(incarnation string) bool) {
	for name, h := range s.journals {
		if now.Sub(h.used) < releaseAfter || needed(name) {
			continue
		}
		h.keep(func(fencedlog.Copy) bool { return false })
		if !h.fenced {
			delete(s.journals, name)
		}
	}
}
