// Package copies keeps copies of the journal tails of other nodes while the
// platform's store does not answer.
//
// State holds the copies and does no I/O. Duty owns a State and serves requests
// to it from a single goroutine. Choose selects the nodes that hold the copies
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

// Verdict is a holder's answer to a copy. The values are those of the enum
// Verdict in peerpb.
type Verdict int

const (
	// Held means that the holder has the copy and all earlier ones that the
	// store lacks.
	Held Verdict = iota + 1
	// Fenced means that the copies of the journal have been collected, so that
	// the holder accepts no further ones. It is final.
	Fenced
	// Full means that a limit of the holder is reached.
	Full
	// Gap means that the holder misses an earlier copy that the store lacks.
	Gap
)

// Limits bound a State. The zero value of a field means its default.
type Limits struct {
	// Records and Bytes bound the copies of one journal. The defaults are 8,192
	// records and 16 MiB, the limits of a journal's tail.
	Records int
	Bytes   int
	// Journals bounds the number of journals with copies. The default is 8; on
	// average a node holds copies for two others.
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

// retention is how long copies of a journal that is not needed are kept after
// their last use. It is far above the time within which all nodes see a change
// of the shard map, which decides whether a journal is needed.
const retention = 10 * time.Minute

// State holds copies of the journals of other incarnations. It is not safe for
// concurrent use.
type State struct {
	limits   Limits
	journals map[string]*heldJournal // by the incarnation of the owner
}

// heldJournal holds the copies of one journal. The entry of a collected journal
// remains until the process ends, even after its copies are released, so that
// its former owner is refused whenever it sends a copy.
type heldJournal struct {
	copies     []fencedlog.Copy // in order of their numbers
	lastNumber uint64           // of the latest copy
	records    int
	bytes      int
	fenced     bool // the copies have been collected
	usedAt     time.Time
}

// NewState returns an empty state.
func NewState(limits Limits) *State {
	return &State{limits: limits.withDefaults(), journals: map[string]*heldJournal{}}
}

// Hold stores a copy of the tail of a journal. A copy whose number is not above
// that of the latest one is a repetition and acknowledged without being stored.
func (s *State) Hold(now time.Time, incarnation string, c fencedlog.Copy) Verdict {
	h := s.journals[incarnation]
	switch {
	case h == nil:
		h = &heldJournal{}
	case h.fenced:
		return Fenced
	case c.Number <= h.lastNumber:
		return Held
	}
	if c.Number != c.Oldest && c.Number != h.lastNumber+1 {
		return Gap
	}
	if h.records+c.Records > s.limits.Records || h.bytes+len(c.Body) > s.limits.Bytes {
		return Full
	}
	if len(h.copies) == 0 && s.journalsWithCopies() >= s.limits.Journals {
		return Full
	}
	s.journals[incarnation] = h
	h.copies = append(h.copies, c)
	h.lastNumber = c.Number
	h.records += c.Records
	h.bytes += len(c.Body)
	h.usedAt = now
	return Held
}

func (s *State) journalsWithCopies() int {
	count := 0
	for _, h := range s.journals {
		if len(h.copies) > 0 {
			count++
		}
	}
	return count
}

// Collect returns the copies of a journal in order. Hold refuses further copies
// of that journal from then on, even if it has none so far.
func (s *State) Collect(now time.Time, incarnation string) []fencedlog.Copy {
	h := s.journals[incarnation]
	if h == nil {
		h = &heldJournal{}
		s.journals[incarnation] = h
	}
	h.fenced = true
	h.usedAt = now
	return slices.Clone(h.copies)
}

// Drop removes the copies up to a commit number, which the platform's store has.
// It keeps those of a collected journal.
func (s *State) Drop(incarnation string, commit uint64) {
	if h := s.journals[incarnation]; h != nil && !h.fenced {
		h.filter(func(c fencedlog.Copy) bool { return c.Commit > commit })
	}
}

// filter removes the copies that are not wanted and frees their memory.
func (h *heldJournal) filter(wanted func(fencedlog.Copy) bool) {
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

// Release removes the copies of journals that were not used for the retention
// time and are not needed.
func (s *State) Release(now time.Time, needed func(incarnation string) bool) {
	for incarnation, h := range s.journals {
		if now.Sub(h.usedAt) < retention || needed(incarnation) {
			continue
		}
		h.filter(func(fencedlog.Copy) bool { return false })
		if !h.fenced {
			delete(s.journals, incarnation)
		}
	}
}
