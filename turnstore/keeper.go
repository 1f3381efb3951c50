package turnstore

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// memberSlots is the number of stores that a front can talk to.
	memberSlots = 64
	// operationSlots is the number of operations that may wait.
	operationSlots = 1024
	// sendBatch is how many operations one message carries at most.
	sendBatch = 64
	// exchangeTimeout bounds one message. A disk that stalls answers later;
	// its operations then count as unanswered.
	exchangeTimeout = 700 * time.Millisecond
	// probeEvery is how often a member that is lost is asked again. Without a
	// connection the question fails in this process, so it is cheap.
	probeEvery = 100 * time.Millisecond
)

// Keeper is a front's client of the turn stores. Its duty sends each operation
// to all members and counts their answers; a duty for each member sends.
type Keeper struct {
	log       *slog.Logger
	zone      string
	tolerated int
	commands  *ring.Ring[command]
	crashes   *ring.Ring[Crash] // that stores have told
	senders   [memberSlots]*sender
	serving   atomic.Bool

	// The fields below belong to the duty.
	set     *copyset.Set // replaced as a whole, as senders share it
	known   bool
	slotOf  map[string]int // disk to sender
	pending map[uint64]*pending
	nextID  uint64
	late    []lateOperation // oldest first
	alarm   *time.Timer     // rings when the oldest is due
}

type command struct {
	start  *start
	answer *answer
	copies *copyset.Set
	crash  *Crash // to be told to other fronts
	// reached says that a sender has lost or regained its member.
	reached bool
}

type start struct {
	op    Operation
	reply chan<- Result // one slot
}

type pending struct {
	start
	tally *tally
	// set is the version that all messages of the operation carry. Acceptances
	// of two versions must not add up to a majority, since a store that joins
	// in between may have pulled from neither.
	set   *copyset.Set
	left  int
	rest  []copyset.Member // not asked yet
	wide  bool             // all members were asked for the chain
	asked map[int]bool
	done  bool
}

// answer is one member's part of a message, for one operation.
type answer struct {
	id     uint64
	slot   int
	disk   string
	ok     bool
	stored bool // the message carried the operation's records
	reply  *turnpb.ExchangeReply
	ledger *turnpb.Ledger
	chain  *turnpb.Chain
	err    error
}

// NewKeeper returns a keeper whose duties run in group.
func NewKeeper(group *duty.Group, log *slog.Logger, zone string, tolerated int,
	connect func(address string) (grpc.ClientConnInterface, func(), error)) *Keeper {
	k := &Keeper{
		log: log, zone: zone, tolerated: tolerated, commands: ring.New[command](4 * operationSlots), crashes: ring.New[Crash](mostCrashes),
		set: &copyset.Set{}, slotOf: map[string]int{}, pending: map[uint64]*pending{},
		alarm: time.NewTimer(time.Hour),
	}
	k.alarm.Stop()
	for i := range k.senders {
		k.senders[i] = newSender(i, log, connect, k.commands, k.crashes)
		group.Go("turn-sender", k.senders[i].run)
	}
	group.Go("turn-keeper", k.run)
	group.Depth("turn-keeper", "commands", k.commands.Len)
	return k
}

// Serving reports whether enough stores are known to keep turns.
func (k *Keeper) Serving() bool { return k.serving.Load() }

// SetCopies tells the newest copy set.
func (k *Keeper) SetCopies(ctx context.Context, set copyset.Set) error {
	return k.commands.Push(ctx, command{copies: &set})
}

// Do runs an operation. Uncertain is the verdict when ctx ends first.
func (k *Keeper) Do(ctx context.Context, op Operation) Result {
	reply := make(chan Result, 1)
	if err := k.commands.TryPush(command{start: &start{op: op, reply: reply}}); err != nil {
		return Result{Verdict: Uncertain}
	}
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return Result{Verdict: Uncertain}
	}
}

// Send stores records without waiting for the stores. It reports whether the
// operation was taken.
func (k *Keeper) Send(records ...*turnpb.Record) bool {
	err := k.commands.TryPush(command{start: &start{op: Operation{Records: records}, reply: make(chan Result, 1)}})
	return err == nil
}

// Report tells other fronts, through the stores, that a call ended a backend
// server. It reports whether the crash was taken.
func (k *Keeper) Report(crash Crash) bool {
	return k.commands.TryPush(command{crash: &crash}) == nil
}

// Crashes returns the ring of crashes that fronts have reported, this one's
// too.
func (k *Keeper) Crashes() *ring.Ring[Crash] { return k.crashes }

func (k *Keeper) run(ctx context.Context) error {
	defer k.alarm.Stop()
	for {
		for c, ok := k.commands.TryPop(); ok; c, ok = k.commands.TryPop() {
			k.handle(c)
		}
		select {
		case <-k.commands.Ready():
		case now := <-k.alarm.C:
			k.askRest(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (k *Keeper) handle(c command) {
	switch {
	case c.start != nil:
		k.begin(*c.start)
	case c.answer != nil:
		k.count(*c.answer)
	case c.copies != nil:
		k.adopt(*c.copies)
	case c.crash != nil:
		k.spread(*c.crash)
	case c.reached:
		k.judge()
	}
}

// spread sends a crash to all members. It is a hint: nobody waits for answers.
func (k *Keeper) spread(crash Crash) {
	for _, m := range k.set.Members {
		if slot, ok := k.slotOf[m.Disk]; ok {
			_ = k.senders[slot].queue.TryPush(message{set: k.set, disk: m.Disk, crash: encodeCrash(crash)}) // others tell too
		}
	}
}

// adopt takes a newer copy set and gives each member a sender.
func (k *Keeper) adopt(set copyset.Set) {
	if k.known && set.Version <= k.set.Version {
		return
	}
	k.set, k.known = &set, true
	for disk, slot := range k.slotOf {
		if _, member := set.Find(disk); !member {
			k.senders[slot].assign("")
			delete(k.slotOf, disk)
		}
	}
	for _, m := range set.Members {
		slot, known := k.slotOf[m.Disk]
		if !known {
			slot = k.freeSlot()
			if slot < 0 {
				k.log.Error("turnstore: too many members", "members", len(set.Members), "limit", memberSlots)
				continue
			}
			k.slotOf[m.Disk] = slot
		}
		k.senders[slot].assign(m.Address)
	}
	k.judge()
	k.log.Info("turnstore: copy set adopted", "version", set.Version, "members", len(set.Members),
		"majority", set.Majority(), "serves", set.Serves(k.tolerated))
}

// judge decides whether turns can be kept: a majority must be reached.
func (k *Keeper) judge() {
	reached := 0
	for _, m := range k.set.Members {
		if slot, ok := k.slotOf[m.Disk]; ok && m.Ready && !k.senders[slot].failing.Load() {
			reached++
		}
	}
	serving := k.known && k.set.Serves(k.tolerated) && reached >= k.set.Majority()
	if k.serving.Swap(serving) != serving {
		k.log.Info("turnstore: serving changed", "serving", serving, "reached", reached, "majority", k.set.Majority(),
			"copy_set", k.set.Version)
	}
}

func (k *Keeper) freeSlot() int {
	used := map[int]bool{}
	for _, slot := range k.slotOf {
		used[slot] = true
	}
	for slot := range k.senders {
		if !used[slot] {
			return slot
		}
	}
	return -1
}

func (k *Keeper) begin(s start) {
	if !k.known || (s.op.reservation() != nil || s.op.Chain != "") && !k.serving.Load() {
		s.reply <- Result{Verdict: Uncertain, CopySet: k.set.Version}
		return
	}
	k.nextID++
	p := &pending{start: s, tally: newTally(s.op, *k.set), set: k.set, asked: map[int]bool{}}
	k.pending[k.nextID] = p
	near := k.near()
	now := time.Now()
	first, rest := k.audience(s.op, near)
	for _, m := range first {
		part := message{records: s.op.Records}
		if m.Disk == near {
			part.chain = s.op.Chain
		}
		k.send(k.nextID, p, m, part)
	}
	p.rest = rest
	k.decide(k.nextID, p)
	if len(p.rest) > 0 {
		k.remind(k.nextID, now)
	}
}

// near returns the disk that is asked for what makes an answer long: one in
// this availability zone.
func (k *Keeper) near() string {
	first := ""
	for _, m := range k.set.Members {
		if !m.Ready || k.senders[k.slotOf[m.Disk]].failing.Load() {
			continue
		}
		if m.Zone == k.zone {
			return m.Disk
		}
		if first == "" {
			first = m.Disk
		}
	}
	return first
}

func (k *Keeper) send(id uint64, p *pending, m copyset.Member, part message) {
	slot, ok := k.slotOf[m.Disk]
	if !ok {
		return
	}
	part.id, part.set, part.disk = id, p.set, m.Disk
	if k.senders[slot].queue.TryPush(part) != nil {
		return // this member does not keep up; the others decide
	}
	if part.chain != "" {
		p.asked[slot] = true
	}
	p.left++
}

func (k *Keeper) count(a answer) {
	p := k.pending[a.id]
	if p == nil {
		return
	}
	p.left--
	member, found := p.tally.set.Find(a.disk)
	switch {
	case a.reply != nil && a.reply.Status == turnpb.Status_STATUS_STALE:
		k.learnStale(a.reply)
	case a.ok && found && member.Ready:
		p.tally.ok(a.disk, a.stored, a.ledger, a.chain)
	}
	k.decide(a.id, p)
}

// learnStale adopts the copy set of a store that knows a newer one.
func (k *Keeper) learnStale(reply *turnpb.ExchangeReply) {
	if len(reply.Set) == 0 {
		return
	}
	set, err := decodeVersioned(reply.Set)
	if err != nil {
		k.log.Error("turnstore: copy set of a store not decoded", "error", err)
		return
	}
	k.adopt(set)
}

func (k *Keeper) decide(id uint64, p *pending) {
	result := p.tally.result(p.left + len(p.rest))
	if result.Verdict == Undecided && p.left == 0 {
		k.widen(id, p)
	}
	if !p.done && result.Verdict != Stored && p.op.Chain != "" && !p.wide && k.wantsMore(p) {
		p.wide = true
		for _, m := range p.tally.set.Members {
			if slot, ok := k.slotOf[m.Disk]; ok && m.Ready && !p.asked[slot] {
				k.send(id, p, m, message{chain: p.op.Chain})
			}
		}
		result = p.tally.result(p.left + len(p.rest))
	}
	if !p.done && result.Verdict != Undecided {
		p.done = true
		p.reply <- result
	}
	if p.left == 0 {
		if !p.done {
			p.reply <- Result{Verdict: Uncertain, Synced: len(p.tally.synced), CopySet: p.tally.set.Version}
		}
		delete(k.pending, id)
	}
}

// wantsMore reports whether the first reader has not given the conversation
// although enough members have answered.
func (k *Keeper) wantsMore(p *pending) bool {
	if _, whole := p.tally.conversation(); whole {
		return false
	}
	return len(p.tally.synced) >= p.tally.set.Majority() || len(p.tally.readers) > 0
}
