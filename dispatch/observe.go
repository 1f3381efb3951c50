package dispatch

import (
	"time"

	"dogwoodline.example/schedule"
)

// ObservationKind is the type of an observation.
type ObservationKind string

const (
	// LoadReported observations carry a load report.
	LoadReported ObservationKind = "loaded"
	// CacheChanged observations carry cache events in order.
	CacheChanged ObservationKind = "cached"
	// CacheGap means that cache events were lost, so the recorded prefixes of
	// the backend server may be wrong.
	CacheGap ObservationKind = "cache_gap"
	// LeavingChanged means that the backend server started or stopped leaving.
	LeavingChanged ObservationKind = "leaving_changed"
	// Restarted means that the start ID changed. The calls that ran on the
	// backend server and its cache are lost.
	Restarted ObservationKind = "restarted"
	// Unreachable means that a poll of the backend server failed.
	Unreachable ObservationKind = "unreachable"
)

// Observation is one finding of a poll of a backend server. The comment on a
// field names the only kind that sets it.
type Observation struct {
	Kind    ObservationKind
	Backend schedule.BackendID
	StartID string
	Report  schedule.LoadReport   // LoadReported
	Cache   []schedule.CacheEvent // CacheChanged
	Leaving bool                  // LeavingChanged
	Lost    uint64                // CacheGap: number of lost events
	Detail  string                // Unreachable
}

// backendState is what the reports duty knows about one backend server.
type backendState struct {
	endpoint          Endpoint
	startID           string
	lastSequence      uint64 // of the last cache event that was emitted
	leaving           bool
	releaseCandidates ReleaseCandidates
	lastSweep         time.Time

	inFlight    bool
	failures    int
	pollsToSkip int // set after consecutive failures
}

// observe turns the result of a poll into observations. emit reports whether
// an observation was accepted. Cache events and changes that were not accepted
// are observed again by the next poll; a CacheGap is not.
func (b *backendState) observe(result pollResult, emit func(Observation) bool) {
	name := b.endpoint.Name
	if result.err != nil {
		emit(Observation{Kind: Unreachable, Backend: name, StartID: b.startID, Detail: result.err.Error()})
		return
	}
	load := result.load
	if load.StartID != b.startID {
		known := b.startID != ""
		if known && !emit(Observation{Kind: Restarted, Backend: name, StartID: load.StartID}) {
			return
		}
		b.startID, b.lastSequence, b.releaseCandidates = load.StartID, 0, nil
		if known {
			result.cache.Events = nil // they were requested from a sequence number of the previous start
		}
	}
	if load.Leaving != b.leaving &&
		emit(Observation{Kind: LeavingChanged, Backend: name, StartID: b.startID, Leaving: load.Leaving}) {
		b.leaving = load.Leaving
	}
	report := schedule.LoadReport{
		Backend: name, Running: load.Running, Waiting: load.Waiting, TakenAt: time.UnixMilli(load.TakenUnixMS),
	}
	emit(Observation{Kind: LoadReported, Backend: name, StartID: b.startID, Report: report})
	if result.cache.StartID == b.startID {
		b.observeCache(result.cache, emit)
	}
}

// observeCache emits the cache events of a poll, and a CacheGap if sequence
// numbers are missing.
func (b *backendState) observeCache(log CacheLog, emit func(Observation) bool) {
	if len(log.Events) == 0 {
		return
	}
	events := make([]schedule.CacheEvent, len(log.Events))
	for i, event := range log.Events {
		events[i] = schedule.CacheEvent{Backend: b.endpoint.Name, Hash: event.Hash, Evicted: event.Evicted}
	}
	last := log.Events[len(log.Events)-1].Sequence
	if last <= b.lastSequence {
		return // already emitted
	}
	if !emit(Observation{Kind: CacheChanged, Backend: b.endpoint.Name, StartID: b.startID, Cache: events}) {
		return
	}
	lost := last - b.lastSequence - uint64(len(events))
	b.lastSequence = last
	if lost > 0 {
		emit(Observation{Kind: CacheGap, Backend: b.endpoint.Name, StartID: b.startID, Lost: lost})
	}
}
