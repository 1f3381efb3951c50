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

// message is one operation's part for one member.
type message struct {
	id      uint64
	set     *copyset.Set
	disk    string
	records []*turnpb.Record
	chain   string
	crash   *turnpb.Crash
}

// sender is the duty that talks to one member.
type sender struct {
	slot    int
	log     *slog.Logger
	connect func(address string) (grpc.ClientConnInterface, func(), error)
	queue   *ring.Ring[message]
	answers *ring.Ring[command]
	crashes *ring.Ring[Crash]
	address atomic.Pointer[string]
	failing atomic.Bool

	// The fields below belong to the duty.
	conn      turnpb.TurnStoreClient
	connected string
	closeConn func()
	told      uint64 // the copy set version that the member was told on this connection
	heard     uint64 // the number of the last crash that the member has told
}

func newSender(slot int, log *slog.Logger, connect func(string) (grpc.ClientConnInterface, func(), error),
	answers *ring.Ring[command], crashes *ring.Ring[Crash]) *sender {
	s := &sender{slot: slot, log: log, connect: connect, queue: ring.New[message](operationSlots), answers: answers, crashes: crashes}
	s.assign("")
	return s
}

func (s *sender) assign(address string) {
	if known := s.address.Swap(&address); known == nil || *known != address {
		s.failing.Store(false)
	}
}

func (s *sender) run(ctx context.Context) error {
	defer s.disconnect()
	probe := time.NewTicker(probeEvery)
	defer probe.Stop()
	var batch []message
	for {
		batch = s.queue.PopBatch(batch[:0], sendBatch)
		if len(batch) == 0 {
			if err := s.rest(ctx, probe.C); err != nil {
				return err
			}
			continue
		}
		for len(batch) > 0 {
			count := sameVersion(batch)
			if err := s.exchange(ctx, batch[:count]); err != nil {
				return err
			}
			batch = batch[count:]
		}
	}
}

// rest waits for messages. A member that is lost is asked again and again, so
// that its return is noticed although nothing is sent to it.
func (s *sender) rest(ctx context.Context, probe <-chan time.Time) error {
	select {
	case <-s.queue.Ready():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-probe:
	}
	if !s.failing.Load() || *s.address.Load() == "" {
		return nil
	}
	_, err := s.call(ctx, &turnpb.ExchangeRequest{})
	return s.note(ctx, err)
}

// sameVersion returns how many messages at the front share a copy set version.
func sameVersion(batch []message) int {
	count := 1
	for count < len(batch) && batch[count].set.Version == batch[0].set.Version && batch[count].disk == batch[0].disk {
		count++
	}
	return count
}

func (s *sender) exchange(ctx context.Context, batch []message) error {
	set := batch[0].set
	request := &turnpb.ExchangeRequest{CopySet: set.Version, CrashesAfter: s.heard}
	if s.told != set.Version {
		request.Set = encodeVersioned(*set)
	}
	for _, m := range batch {
		request.Records = append(request.Records, m.records...)
		if m.chain != "" {
			request.Chains = append(request.Chains, m.chain)
		}
		if m.crash != nil {
			request.Crashes = append(request.Crashes, m.crash)
		}
	}
	reply, err := s.call(ctx, request)
	if err == nil {
		s.told, s.heard = set.Version, reply.LastCrash
		s.tell(reply.Crashes)
	}
	if err := s.note(ctx, err); err != nil {
		return err
	}
	ledgers, chains := 0, 0
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
		}
		if err := s.answers.Push(ctx, command{answer: a}); err != nil {
			return err
		}
	}
	return nil
}

func (s *sender) call(ctx context.Context, request *turnpb.ExchangeRequest) (*turnpb.ExchangeReply, error) {
	address := *s.address.Load()
	if address == "" {
		return nil, Error.New("no member in this place")
	}
	if s.connected != address {
		s.disconnect()
		conn, closeConn, err := s.connect(address)
		if err != nil {
			return nil, err
		}
		s.conn, s.closeConn, s.connected = turnpb.NewTurnStoreClient(conn), closeConn, address
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := s.conn.Exchange(ctx, request)
	if ctx.Err() != nil {
		// The connection may have gone silent; a new one tells.
		s.disconnect()
	}
	return reply, err
}

func (s *sender) disconnect() {
	if s.closeConn != nil {
		s.closeConn()
	}
	s.conn, s.closeConn, s.connected, s.told, s.heard = nil, nil, "", 0, 0
}

// tell passes crashes that other fronts have seen on.
func (s *sender) tell(crashes []*turnpb.Crash) {
	for _, crash := range crashes {
		if s.crashes.TryPush(decodeCrash(crash)) != nil {
			s.log.Warn("turnstore: crash of a call not passed on, the ring is full", "attempt", crash.Attempt)
		}
	}
}

// note logs when the member is lost and regained, and tells the keeper.
func (s *sender) note(ctx context.Context, err error) error {
	failing := err != nil
	if s.failing.Swap(failing) == failing {
		return nil
	}
	if failing {
		s.log.Warn("turnstore: store lost", "address", *s.address.Load(), "error", err)
	} else {
		s.log.Info("turnstore: store regained", "address", *s.address.Load())
	}
	return s.answers.Push(ctx, command{reached: true})
}

// versioned carries a copy set with its version between processes.
type versioned struct {
	Version uint64      `json:"version"`
	Set     copyset.Set `json:"set"`
}

func encodeVersioned(set copyset.Set) []byte {
	content, err := json.Marshal(versioned{Version: set.Version, Set: set})
	if err != nil {
		panic("turnstore: a copy set cannot be encoded: " + err.Error())
	}
	return content
}

func decodeVersioned(content []byte) (copyset.Set, error) {
	var v versioned
	if err := json.Unmarshal(content, &v); err != nil {
		return copyset.Set{}, Error.Wrap(err)
	}
	v.Set.Version = v.Version
	return v.Set, nil
}
