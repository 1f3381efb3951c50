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
	// maxMembers is the number of turn stores that a front server can talk to.
	maxMembers = 64
	// operationQueueSize is how many operations may wait for one sender. The
	// client's own queue holds four times as many commands.
	operationQueueSize = 1024
	// maxExchangeBatch is how many operations one Exchange request carries at
	// most.
	maxExchangeBatch = 64
	// exchangeTimeout bounds one Exchange request. If a disk stalls for longer,
	// the operations in the request count as not answered by that member.
	exchangeTimeout = 700 * time.Millisecond
	// probeInterval is how often a sender probes a member that it cannot reach.
	// Without a connection the call fails in this process, so a probe is cheap.
	probeInterval = 100 * time.Millisecond
	// maxNewsAge is how long a member may be sent nothing before it is asked for
	// crashes. All front servers must know of a crash within three seconds.
	maxNewsAge = 2 * time.Second
)

// Client is the client that a front server uses to reach the turn stores. One
// goroutine sends each operation to the members of the copy set and counts
// their answers; a sender goroutine for each member makes the requests.
type Client struct {
	log       *slog.Logger
	zone      string // the availability zone of the front server
	tolerated int    // the number of disks that may be lost without losing records
	commands  *ring.Ring[command]
	crashes   *ring.Ring[Crash] // reported by the stores
	announced *ring.Ring[Fact]  // by front servers, passed on by the stores
	toReport  *ring.Ring[Crash] // to be stored
	senders   [maxMembers]*sender
	serving   atomic.Bool
	fullness  atomic.Int64 // in permille

	// The run goroutine owns the fields below.
	set           *copyset.Set        // never modified in place, because senders share it
	hasSet        bool                // a copy set has been adopted
	slotByDisk    map[string]int      // index in senders, by disk
	pending       map[uint64]*pending // by message id
	nextID        uint64
	fallbacks     []fallback  // earliest first
	fallbackTimer *time.Timer // fires when the first fallback is due
}

// command is an item of the client's queue. Exactly one field is set.
type command struct {
	submit  *submission
	answer  *answer
	copySet *copyset.Set
	// reachabilityChanged means that a sender has lost or regained its member.
	reachabilityChanged bool
	// fullnessChanged means that a member is fuller or less full than before.
	fullnessChanged bool
}

// submission is an operation and the channel for its result.
type submission struct {
	op    Operation
	reply chan<- Result // has a buffer of one
}

// pending is an operation whose requests are not all answered.
type pending struct {
	submission
	tally *tally
	// set is the copy set that all requests of the operation carry. Answers
	// under two versions must not add up to a majority, since a store that joins
	// in between may have pulled the record from neither group of members.
	set         *copyset.Set
	begun       time.Time
	outstanding int                 // requests that are not answered yet
	remaining   []copyset.Member    // members that the operation was not sent to
	owed        map[string]bool     // disks that should get the records
	chainAsked  map[turnAtDisk]bool // members that were asked for the conversation up to a turn
	replied     bool                // the result was sent
}

// answer is the part of one member's Exchange reply that concerns one
// operation.
type answer struct {
	id     uint64
	slot   int
	disk   string
	ok     bool
	stored bool // the request carried the records of the operation
	reply  *turnpb.ExchangeReply
	ledger *turnpb.Ledger
	chain  *turnpb.Chain
	fact   *turnpb.Fact
	err    error
}

// NewClient returns a client whose goroutines run in group. It prefers members
// in the given availability zone for reads. The copy set must survive the loss
// of tolerated disks, or the client does not serve.
func NewClient(group *duty.Group, log *slog.Logger, zone string, tolerated int,
	connect func(address string) (grpc.ClientConnInterface, func(), error)) *Client {
	c := &Client{
		log: log, zone: zone, tolerated: tolerated, commands: ring.New[command](4 * operationQueueSize), crashes: ring.New[Crash](maxNews),
		announced: ring.New[Fact](maxNews), toReport: ring.New[Crash](maxNews),
		set: &copyset.Set{}, slotByDisk: map[string]int{}, pending: map[uint64]*pending{},
		fallbackTimer: time.NewTimer(time.Hour),
	}
	c.fallbackTimer.Stop()
	for i := range c.senders {
		c.senders[i] = newSender(i, log, connect, c.commands, c.crashes, c.announced)
		group.Go("turn-sender", c.senders[i].run)
	}
	group.Go("turn-keeper", c.run)
	group.Go("crash-reporter", c.runCrashReporter)
	group.RegisterRingDepth("turn-keeper", "commands", c.commands.Len)
	group.RegisterGauge("dogwoodline_turn_stores_fullness_permille", func() int { return int(c.fullness.Load()) })
	return c
}

// Serving reports whether a majority of the copy set can be reached, so that
// turns can be stored.
func (c *Client) Serving() bool { return c.serving.Load() }

// SetCopySet passes the newest copy set to the client.
func (c *Client) SetCopySet(ctx context.Context, set copyset.Set) error {
	return c.commands.Push(ctx, command{copySet: &set})
}

// Start starts an operation and returns the channel on which its result arrives.
// The verdict is Uncertain if the queue is full.
func (c *Client) Start(op Operation) <-chan Result {
	reply := make(chan Result, 1)
	if err := c.commands.TryPush(command{submit: &submission{op: op, reply: reply}}); err != nil {
		reply <- Result{Verdict: Uncertain}
	}
	return reply
}

// Do runs an operation and returns its result. The verdict is Uncertain if the
// queue is full, or if ctx ends first; the records may then be stored all the
// same.
func (c *Client) Do(ctx context.Context, op Operation) Result {
	select {
	case result := <-c.Start(op):
		return result
	case <-ctx.Done():
		return Result{Verdict: Uncertain}
	}
}

// Send stores records without waiting for the stores. It reports false if the
// queue is full.
func (c *Client) Send(records ...*turnpb.Record) bool {
	err := c.commands.TryPush(command{submit: &submission{op: Operation{Records: records}, reply: make(chan Result, 1)}})
	return err == nil
}

func (c *Client) run(ctx context.Context) error {
	defer c.fallbackTimer.Stop()
	for {
		for cmd, ok := c.commands.TryPop(); ok; cmd, ok = c.commands.TryPop() {
			c.handle(cmd)
		}
		select {
		case <-c.commands.Ready():
		case now := <-c.fallbackTimer.C:
			c.runDueFallbacks(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) handle(cmd command) {
	switch {
	case cmd.submit != nil:
		c.begin(*cmd.submit)
	case cmd.answer != nil:
		c.countAnswer(*cmd.answer)
	case cmd.copySet != nil:
		c.adoptCopySet(*cmd.copySet)
	case cmd.reachabilityChanged:
		c.updateServing()
		c.updateFullness()
	case cmd.fullnessChanged:
		c.updateFullness()
	}
}

// adoptCopySet replaces the copy set by a newer one and assigns each member to
// a sender.
func (c *Client) adoptCopySet(set copyset.Set) {
	if c.hasSet && set.Version <= c.set.Version {
		return
	}
	c.set, c.hasSet = &set, true
	for disk, slot := range c.slotByDisk {
		if _, member := set.Find(disk); !member {
			c.senders[slot].assign("")
			delete(c.slotByDisk, disk)
		}
	}
	for _, m := range set.Members {
		slot, known := c.slotByDisk[m.Disk]
		if !known {
			slot = c.freeSlot()
			if slot < 0 {
				c.log.Error("turnstore: copy set has too many members", "members", len(set.Members), "limit", maxMembers)
				continue
			}
			c.slotByDisk[m.Disk] = slot
		}
		c.senders[slot].assign(m.Address)
	}
	c.updateServing()
	c.updateFullness()
	c.log.Info("turnstore: copy set adopted", "version", set.Version, "members", len(set.Members),
		"majority", set.Majority(), "serves", set.Serves(c.tolerated))
}

// updateServing recomputes whether turns can be stored, which takes a majority
// of ready members that can be reached.
func (c *Client) updateServing() {
	reached := 0
	for _, m := range c.set.Members {
		if slot, ok := c.slotByDisk[m.Disk]; ok && m.Ready && !c.senders[slot].failing.Load() {
			reached++
		}
	}
	serving := c.hasSet && c.set.Serves(c.tolerated) && reached >= c.set.Majority()
	if c.serving.Swap(serving) != serving {
		c.log.Info("turnstore: serving changed", "serving", serving, "reached", reached, "majority", c.set.Majority(),
			"copy_set", c.set.Version)
	}
}

// freeSlot returns the index of an unassigned sender, or -1 if there is none.
func (c *Client) freeSlot() int {
	used := map[int]bool{}
	for _, slot := range c.slotByDisk {
		used[slot] = true
	}
	for slot := range c.senders {
		if !used[slot] {
			return slot
		}
	}
	return -1
}

// begin sends an operation to its first members. Reservations and reads are
// refused at once while no majority can be reached.
func (c *Client) begin(s submission) {
	if !c.hasSet || (s.op.reservation() != nil || s.op.Chain != "" || s.op.FactKey != "") && !c.serving.Load() {
		s.reply <- Result{Verdict: Uncertain, CopySet: c.set.Version}
		return
	}
	c.nextID++
	now := time.Now()
	p := &pending{submission: s, tally: newTally(s.op, *c.set), set: c.set, begun: now, owed: map[string]bool{}, chainAsked: map[turnAtDisk]bool{}}
	c.pending[c.nextID] = p
	nearest := c.nearestDisk()
	first, remaining := c.selectMembers(s.op, nearest)
	for _, m := range first {
		msg := message{records: s.op.Records, fact: s.op.FactKey}
		if m.Disk == nearest {
			msg.chain = s.op.Chain
		}
		c.send(c.nextID, p, m, msg)
	}
	p.remaining = remaining
	for _, m := range remaining {
		p.owed[m.Disk] = c.failing(m)
	}
	c.decide(c.nextID, p)
	if len(p.remaining) > 0 {
		c.scheduleFallback(c.nextID, now)
	}
}

// failing reports whether the last request to a member failed.
func (c *Client) failing(m copyset.Member) bool {
	slot, known := c.slotByDisk[m.Disk]
	return known && c.senders[slot].failing.Load()
}

// send queues a request for one member, unless its queue is full.
func (c *Client) send(id uint64, p *pending, m copyset.Member, msg message) {
	slot, ok := c.slotByDisk[m.Disk]
	if !ok {
		return
	}
	msg.id, msg.set, msg.disk = id, p.set, m.Disk
	if len(msg.records) > 0 {
		p.owed[m.Disk] = true
	}
	if c.senders[slot].queue.TryPush(msg) != nil {
		return // the member does not keep up; the others decide
	}
	if msg.chain != "" {
		p.chainAsked[turnAtDisk{msg.chain, m.Disk}] = true
	}
	p.outstanding++
}

// countAnswer adds the answer of a member to the tally of its operation.
func (c *Client) countAnswer(a answer) {
	p := c.pending[a.id]
	if p == nil {
		return
	}
	p.outstanding--
	member, found := p.tally.set.Find(a.disk)
	switch {
	case a.reply != nil && a.reply.Status == turnpb.Status_STATUS_STALE:
		c.adoptFromReply(a.reply)
	case a.ok && found && member.Ready:
		p.tally.addAnswer(a.disk, a.stored, a.ledger, a.chain, a.fact)
	}
	c.decide(a.id, p)
}

// adoptFromReply adopts the copy set of a store that refused an older version.
func (c *Client) adoptFromReply(reply *turnpb.ExchangeReply) {
	if len(reply.Set) == 0 {
		return
	}
	set, err := decodeVersionedSet(reply.Set)
	if err != nil {
		c.log.Error("turnstore: copy set in a reply not decoded", "error", err)
		return
	}
	c.adoptCopySet(set)
}

// decide replies to an operation once its answers suffice, asks more members if
// they do not, and drops the operation after the last answer.
func (c *Client) decide(id uint64, p *pending) {
	result := p.tally.result(p.outstanding + len(p.remaining))
	if result.Verdict == Undecided && p.outstanding == 0 {
		c.sendToRemaining(id, p)
	}
	if !p.replied && result.Verdict != Stored && c.askForMissingTurn(id, p) {
		result = p.tally.result(p.outstanding + len(p.remaining))
	}
	if !p.replied && result.Verdict != Undecided {
		p.replied = true
		p.reply <- result
	}
	if p.outstanding == 0 {
		if !p.replied {
			p.reply <- Result{Verdict: Uncertain, Synced: len(p.tally.synced), CopySet: p.tally.set.Version}
		}
		c.noteMissed(p)
		delete(c.pending, id)
	}
}
