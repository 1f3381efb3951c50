package fencedlog

import "dogwoodline.example/ring"

// entry is an accepted append that waits for its commit, or a group of records
// that compaction copies.
type entry struct {
	tag      uint64
	reply    *ring.Ring[Completion]
	body     []byte // encoded records
	programs []string
	records  int
	// compacted is set if compaction wrote the entry. Nobody waits for it.
	compacted bool
	first     uint64 // if not zero, the oldest segment after this commit
}

// newEntry encodes the records of an append. It returns ErrInvalidRecord.
func newEntry(a Append) (entry, error) {
	e := entry{tag: a.Tag, reply: a.Reply, records: len(a.Records)}
	for _, r := range a.Records {
		if err := r.validate(); err != nil {
			return entry{}, err
		}
		e.add(r)
	}
	if len(e.body) > MaxAppendBytes {
		return entry{}, ErrInvalidRecord
	}
	return e, nil
}

func (e *entry) add(r Record) {
	e.body = appendRecord(e.body, r)
	if r.kind == kindProgram {
		e.programs = append(e.programs, r.Program)
	}
}

// tail is the queue of entries that are not committed.
type tail struct {
	entries []entry
	records int
	bytes   int
	dropped uint64 // entries that were removed; the position of the oldest one
}

func (t *tail) empty() bool { return len(t.entries) == 0 }

func (t *tail) push(e entry) {
	t.entries = append(t.entries, e)
	t.records += e.records
	t.bytes += len(e.body)
}

func (t *tail) pop() (entry, bool) {
	if t.empty() {
		return entry{}, false
	}
	e := t.entries[0]
	t.drop(1)
	return e, true
}

// batch returns the oldest entries after the first skipped ones that fit into
// one commit, at least one if there are any.
func (t *tail) batch(skip, limit int) []entry {
	size := 0
	rest := t.entries[skip:]
	for i, e := range rest {
		size += len(e.body)
		if i > 0 && size > limit {
			return rest[:i]
		}
	}
	return rest
}

// drop removes the n oldest entries.
func (t *tail) drop(n int) {
	for _, e := range t.entries[:n] {
		t.records -= e.records
		t.bytes -= len(e.body)
	}
	clear(t.entries[:n]) // lets the garbage collector free the records
	t.entries = t.entries[n:]
	t.dropped += uint64(n) //nolint:gosec // a length
	if t.empty() {
		t.entries = nil
	}
}
