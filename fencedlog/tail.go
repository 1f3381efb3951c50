package fencedlog

import "dogwoodline.example/ring"

// entry is an accepted append that waits for its commit, or a group of records
// that compaction writes again.
type entry struct {
	tag      uint64
	reply    *ring.Ring[Completion]
	body     []byte // encoded records
	programs []string
	records  int
	// fromCompaction is set if compaction queued the entry. No completion is
	// sent for it.
	fromCompaction bool
	firstSegment   uint64 // if not 0, the oldest closed segment after the commit
}

// newEntry encodes the records of an append. It returns ErrInvalidRecord if a
// record is invalid or the records are larger than MaxAppendBytes.
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

// tail is the queue of the entries that are not committed yet, oldest first.
type tail struct {
	entries        []entry
	records        int
	bytes          int
	oldestPosition uint64 // position of the oldest entry: the number of entries removed so far
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

// batch returns the entries, from index skip on, whose records fit into limit
// bytes. It returns at least one if there is any.
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
	t.oldestPosition += uint64(n) //nolint:gosec // a length
	if t.empty() {
		t.entries = nil
	}
}
