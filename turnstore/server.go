package turnstore

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/zeebo/errs"

	"dogwoodline.example/copyset"
	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// Error is the class of all errors of this package.
var Error = errs.Class("turnstore")

const (
	// requestQueueSize is the number of requests that may wait for the writer.
	requestQueueSize = 1024
	// maxBatchRequests is how many requests share one sync at most.
	maxBatchRequests = 256
	// expireInterval is how often expired records are removed.
	expireInterval = 2 * time.Second
	// maxUnwrittenRecords bounds the records that wait in memory while the disk
	// refuses writes.
	maxUnwrittenRecords = 4096
)

// Server implements the TurnStore service on one disk. Its store-writer
// goroutine owns the log and the state. Its store-reader goroutine reads what only the
// log has, so that the writer never waits for a read.
type Server struct {
	turnpb.UnimplementedTurnStoreServer

	log      *slog.Logger
	requests *ring.Ring[request]
	reads    *ring.Ring[readJob]
	turnLog  *turnlog.Log
	state    *state
	// unwritten holds records that are in the state but whose write failed. No
	// request counts as stored until they are written.
	unwritten []pendingRecord
	// pendingBytes is the size of the first pendingCounted records that are about to be
	// written, and diskRefuses says that more than maxUnwrittenRecords wait for it.
	pendingBytes   int64
	pendingCounted int
	diskRefuses    bool
	bounds         bounds
	refusals       throttledLog
	compaction     *compaction // nil while none is under way
	batchTimer     duty.Timer
	// missedSince is when the first record was stored by others that this store may
	// lack; zero if there is none.
	missedSince time.Time

	copySet  atomic.Pointer[copyset.Set] // the newest one known
	ready    atomic.Bool                 // this disk counts for majorities
	refusing atomic.Bool                 // this disk leaves the copy set or has left it
	gauges   gauges
}

// gauges are figures for metrics.
type gauges struct {
	recordBytes, turnCount, gapCount, logBytes, liveBytes, coldTurns, fullness atomic.Int64
}

// pendingRecord is an encoded record that is to be written.
type pendingRecord struct {
	payload []byte
	item    item // that the log will have at its position; nil for none
}

// request is an item of the writer's queue. One of exchange, pull, ownPage, repair,
// imported, moved, removed and read is set. The last three come from the reader.
type request struct {
	moved    *moveChunk
	removed  *removedSegment
	read     coldTurns // with their contents
	exchange *turnpb.ExchangeRequest
	pull     *turnpb.PullRequest
	ownPage  *uint64          // cursor from which this process reads its own records
	repair   *repairProgress  // what the repairer has done; it asks for more
	imported []*turnpb.Record // pulled from another store
	reply    chan<- outcome   // has a buffer of one
}

// outcome is the reply to a request.
type outcome struct {
	exchange *turnpb.ExchangeReply
	pull     *turnpb.PullReply
	repair   repairWork
	missing  []string  // ids of turns that are not held, after an import
	cold     coldTurns // to be completed by the reader
	err      error
}

// NewServer opens the log in a folder, restores the state from it, and starts
// the store-writer and store-reader goroutines in group.
func NewServer(group *duty.Group, log *slog.Logger, folder string, limits Limits) (*Server, error) {
	s, err := open(group, log, folder, limits)
	if err != nil {
		return nil, err
	}
	group.Go("store-writer", s.run)
	group.Go("store-reader", s.runReader)
	group.RegisterRingDepth("store-writer", "requests", s.requests.Len)
	group.RegisterRingDepth("store-reader", "reads", s.reads.Len)
	for name, value := range map[string]*atomic.Int64{
		"record_bytes": &s.gauges.recordBytes, "missing_turns": &s.gauges.gapCount, "turns": &s.gauges.turnCount, "log_bytes": &s.gauges.logBytes,
		"live_log_bytes": &s.gauges.liveBytes, "cold_turns": &s.gauges.coldTurns, "fullness_permille": &s.gauges.fullness,
	} {
		group.RegisterGauge("dogwoodline_store_"+name, func() int { return int(value.Load()) })
	}
	return s, nil
}

// open opens the log in a folder and restores the state from it.
func open(group *duty.Group, log *slog.Logger, folder string, limits Limits) (*Server, error) {
	s := &Server{
		log: log, requests: ring.New[request](requestQueueSize), reads: ring.New[readJob](readQueueSize), state: newState(),
		bounds: limits.bounds(), batchTimer: group.Timer("store-writer"),
	}
	started, replayed := time.Now(), 0
	turnLog, err := turnlog.Open(folder, func(at turnlog.Position, payload []byte) error {
		replayed++
		return s.replay(at, payload)
	})
	if err != nil {
		return nil, err
	}
	s.turnLog = turnLog
	turnLog.LimitSegments(s.bounds.segment)
	if replayed > 0 {
		s.noteMissedSince(s.state.arrivals.last())
	}
	s.updateGauges()
	log.Info("turnstore: log opened", "disk", turnLog.Identity(), "records", replayed, "turns", len(s.state.turns),
		"programs", len(s.state.programs), "log_bytes", turnLog.Size(), "live_bytes", s.state.use.total, "took_ms", time.Since(started).Milliseconds())
	return s, nil
}

// Disk returns the identity of the disk.
func (s *Server) Disk() string { return s.turnLog.Identity() }

// SetCopySet adopts a copy set if it is newer than the known one.
func (s *Server) SetCopySet(set copyset.Set) {
	for {
		known := s.copySet.Load()
		if known != nil && known.Version >= set.Version {
			return
		}
		if s.copySet.CompareAndSwap(known, &set) {
			member, _ := set.Find(s.Disk())
			s.ready.Store(member.Ready)
			return
		}
	}
}

// adoptEncodedSet adopts the copy set that a request carries, if any.
func (s *Server) adoptEncodedSet(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	set, err := decodeVersionedSet(encoded)
	if err != nil {
		s.log.Error("turnstore: copy set in a request not decoded", "error", err)
		return
	}
	s.SetCopySet(set)
}

// Refuse makes the store refuse the requests of other processes, or accept them
// again. A disk that retires refuses them from its last transfer on. Requests
// that were accepted before are applied before any later readPage.
func (s *Server) Refuse(on bool) { s.refusing.Store(on) }

// Exchange stores records durably and answers with the ledgers and
// conversations that the request asks for.
func (s *Server) Exchange(ctx context.Context, in *turnpb.ExchangeRequest) (*turnpb.ExchangeReply, error) {
	result, err := s.submit(ctx, request{exchange: in})
	return result.exchange, err
}

// Pull returns one page of the live records.
func (s *Server) Pull(ctx context.Context, in *turnpb.PullRequest) (*turnpb.PullReply, error) {
	result, err := s.submit(ctx, request{pull: in})
	return result.pull, err
}

// readPage returns one page of the live records to the joiner of this process,
// also while the store refuses the requests of others.
func (s *Server) readPage(ctx context.Context, cursor uint64) (*turnpb.PullReply, error) {
	result, err := s.submit(ctx, request{ownPage: &cursor})
	return result.pull, err
}

// Import makes records that were pulled from another store durable here. It
// returns the ids of the turns without content that are not held here yet, which
// have not been imported, and of turns before the imported ones that are not held.
func (s *Server) Import(ctx context.Context, records []*turnpb.Record) (missing []string, err error) {
	result, err := s.submit(ctx, request{imported: records})
	return result.missing, err
}

// submit queues a request for the writer and waits for its outcome.
func (s *Server) submit(ctx context.Context, r request) (outcome, error) {
	reply := make(chan outcome, 1)
	r.reply = reply
	if err := s.requests.TryPush(r); err != nil {
		return outcome{}, status.Error(codes.ResourceExhausted, "too many requests wait for the disk")
	}
	select {
	case result := <-reply:
		return result, result.err
	case <-ctx.Done():
		return outcome{}, ctx.Err()
	}
}

// run is the store-writer goroutine. One sync makes all waiting requests
// durable.
func (s *Server) run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	move := time.NewTicker(moveInterval)
	defer move.Stop()
	always := make(chan struct{})
	close(always)
	var batch []request
	for {
		batch = s.requests.PopBatch(batch[:0], maxBatchRequests)
		next := s.requests.Ready()
		if len(batch) > 0 {
			start := time.Now()
			s.processBatch(batch)
			s.batchTimer.Observe(start)
			next = always // what is due must not wait for a pause in the requests
		}
		select {
		case <-next:
		case now := <-ticker.C:
			s.expireAndCompact(now)
			s.reportRefusals(now)
		case <-s.compaction.due(move.C):
			s.continueCompaction()
		case <-ctx.Done():
			return s.turnLog.Close()
		}
	}
}

// processBatch applies the requests to the state, appends their records to the
// log in one write, and replies.
func (s *Server) processBatch(batch []request) {
	pending, firstCursor := s.unwritten, s.state.nextCursor
	s.pendingBytes, s.pendingCounted, s.diskRefuses = 0, 0, len(pending) > maxUnwrittenRecords
	s.unwritten = nil
	outcomes := make([]outcome, len(batch))
	for i, r := range batch {
		switch out := &outcomes[i]; {
		case r.exchange != nil:
			out.exchange, pending = s.exchange(r.exchange, pending, &out.cold)
		case r.pull != nil:
			out.pull, pending = s.pull(r.pull, pending, &out.cold)
		case r.ownPage != nil:
			out.pull = &turnpb.PullReply{}
			s.fillPull(&turnpb.PullRequest{Cursor: *r.ownPage}, out.pull, &out.cold)
		case r.repair != nil:
			out.repair = s.nextRepair(r.repair)
		case r.moved != nil:
			pending = s.writeMoved(r.moved, pending)
		case r.read != nil:
			s.warm(r.read)
		case r.removed != nil:
			s.finishCompaction(r.removed)
		default:
			pending, out.missing, out.err = s.importRecords(r.imported, pending)
		}
	}
	if len(pending) > 0 {
		pending = s.stampClock(pending, firstCursor, time.Now())
		if err := s.write(pending); err != nil {
			s.log.Error("turnstore: records not written, retrying with the next batch", "records", len(pending), "error", err)
			s.unwritten = pending
			failAll(outcomes, err)
		}
	}
	s.evict()
	s.updateGauges()
	for i, r := range batch {
		s.reply(r, outcomes[i])
	}
}

// write makes records durable and places their items.
func (s *Server) write(pending []pendingRecord) error {
	payloads := make([][]byte, len(pending))
	for i, p := range pending {
		payloads[i] = p.payload
	}
	positions, err := s.turnLog.Append(payloads)
	if err != nil {
		return err
	}
	for i, p := range pending {
		if p.item != nil {
			s.state.place(p.item, positions[i])
		}
	}
	return nil
}

// reply sends the outcome of a request, after the reader has completed it if it has cold
// turns. If the reader does not keep up, these are like turns that this store lacks.
func (s *Server) reply(r request, out outcome) {
	switch {
	case r.reply == nil:
	case len(out.cold) == 0:
		r.reply <- out
	case s.reads.TryPush(readJob{reply: r.reply, outcome: out}) != nil:
		out.omit(allOf(out.cold))
		r.reply <- out
	}
}

// failAll replaces the outcomes of a batch by failures, because the write that
// they relied on failed.
func failAll(outcomes []outcome, err error) {
	for i := range outcomes {
		outcomes[i].cold = nil
		switch {
		case outcomes[i].exchange != nil:
			outcomes[i].exchange = &turnpb.ExchangeReply{Status: turnpb.Status_STATUS_FAILED}
		case outcomes[i].pull != nil:
			outcomes[i].pull = &turnpb.PullReply{Status: turnpb.Status_STATUS_FAILED}
		default:
			outcomes[i].err = err
		}
	}
}

// updateGauges publishes the size of the state for metrics.
func (s *Server) updateGauges() {
	used, limit := s.fullness()
	for gauge, value := range map[*atomic.Int64]int64{
		&s.gauges.recordBytes: s.state.bytes + s.state.hot.bytes, &s.gauges.turnCount: int64(len(s.state.turns)), &s.gauges.gapCount: int64(len(s.state.gaps)),
		&s.gauges.logBytes: s.turnLog.Size(), &s.gauges.liveBytes: s.state.use.total, &s.gauges.coldTurns: int64(len(s.state.turns) - s.state.hot.count),
		&s.gauges.fullness: int64(1000 * used / max(1, limit)),
	} {
		gauge.Store(value)
	}
}
