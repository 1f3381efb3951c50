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
	located
	fact   *turnpb.Fact
	cursor uint64
}

func (e *factEntry) appliedAt(cursor uint64) bool { return e.cursor == cursor }

func (e *factEntry) encode() *turnpb.Record { return factRecord(e.fact) }

func newFacts() *facts { return &facts{byKey: map[string]*factEntry{}} }

// size is the memory that the fact takes, in bytes.
func (e *factEntry) size() int64 { return recordOverhead + int64(len(e.fact.Value)) }

// add adds a fact that is newer than the known one of its key, if any. It returns the
// entry of the key, nil if the fact was not added, and by how many bytes the memory has
// grown without the entries that were dropped, for each of which it calls drop.
func (f *facts) add(fact *turnpb.Fact, drop func(*factEntry)) (entry *factEntry, grown int64) {
	entry = f.byKey[fact.Key]
	switch {
	case fact.Key == "" || entry != nil && entry.fact.Version >= fact.Version:
		return nil, 0
	case entry != nil:
		grown -= entry.size()
	default:
		entry = &factEntry{}
		f.byKey[fact.Key] = entry
		f.order = append(f.order, fact.Key)
	}
	entry.fact = fact
	grown += entry.size()
	for len(f.byKey) > maxFacts {
		f.dropOldest(drop)
	}
	return entry, grown
}

// dropOldest drops the fact whose key was added first.
func (f *facts) dropOldest(drop func(*factEntry)) {
	key := f.order[0]
	f.order = f.order[1:]
	drop(f.byKey[key])
	delete(f.byKey, key)
}

// get returns the newest fact of a key, or one with version 0.
func (f *facts) get(key string) *turnpb.Fact {
	if entry := f.byKey[key]; entry != nil {
		return entry.fact
	}
	return &turnpb.Fact{Key: key}
}

// expire drops the facts that have expired, and calls drop for each of them.
func (f *facts) expire(now time.Time, drop func(*factEntry)) {
	kept := f.order[:0]
	for _, key := range f.order {
		if entry := f.byKey[key]; entry.fact.ExpiresUnixMs < now.UnixMilli() {
			drop(entry)
			delete(f.byKey, key)
		} else {
			kept = append(kept, key)
		}
	}
	f.order = kept
}
