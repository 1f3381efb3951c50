package dispatch

import (
	"time"

	"dogwoodline.example/schedule"
)

// ObservationKind tells what an observation is about.
type ObservationKind string

const (
	// Loaded carries a load report.
	Loaded ObservationKind = "loaded"
	// Cached carries cache events in their order.
	Cached ObservationKind = "cached"
	// CacheGap tells that cache events were lost, so that the known prefixes
	// of the backend server may be wrong.
	CacheGap ObservationKind = "cache_gap"
	// LeavingChanged tells that the backend server began or stopped leaving.
	LeavingChanged ObservationKind = "leaving_changed"
	// Restarted tells that the start id changed. The backend server lost its
	// memory, and what ran on it before is lost.
	Restarted ObservationKind = "restarted"
	// Unreachable tells that the backend server did not answer a poll.
	Unreachable ObservationKind = "unreachable"
)

// Observation is what a poll of a backend server showed.
type Observation struct {
	Kind    ObservationKind
	Backend schedule.BackendID
	StartID string
	Report  schedule.LoadReport   // Loaded
	Cache   []schedule.CacheEvent // Cached
	Leaving bool                  // LeavingChanged
	Lost    uint64                // CacheGap: number of lost events
	Detail  string                // Unreachable
}

// backendState is what the reports duty knows of one backend server.
type backendState struct {
	endpoint Endpoint
	startID  string
	sequence uint64 // last cache event that was passed on
	leaving  bool
	gone     Gone
	swept    time.Time

	inFlight bool
	failures int
	skip     int // polls to leave out after failures
}

// observe turns the answer to a poll into observations. emit reports whether
// an observation was taken; what was not taken is observed again by the next
// poll.
func (b *backendState) observe(answer pollAnswer, emit func(Observation) bool) {
	name := b.endpoint.Name
	if answer.err != nil {
		emit(Observation{Kind: Unreachable, Backend: name, StartID: b.startID, Detail: answer.err.Error()})
		return
	}
	load := answer.load
	if load.StartID != b.startID {
		known := b.startID != ""
		if known && !emit(Observation{Kind: Restarted, Backend: name, StartID: load.StartID}) {
			return
		}
		b.startID, b.sequence, b.gone = load.StartID, 0, nil
		if known {
			answer.cache.Events = nil // read from the sequence number of the earlier start
		}
	}
	if load.Leaving != b.leaving &&
		emit(Observation{Kind: LeavingChanged, Backend: name, StartID: b.startID, Leaving: load.Leaving}) {
		b.leaving = load.Leaving
	}
	report := schedule.LoadReport{
		Backend: name, Running: load.Running, Waiting: load.Waiting, TakenAt: time.UnixMilli(load.TakenMS),
	}
	emit(Observation{Kind: Loaded, Backend: name, StartID: b.startID, Report: report})
	if answer.cache.StartID == b.startID {
		b.observeCache(answer.cache, emit)
	}
}

func (b *backendState) observeCache(log CacheLog, emit func(Observation) bool) {
	if len(log.Events) == 0 {
		return
	}
	events := make([]schedule.CacheEvent, len(log.Events))
	for i, event := range log.Events {
		events[i] = schedule.CacheEvent{Backend: b.endpoint.Name, Hash: event.Hash, Evicted: event.Evicted}
	}
	last := log.Events[len(log.Events)-1].Sequence
	if last <= b.sequence {
		return // already passed on
	}
	if !emit(Observation{Kind: Cached, Backend: b.endpoint.Name, StartID: b.startID, Cache: events}) {
		return
	}
	lost := last - b.sequence - uint64(len(events))
	b.sequence = last
	if lost > 0 {
		emit(Observation{Kind: CacheGap, Backend: b.endpoint.Name, StartID: b.startID, Lost: lost})
	}
}
