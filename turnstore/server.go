package turnstore

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

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
	// requestSlots is the number of requests that may wait for the writer.
	requestSlots = 1024
	// batchRequests is how many requests one sync makes durable at most.
	batchRequests = 256
	// pageBytes is the size of a page for a store that pulls.
	pageBytes = 512 << 10
	// expireEvery is how often expired records are looked for.
	expireEvery = 2 * time.Second
	// memoryShare is the part of the process's memory that records may take.
	memoryShare = 0.5
	// unwrittenRecords bounds what waits for a disk that refuses writes.
	unwrittenRecords = 4096
)

// Server is the store's side of the protocol. Its writer duty owns the log
// and the state.
type Server struct {
	turnpb.UnimplementedTurnStoreServer

	log      *slog.Logger
	requests *ring.Ring[request]
	disk     *turnlog.Log
	state    *state
	crashes  *crashes
	// unwritten is in the state, but the write that should have made it
	// durable failed; nothing counts as stored until it is written.
	unwritten [][]byte
	maxBytes  int64
	timer     duty.Timer

	known atomic.Pointer[copyset.Set] // the newest copy set, from the follower
	ready atomic.Bool                 // this disk counts for majorities
	left  atomic.Bool                 // this disk was emptied for good
	held  atomic.Int64                // bytes of records, for metrics
	turns atomic.Int64
}

type request struct {
	exchange *turnpb.ExchangeRequest
	pull     *turnpb.PullRequest
	absorb   []*turnpb.Record // pulled from another store
	reply    chan<- outcome   // one slot
}

type outcome struct {
	exchange *turnpb.ExchangeReply
	pull     *turnpb.PullReply
	err      error
}

// NewServer opens the log in a folder and starts the writer duty.
func NewServer(group *duty.Group, log *slog.Logger, folder string, memoryBytes int64) (*Server, error) {
	s := &Server{
		log: log, requests: ring.New[request](requestSlots), state: newState(), crashes: newCrashes(),
		maxBytes: int64(memoryShare * float64(memoryBytes)), timer: group.Timer("store-writer"),
	}
	replayed := 0
	disk, err := turnlog.Open(folder, func(segment uint64, payload []byte) error {
		var record turnpb.Record
		if err := proto.Unmarshal(payload, &record); err != nil {
			return Error.New("record with a valid checksum cannot be decoded: %v", err)
		}
		s.state.apply(&record, segment)
		replayed++
		return nil
	})
	if err != nil {
		return nil, err
	}
	s.disk = disk
	s.count()
	log.Info("turnstore: log opened", "disk", disk.Identity(), "records", replayed,
		"turns", len(s.state.turns), "programs", len(s.state.programs))
	group.Go("store-writer", s.run)
	group.Depth("store-writer", "requests", s.requests.Len)
	group.Gauge("dogwoodline_store_record_bytes", func() int { return int(s.held.Load()) })
	group.Gauge("dogwoodline_store_turns", func() int { return int(s.turns.Load()) })
	return s, nil
}

// Disk names the disk.
func (s *Server) Disk() string { return s.disk.Identity() }

// SetCopies tells the newest copy set.
func (s *Server) SetCopies(set copyset.Set) {
	for {
		known := s.known.Load()
		if known != nil && known.Version >= set.Version {
			return
		}
		if s.known.CompareAndSwap(known, &set) {
			member, _ := set.Find(s.Disk())
			s.ready.Store(member.Ready)
			return
		}
	}
}

// hear takes the copy set that a message brought along.
func (s *Server) hear(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	set, err := decodeVersioned(encoded)
	if err != nil {
		s.log.Error("turnstore: copy set of a message not decoded", "error", err)
		return
	}
	s.SetCopies(set)
}

// Retired makes the store refuse everything, because its copies live
// elsewhere and its disk is about to be taken away.
func (s *Server) Retired() { s.left.Store(true) }

// Exchange stores records; see the protocol.
func (s *Server) Exchange(ctx context.Context, in *turnpb.ExchangeRequest) (*turnpb.ExchangeReply, error) {
	result, err := s.ask(ctx, request{exchange: in})
	return result.exchange, err
}

// Pull pages through all live records.
func (s *Server) Pull(ctx context.Context, in *turnpb.PullRequest) (*turnpb.PullReply, error) {
	result, err := s.ask(ctx, request{pull: in})
	return result.pull, err
}

// Absorb makes records of another store durable here.
func (s *Server) Absorb(ctx context.Context, records []*turnpb.Record) error {
	_, err := s.ask(ctx, request{absorb: records})
	return err
}

func (s *Server) ask(ctx context.Context, r request) (outcome, error) {
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

// run is the writer duty: it makes waiting requests durable with one sync.
func (s *Server) run(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	var batch []request
	for {
		batch = s.requests.PopBatch(batch[:0], batchRequests)
		if len(batch) > 0 {
			start := time.Now()
			s.serve(batch)
			s.timer.Observe(start)
			continue
		}
		select {
		case <-s.requests.Ready():
		case now := <-ticker.C:
			s.clean(now)
		case <-ctx.Done():
			return s.disk.Close()
		}
	}
}

func (s *Server) serve(batch []request) {
	payloads := s.unwritten
	s.unwritten = nil
	outcomes := make([]outcome, len(batch))
	for i, r := range batch {
		switch {
		case r.exchange != nil:
			outcomes[i].exchange, payloads = s.exchange(r.exchange, payloads)
		case r.pull != nil:
			outcomes[i].pull, payloads = s.pull(r.pull, payloads)
		default:
			payloads = s.take(r.absorb, payloads)
		}
	}
	if len(payloads) > 0 {
		if err := s.disk.Append(payloads); err != nil {
			s.log.Error("turnstore: records not durable", "records", len(payloads), "error", err)
			s.unwritten = payloads
			fail(outcomes, err)
		}
	}
	s.count()
	for i, r := range batch {
		r.reply <- outcomes[i]
	}
}

// fail withdraws what was answered, because the sync that it relied on failed.
func fail(outcomes []outcome, err error) {
	for i := range outcomes {
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

// admit checks the copy set version of a request and makes a newer one the
// lowest that is accepted.
func (s *Server) admit(version uint64, payloads [][]byte) (turnpb.Status, []byte, [][]byte) {
	known := s.known.Load()
	if s.left.Load() || version < s.state.fence {
		if known != nil && known.Version > version {
			return turnpb.Status_STATUS_STALE, encodeVersioned(*known), payloads
		}
		return turnpb.Status_STATUS_STALE, nil, payloads
	}
	if version > s.state.fence {
		payloads = s.take([]*turnpb.Record{{Kind: &turnpb.Record_Fence{Fence: &turnpb.Fence{Version: version}}}}, payloads)
	}
	return turnpb.Status_STATUS_OK, nil, payloads
}

func (s *Server) exchange(in *turnpb.ExchangeRequest, payloads [][]byte) (*turnpb.ExchangeReply, [][]byte) {
	s.hear(in.Set)
	out := &turnpb.ExchangeReply{}
	s.crashes.add(in.Crashes, time.Now())
	out.Crashes, out.LastCrash = s.crashes.after(in.CrashesAfter)
	out.Status, out.Set, payloads = s.admit(in.CopySet, payloads)
	if out.Status != turnpb.Status_STATUS_OK {
		return out, payloads
	}
	if len(in.Records) > 0 && (s.state.bytes > s.maxBytes || len(s.unwritten) > unwrittenRecords) {
		s.log.Error("turnstore: records refused", "bytes", s.state.bytes, "limit", s.maxBytes, "unwritten", len(s.unwritten))
		out.Status = turnpb.Status_STATUS_FAILED
		return out, payloads
	}
	payloads = s.take(in.Records, payloads)
	if !s.ready.Load() {
		out.Status = turnpb.Status_STATUS_NOT_READY
		return out, payloads
	}
	for _, record := range in.Records {
		if r := record.GetReservation(); r != nil {
			out.Ledgers = append(out.Ledgers, s.state.ledger(r.Program))
		}
	}
	for _, id := range in.Chains {
		out.Chains = append(out.Chains, s.state.chain(id))
	}
	return out, payloads
}

func (s *Server) pull(in *turnpb.PullRequest, payloads [][]byte) (*turnpb.PullReply, [][]byte) {
	s.hear(in.Set)
	out := &turnpb.PullReply{}
	out.Status, _, payloads = s.admit(in.CopySet, payloads)
	if out.Status == turnpb.Status_STATUS_OK && !s.ready.Load() {
		out.Status = turnpb.Status_STATUS_NOT_READY
	}
	if out.Status == turnpb.Status_STATUS_OK {
		out.Records, out.Cursor, out.Done = s.state.page(in.Cursor, pageBytes)
	}
	return out, payloads
}

// take applies records and collects those that have to be written.
func (s *Server) take(records []*turnpb.Record, payloads [][]byte) [][]byte {
	for _, record := range records {
		if !s.state.apply(record, s.disk.Segment()) {
			continue
		}
		payload, err := proto.Marshal(record)
		if err != nil {
			panic("turnstore: a record cannot be encoded: " + err.Error())
		}
		payloads = append(payloads, payload)
	}
	return payloads
}

// clean forgets expired records and frees the oldest segment when few of its
// records are still needed, by writing those anew.
func (s *Server) clean(now time.Time) {
	s.state.expire(now)
	s.count()
	segment, ok := s.disk.Oldest()
	if !ok {
		return
	}
	live := s.state.inSegment(segment)
	size := 0
	for _, record := range live {
		size += proto.Size(record)
	}
	if size > rewriteBytes {
		return
	}
	payloads := make([][]byte, 0, len(live))
	for _, record := range live {
		payload, err := proto.Marshal(record)
		if err != nil {
			panic("turnstore: a record cannot be encoded: " + err.Error())
		}
		payloads = append(payloads, payload)
	}
	if len(payloads) > 0 {
		if err := s.disk.Append(payloads); err != nil {
			s.log.Error("turnstore: segment not freed", "segment", segment, "error", err)
			return
		}
		for _, record := range live {
			s.state.apply(record, s.disk.Segment())
		}
	}
	if err := s.disk.RemoveOldest(); err != nil {
		s.log.Error("turnstore: segment not removed", "segment", segment, "error", err)
	}
}

// rewriteBytes is how much of a segment may still be needed when it is freed;
// a quarter of a segment keeps the writing twice small.
const rewriteBytes = 2 << 20

func (s *Server) count() {
	s.held.Store(s.state.bytes)
	s.turns.Store(int64(len(s.state.turns)))
}
