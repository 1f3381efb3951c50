package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// maxFacts bounds the facts that a store keeps; beyond it, the oldest are dropped.
// Whoever asks for one of these is told that it is not known.
const maxFacts = 16384

// Fact is what one front server knows and others need. Of the facts with one key,
// the one with the highest version counts.
type Fact struct {
	Key string
	// Version is above 0; 0 means that no fact is known.
	Version uint64
	Value   []byte
	// Expires is when stores drop the fact.
	Expires time.Time
	// Announced facts reach all front servers without being asked for.
	Announced bool
}

// Record returns the record that stores the fact.
func (f Fact) Record() *turnpb.Record {
	return factRecord(&turnpb.Fact{
		Key: f.Key, Version: f.Version, Value: f.Value, ExpiresUnixMs: f.Expires.UnixMilli(), Announced: f.Announced,
	})
}

func factRecord(f *turnpb.Fact) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Fact{Fact: f}}
}

func decodeFact(f *turnpb.Fact) Fact {
	return Fact{Key: f.Key, Version: f.Version, Value: f.Value, Expires: time.UnixMilli(f.ExpiresUnixMs), Announced: f.Announced}
}

// facts holds the newest fact of each key. The store-writer goroutine owns it.
type facts struct {
	byKey map[string]*factEntry
	order []string // keys, the oldest first
}

type factEntry struct {
	fact    *turnpb.Fact
	segment uint64 // the newest log segment that has it
}

func newFacts() *facts { return &facts{byKey: map[string]*factEntry{}} }

// size is the memory that the fact takes, in bytes.
func (e *factEntry) size() int64 { return recordOverhead + int64(len(e.fact.Value)) }

// add adds a fact that is newer than the known one of its key, if any. It returns
// by how many bytes the memory has grown, and whether the fact was added.
func (f *facts) add(fact *turnpb.Fact, segment uint64) (grown int64, added bool) {
	known := f.byKey[fact.Key]
	switch {
	case fact.Key == "" || known != nil && known.fact.Version >= fact.Version:
		return 0, false
	case known != nil:
		grown -= known.size()
	default:
		f.order = append(f.order, fact.Key)
	}
	entry := &factEntry{fact: fact, segment: segment}
	f.byKey[fact.Key] = entry
	grown += entry.size()
	for len(f.byKey) > maxFacts {
		grown -= f.dropOldest()
	}
	return grown, true
}

// dropOldest drops the fact whose key was added first, and returns the bytes that
// it took.
func (f *facts) dropOldest() int64 {
	key := f.order[0]
	f.order = f.order[1:]
	return f.drop(key)
}

func (f *facts) drop(key string) int64 {
	entry := f.byKey[key]
	delete(f.byKey, key)
	return entry.size()
}

// get returns the newest fact of a key, or one with version 0.
func (f *facts) get(key string) *turnpb.Fact {
	if entry := f.byKey[key]; entry != nil {
		return entry.fact
	}
	return &turnpb.Fact{Key: key}
}

// expire drops the facts that have expired and returns the bytes that they took.
func (f *facts) expire(now time.Time) (bytes int64) {
	kept := f.order[:0]
	for _, key := range f.order {
		if f.byKey[key].fact.ExpiresUnixMs < now.UnixMilli() {
			bytes += f.drop(key)
		} else {
			kept = append(kept, key)
		}
	}
	f.order = kept
	return bytes
}
