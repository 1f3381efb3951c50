package turnstore

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore/turnpb"
)

// message is the part of one operation that is sent to one member.
type message struct {
	id      uint64 // of the pending operation
	set     *copyset.Set
	disk    string
	records []*turnpb.Record
	chain   string // id of a turn whose conversation is wanted, or empty
	fact    string // key of a fact that is wanted, or empty
}

// sender makes the Exchange requests to one member, in its own goroutine.
type sender struct {
	slot      int
	log       *slog.Logger
	connect   func(address string) (grpc.ClientConnInterface, func(), error)
	queue     *ring.Ring[message]
	commands  *ring.Ring[command]    // the client's queue, for answers
	crashes   *ring.Ring[Crash]      // the client's queue of crash reports
	announced *ring.Ring[Fact]       // the client's queue of announced facts
	address   atomic.Pointer[string] // of the member; empty if none is assigned
	failing   atomic.Bool            // the last request failed
	// missedSince is when the first operation began that others have stored and the
	// member has not; nil if the member has been told, or has missed none.
	missedSince atomic.Pointer[time.Time]
	// fullness is how full the member said it is, in permille; 0 if it has not.
	fullness atomic.Int64

	// The run goroutine owns the fields below.
	conn        turnpb.TurnStoreClient
	connAddress string // the address that conn leads to
	closeConn   func()
	sentVersion uint64    // the last copy set version sent on this connection
	asked       time.Time // when the member was last asked for news
	lastNews    uint64    // the number of the last news received from the member
	numbering   uint64    // the numbering that lastNews belongs to
}

func newSender(slot int, log *slog.Logger, connect func(string) (grpc.ClientConnInterface, func(), error),
	commands *ring.Ring[command], crashes *ring.Ring[Crash], announced *ring.Ring[Fact]) *sender {
	s := &sender{slot: slot, log: log, connect: connect, queue: ring.New[message](operationQueueSize), commands: commands, crashes: crashes, announced: announced}
	s.assign("")
	return s
}

// assign sets the address of the member. An empty address means no member.
func (s *sender) assign(address string) {
	if known := s.address.Swap(&address); known == nil || *known != address {
		s.failing.Store(false)
		s.fullness.Store(0)
	}
	if address == "" {
		s.missedSince.Store(nil)
	}
}

// noteMissed has the member told that it has missed an operation that began at the
// given time.
func (s *sender) noteMissed(begun time.Time) {
	for {
		known := s.missedSince.Load()
		if known != nil && !known.After(begun) || s.missedSince.CompareAndSwap(known, &begun) {
			return
		}
	}
}

func (s *sender) run(ctx context.Context) error {
	defer s.disconnect()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	var batch []message
	for {
		batch = s.queue.PopBatch(batch[:0], maxExchangeBatch)
		if len(batch) == 0 {
			if err := s.waitOrProbe(ctx, probe.C); err != nil {
				return err
			}
			continue
		}
		for len(batch) > 0 {
			count := leadingSameTarget(batch)
			if err := s.exchange(ctx, batch[:count]); err != nil {
				return err
			}
			batch = batch[count:]
		}
	}
}

// waitOrProbe waits for messages. It probes a member that cannot be reached, so
// that its return is noticed even when no messages are sent to it, asks one that was
// sent no message for a while for crashes, and tells one what it has missed.
func (s *sender) waitOrProbe(ctx context.Context, probe <-chan time.Time) error {
	select {
	case <-s.queue.Ready():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-probe:
	}
	if *s.address.Load() == "" || !s.failing.Load() && s.missedSince.Load() == nil && time.Since(s.asked) < maxNewsAge {
		return nil
	}
	err := s.ensureConnected()
	if err == nil {
		var reply *turnpb.ExchangeReply
		if reply, err = s.call(ctx, &turnpb.ExchangeRequest{NewsAfter: s.lastNews, NewsNumbering: s.numbering}); err == nil {
			s.forwardNews(reply)
			if err := s.updateFullness(ctx, reply); err != nil {
				return err
			}
		}
	}
	return s.updateReachability(ctx, err)
}

// leadingSameTarget returns how many messages at the start of the batch have
// the same copy set version and disk, so that one request can carry them.
func leadingSameTarget(batch []message) int {
	count := 1
	for count < len(batch) && batch[count].set.Version == batch[0].set.Version && batch[count].disk == batch[0].disk {
		count++
	}
	return count
}

// exchange sends a batch in one request and passes each operation's part of the
// reply to the client.
func (s *sender) exchange(ctx context.Context, batch []message) error {
	var reply *turnpb.ExchangeReply
	err := s.ensureConnected()
	if err == nil {
		reply, err = s.call(ctx, s.encode(batch))
	}
	if err == nil {
		s.sentVersion = batch[0].set.Version
		s.forwardNews(reply)
		if err := s.updateFullness(ctx, reply); err != nil {
			return err
		}
	} else {
		// The next answer may come from a process that has restarted. It does not
		// serve before it knows the copy set.
		s.sentVersion = 0
	}
	if err := s.updateReachability(ctx, err); err != nil {
		return err
	}
	ledgers, chains, facts := 0, 0, 0
	for _, m := range batch {
		a := &answer{id: m.id, slot: s.slot, disk: m.disk, err: err, reply: reply, stored: len(m.records) > 0}
		a.ok = err == nil && reply.Status == turnpb.Status_STATUS_OK
		if a.ok {
			for _, record := range m.records {
				if record.GetReservation() != nil && ledgers < len(reply.Ledgers) {
					a.ledger = reply.Ledgers[ledgers]
					ledgers++
				}
			}
			if m.chain != "" && chains < len(reply.Chains) {
				a.chain = reply.Chains[chains]
				chains++
			}
			if m.fact != "" && facts < len(reply.Facts) {
				a.fact = reply.Facts[facts]
				facts++
			}
		}
		if err := s.commands.Push(ctx, command{answer: a}); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the request for a batch. It carries the copy set unless the
// member has received that version on this connection.
func (s *sender) encode(batch []message) *turnpb.ExchangeRequest {
	set := batch[0].set
	request := &turnpb.ExchangeRequest{CopySet: set.Version, NewsAfter: s.lastNews, NewsNumbering: s.numbering}
	if s.sentVersion != set.Version {
		request.Set = encodeVersionedSet(*set)
	}
	for _, m := range batch {
		request.Records = append(request.Records, m.records...)
		if m.chain != "" {
			request.Chains = append(request.Chains, m.chain)
		}
		if m.fact != "" {
			request.Facts = append(request.Facts, m.fact)
		}
	}
	return request
}

// ensureConnected opens a connection if there is none to the member's address.
func (s *sender) ensureConnected() error {
	address := *s.address.Load()
	if address == "" {
		return Error.New("no member is assigned to this sender")
	}
	if s.connAddress == address {
		return nil
	}
	s.disconnect()
	conn, closeConn, err := s.connect(address)
	if err != nil {
		return err
	}
	s.conn, s.closeConn, s.connAddress = turnpb.NewTurnStoreClient(conn), closeConn, address
	return nil
}

// call makes one request on the open connection.
func (s *sender) call(ctx context.Context, request *turnpb.ExchangeRequest) (*turnpb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	missedSince := s.missedSince.Load()
	if missedSince != nil {
		request.MissedMs = uint64(max(1, time.Since(*missedSince).Milliseconds()))
	}
	reply, err := s.conn.Exchange(ctx, request)
	if ctx.Err() != nil {
		// The connection may be dead without an error; dial a new one.
		s.disconnect()
	}
	if err == nil {
		s.missedSince.CompareAndSwap(missedSince, nil)
	}
	return reply, err
}

func (s *sender) disconnect() {
	if s.closeConn != nil {
		s.closeConn()
	}
	s.conn, s.closeConn, s.connAddress, s.sentVersion = nil, nil, "", 0
}

// forwardNews passes the crash reports and announced facts of a reply to the
// client's queues.
func (s *sender) forwardNews(reply *turnpb.ExchangeReply) {
	s.lastNews, s.numbering, s.asked = reply.LastNews, reply.NewsNumbering, time.Now()
	for _, crash := range reply.Crashes {
		if s.crashes.TryPush(decodeCrash(crash)) != nil {
			s.log.Warn("turnstore: crash report dropped, the queue is full", "end", crash.ServerEnd)
		}
	}
	for _, fact := range reply.Announced {
		if s.announced.TryPush(decodeFact(fact)) != nil {
			s.log.Warn("turnstore: announced fact dropped, the queue is full", "key", fact.Key)
		}
	}
}

// updateReachability records whether the last request succeeded. When that
// changes, it logs the change and notifies the client.
func (s *sender) updateReachability(ctx context.Context, err error) error {
	failing := err != nil
	if s.failing.Swap(failing) == failing {
		return nil
	}
	if failing {
		s.log.Warn("turnstore: store lost", "address", *s.address.Load(), "error", err)
	} else {
		s.log.Info("turnstore: store regained", "address", *s.address.Load())
	}
	return s.commands.Push(ctx, command{reachabilityChanged: true})
}

// fullnessStep is the least change of a member's fullness that the client is told, in
// permille. It is always told when the member has become full, or has room again.
const fullnessStep = 5

// updateFullness records how full the member is, and tells the client when that has
// changed.
func (s *sender) updateFullness(ctx context.Context, reply *turnpb.ExchangeReply) error {
	permille := int64(0)
	if reply.LimitBytes > 0 {
		permille = int64(min(maxFullness, 1000*float64(reply.UsedBytes)/float64(reply.LimitBytes)))
	}
	known := s.fullness.Load()
	if change := permille - known; change > -fullnessStep && change < fullnessStep && (permille < 1000) == (known < 1000) {
		return nil
	}
	s.fullness.Store(permille)
	return s.commands.Push(ctx, command{fullnessChanged: true})
}

// versionedSet is the encoding of a copy set with its version in messages.
type versionedSet struct {
	Version uint64      `json:"version"`
	Set     copyset.Set `json:"set"`
}

func encodeVersionedSet(set copyset.Set) []byte {
	content, err := json.Marshal(versionedSet{Version: set.Version, Set: set})
	if err != nil {
		panic("turnstore: cannot encode copy set: " + err.Error())
	}
	return content
}

func decodeVersionedSet(content []byte) (copyset.Set, error) {
	var v versionedSet
	if err := json.Unmarshal(content, &v); err != nil {
		return copyset.Set{}, Error.Wrap(err)
	}
	v.Set.Version = v.Version
	return v.Set, nil
}
