package placement_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/placement"
	"dogwoodline.example/ring"
)

const testShards = 12

var (
	clock      = clockwork.NewRealClock()
	discardLog = slog.New(slog.DiscardHandler)
)

// cluster runs nodes on one store. The test sets their membership view.
type cluster struct {
	ctx   context.Context
	base  *memstore.Store
	view  atomic.Pointer[membership.View]
	nodes map[string]*testNode
	// collector is passed to the nodes that are started after it is set.
	collector placement.Collector

	mu           sync.Mutex
	acked        map[string]map[uint64]string // program -> sequence number -> data
	endedProgram string                       // the last program that was ended; writeToEach skips it
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, base: memstore.New(clock), nodes: map[string]*testNode{}, acked: map[string]map[uint64]string{}}
	c.view.Store(&membership.View{})
	return c
}

// testNode is a journal writer, a placement duty and a simple programs duty.
type testNode struct {
	name       string
	cluster    *cluster
	cancel     context.CancelFunc
	writer     *fencedlog.Writer
	duty       *placement.Duty
	changed    *ring.Ring[membership.Changed]
	dead       *ring.Ring[membership.Dead]
	writes     *ring.Ring[writeRequest]
	goroutines sync.WaitGroup

	ignoresAdopt atomic.Bool // Adopt is not answered
	adopts       atomic.Int32
	shardsLeft   atomic.Int32 // Drained.ShardsLeft of the last Drained, or -1 before the first
	fenced       atomic.Bool
	serving      atomic.Pointer[map[int]map[string][]string] // data by shard and program

	// The fields below are used only by runPrograms.
	shards  map[int]*testShard
	pending map[uint64]writeRequest
	tag     uint64
}

type testShard struct {
	serving, releasing bool
	outstanding        int
	programs           map[string][]string
}

type writeRequest struct {
	program, data string
	seq           uint64
	done          chan bool
	end           bool // the record ends the program, whose state is then dropped
}

// start adds a node whose store calls fail as decide says; nil injects no faults.
func (c *cluster) start(name string, settings placement.Settings, decide func(storefault.Call) storefault.Fault) *testNode {
	if decide == nil {
		decide = func(storefault.Call) storefault.Fault { return storefault.None }
	}
	return c.startOn(storefault.New(c.base, decide), name, settings)
}

func (c *cluster) startOn(store kvstore.Store, name string, settings placement.Settings) *testNode {
	ctx, cancel := context.WithCancel(c.ctx)
	n := &testNode{
		name: name, cluster: c, cancel: cancel,
		changed: ring.New[membership.Changed](1),
		dead:    ring.New[membership.Dead](16),
		writes:  ring.New[writeRequest](64),
		shards:  map[int]*testShard{},
		pending: map[uint64]writeRequest{},
	}
	n.shardsLeft.Store(-1)
	n.serving.Store(&map[int]map[string][]string{})
	n.writer = fencedlog.NewWriter(store, clock, discardLog, name, fencedlog.Settings{
		WritesPerSecond: 1e6, RetryMin: 50 * time.Microsecond, RetryMax: time.Millisecond, SegmentBytes: 1024, CompactAbove: 2,
	})
	settings.Shards = testShards
	settings.Interval = 2 * time.Millisecond
	n.duty = placement.New(store, clock, discardLog, name, settings, placement.Inputs{
		View:     func() *membership.View { return c.view.Load() },
		Changed:  n.changed,
		Suspects: ring.New[membership.Lapsed](64),
		Dead:     n.dead,
		Appender: fencedlog.NewAppender(n.writer),

		Collector: c.collector,
	})
	n.goroutines.Go(func() { _ = n.writer.Run(ctx) })
	n.goroutines.Go(func() { _ = n.duty.Run(ctx) })
	n.goroutines.Go(func() { _ = n.duty.Watch(ctx) })
	n.goroutines.Go(func() { n.runPrograms(ctx) })
	c.nodes[name] = n
	return n
}

// kill stops all duties of a node at once and waits for them.
func (n *testNode) kill() {
	n.cancel()
	n.goroutines.Wait()
	delete(n.cluster.nodes, n.name)
}

// setMembers publishes a membership view and notifies the nodes.
func (c *cluster) setMembers(members ...membership.Member) {
	c.view.Store(&membership.View{Members: members})
	for _, n := range c.nodes {
		_ = n.changed.TryPush(membership.Changed{})
	}
}

func liveMembers(names ...string) []membership.Member {
	var members []membership.Member
	for _, name := range names {
		members = append(members, membership.Member{ID: name, Incarnation: name})
	}
	return members
}

// confirmDead reports a dead node to all other nodes.
func (c *cluster) confirmDead(name string) {
	for _, n := range c.nodes {
		if n.name != name {
			_ = n.dead.TryPush(membership.Dead{Member: membership.Member{ID: name, Incarnation: name}})
		}
	}
}

// runPrograms is the programs duty. A write appends one record to a program.
func (n *testNode) runPrograms(ctx context.Context) {
	for {
		select {
		case <-n.duty.Orders().Ready():
			for o, ok := n.duty.Orders().TryPop(); ok; o, ok = n.duty.Orders().TryPop() {
				n.handleOrder(o)
			}
		case <-n.writer.Completions().Ready():
			for c, ok := n.writer.Completions().TryPop(); ok; c, ok = n.writer.Completions().TryPop() {
				n.handleCompletion(c)
			}
		case <-n.writes.Ready():
			for w, ok := n.writes.TryPop(); ok; w, ok = n.writes.TryPop() {
				n.handleWrite(w)
			}
		case <-ctx.Done():
			return
		}
		n.publish()
	}
}

func (n *testNode) handleOrder(order placement.Command) {
	switch o := order.(type) {
	case placement.Adopt:
		s := &testShard{programs: map[string][]string{}}
		for _, r := range o.Records {
			s.programs[r.Program] = append(s.programs[r.Program], string(r.Data))
		}
		n.shards[o.Shard] = s
		n.adopts.Add(1)
		if !n.ignoresAdopt.Load() {
			_ = n.duty.Messages().TryPush(placement.Adopted{Shard: o.Shard})
		}
	case placement.Serve:
		if n.shards[o.Shard] == nil {
			n.shards[o.Shard] = &testShard{programs: map[string][]string{}}
		}
		n.shards[o.Shard].serving, n.shards[o.Shard].releasing = true, false
	case placement.Release:
		// The records are appended but may not be committed yet.
		n.shards[o.Shard].releasing = true
		_ = n.duty.Messages().TryPush(placement.ShardIdle{Shard: o.Shard})
	case placement.Released:
		delete(n.shards, o.Shard)
	case placement.Drained:
		n.shardsLeft.Store(int32(o.ShardsLeft))
	}
}

func (n *testNode) handleWrite(w writeRequest) {
	shard := placement.Shard(w.program, testShards)
	s := n.shards[shard]
	if s == nil || !s.serving || s.releasing || n.fenced.Load() {
		w.done <- false
		return
	}
	s.programs[w.program] = append(s.programs[w.program], "")
	w.seq = uint64(len(s.programs[w.program]))
	w.data = fmt.Sprint(w.program, "/", w.seq, " by ", n.name)
	s.programs[w.program][w.seq-1] = w.data
	if w.end {
		delete(s.programs, w.program)
	}
	n.tag++
	r := fencedlog.Record{Shard: shard, Program: w.program, Seq: w.seq, Ended: w.end, Data: []byte(w.data)}
	if n.writer.Appends().TryPush(fencedlog.Append{Tag: n.tag, Records: []fencedlog.Record{r}}) != nil {
		w.done <- false // fenced, so the changed state is not used any more
		return
	}
	s.outstanding++
	n.pending[n.tag] = w
}

func (n *testNode) handleCompletion(completion fencedlog.Completion) {
	switch c := completion.(type) {
	case fencedlog.Committed:
		for _, tag := range c.Tags {
			w := n.pending[tag]
			delete(n.pending, tag)
			n.cluster.ack(w)
			shard := placement.Shard(w.program, testShards)
			if s := n.shards[shard]; s != nil {
				s.outstanding--
			}
			w.done <- true
		}
	case fencedlog.Fenced:
		n.fenced.Store(true)
		for _, w := range n.pending {
			w.done <- false
		}
	case fencedlog.CompactionQuery:
		_ = n.writer.CompactionAnswers().TryPush(n.answerCompaction(c))
	}
}

// answerCompaction keeps the records of running programs in this node's shards,
// and those of shards that another node has yet to adopt from this journal. It
// postpones the compaction while one of the shards is not served yet.
func (n *testNode) answerCompaction(q fencedlog.CompactionQuery) fencedlog.CompactionAnswer {
	answer := fencedlog.CompactionAnswer{Segment: q.Segment}
	view := n.duty.View()
	for _, r := range q.Records {
		own := n.shards[r.Shard] != nil
		if own && !n.shards[r.Shard].serving {
			return fencedlog.CompactionAnswer{Segment: q.Segment}
		}
		if own {
			_, running := n.shards[r.Shard].programs[r.Program]
			answer.Live = append(answer.Live, running)
			continue
		}
		answer.Live = append(answer.Live, view.Map.Shards[r.Shard].Owner == n.name || view.Retains(n.name, r.Shard))
	}
	return answer
}

// publish stores a copy of the served shards without outstanding records.
func (n *testNode) publish() {
	snapshot := map[int]map[string][]string{}
	for shard, s := range n.shards {
		if s.serving && !s.releasing && s.outstanding == 0 {
			programs := map[string][]string{}
			for program, data := range s.programs {
				programs[program] = slices.Clone(data)
			}
			snapshot[shard] = programs
		}
	}
	n.serving.Store(&snapshot)
}

// ack notes an acknowledged write, which must not be lost from then on.
func (c *cluster) ack(w writeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.end {
		delete(c.acked, w.program)
		c.endedProgram = w.program
		return
	}
	if c.acked[w.program] == nil {
		c.acked[w.program] = map[uint64]string{}
	}
	c.acked[w.program][w.seq] = w.data
}

// writeTo writes one record to a program and reports whether it was acknowledged.
func (n *testNode) writeTo(program string) bool {
	return n.submit(writeRequest{program: program})
}

// endProgram ends a program and reports whether that was acknowledged.
func (n *testNode) endProgram(program string) bool {
	return n.submit(writeRequest{program: program, end: true})
}

// submit sends a write and reports whether it was acknowledged within 20 ms.
func (n *testNode) submit(w writeRequest) bool {
	done := make(chan bool, 2)
	w.done = done
	if n.writes.TryPush(w) != nil {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-time.After(20 * time.Millisecond):
		return false // outcome unknown: the node was killed or is blocked
	}
}

func programNames() []string {
	var names []string
	for i := range 2 * testShards {
		names = append(names, fmt.Sprint("program", i))
	}
	return names
}

// writeToEach writes to each program, except an ended one, until the owner of its
// shard has acknowledged one write.
func (c *cluster) writeToEach() {
	for _, program := range programNames() {
		if program == c.endedProgram {
			continue
		}
		Eventually(func() bool {
			for _, n := range c.nodes {
				if _, ok := (*n.serving.Load())[placement.Shard(program, testShards)]; ok && n.writeTo(program) {
					return true
				}
			}
			return false
		}).WithPolling(500*time.Microsecond).Should(BeTrue(), program)
	}
}

// expectSettled waits until each shard is served by exactly one of the named
// nodes, no node serves more shards than the rounded-up average, and all
// acknowledged records are present in their order.
func (c *cluster) expectSettled(description string, names ...string) {
	Eventually(func() error {
		owners := map[int]string{}
		for _, name := range names {
			serving := *c.nodes[name].serving.Load()
			if limit := (testShards + len(names) - 1) / len(names); len(serving) > limit {
				return fmt.Errorf("%s serves %d shards, more than the rounded-up average", name, len(serving))
			}
			for shard := range serving {
				if other := owners[shard]; other != "" {
					return fmt.Errorf("shard %d is served by %s and %s", shard, other, name)
				}
				owners[shard] = name
			}
		}
		if len(owners) != testShards {
			return fmt.Errorf("only %d shards are served", len(owners))
		}
		return c.checkRecords(owners)
	}).WithPolling(time.Millisecond).Should(Succeed(), description)
}

// checkRecords returns an error if an owner lacks an acknowledged record.
func (c *cluster) checkRecords(owners map[int]string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for program, records := range c.acked {
		shard := placement.Shard(program, testShards)
		served := (*c.nodes[owners[shard]].serving.Load())[shard][program]
		for seq, data := range records {
			if uint64(len(served)) < seq || served[seq-1] != data {
				return fmt.Errorf("record %q is missing at %s, which serves %q", data, owners[shard], served)
			}
		}
	}
	return nil
}
