package gateway_test

import (
	"sync"

	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

// factStore is the part of a fake turn store that holds facts.
type factStore struct {
	mu    sync.Mutex
	byKey map[string]turnstore.Fact
	// newest is found in place of a fact of its key that was stored later; nil for none.
	newest *turnstore.Fact
	// refuses makes it store nothing.
	refuses bool
	// held is where replies wait until the spec sends them; nil to reply at once.
	held chan func()
}

func (f *factStore) put(records []*turnpb.Record, reply chan<- turnstore.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		reply <- turnstore.Result{Verdict: turnstore.Uncertain}
		return
	}
	if f.byKey == nil {
		f.byKey = map[string]turnstore.Fact{}
	}
	for _, record := range records {
		fact := record.GetFact()
		if fact == nil {
			continue
		}
		if f.newest != nil && f.newest.Key == fact.Key {
			f.byKey[fact.Key] = *f.newest
		}
		if fact.Version > f.byKey[fact.Key].Version {
			f.byKey[fact.Key] = turnstore.Fact{Key: fact.Key, Version: fact.Version, Value: fact.Value}
		}
	}
	stored := func() { reply <- turnstore.Result{Verdict: turnstore.Stored} }
	if f.held != nil {
		f.held <- stored
		return
	}
	stored()
}

func (f *factStore) get(key string) turnstore.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byKey[key]
}

// refuse makes the stores refuse further facts.
func (f *factStore) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = true
}
