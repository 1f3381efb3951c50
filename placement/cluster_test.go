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
	clock = clockwork.NewRealClock()
	quiet = slog.New(slog.DiscardHandler)
)

// cluster runs nodes on one store. The test decides who is a member.
type cluster struct {
	ctx   context.Context
	base  *memstore.Store
	view  atomic.Pointer[membership.View]
	nodes map[string]*testNode
	// collector is that of the nodes started from now on.
	collector placement.Collector

	mu    sync.Mutex
	acked map[string]map[uint64]string // program -> sequence number -> data
	ended string                       // writeEach leaves it out
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{ctx: ctx, base: memstore.New(clock), nodes: map[string]*testNode{}, acked: map[string]map[uint64]string{}}
	c.view.Store(&membership.View{})
	return c
}

// testNode is a journal writer, a placement duty and a small owner of programs.
type testNode struct {
	name    string
	cluster *cluster
	cancel  context.CancelFunc
	writer  *fencedlog.Writer
	duty    *placement.Duty
	changed *ring.Ring[membership.Changed]
	dead    *ring.Ring[membership.Dead]
	writes  *ring.Ring[write]
	wait    sync.WaitGroup

	mute    atomic.Bool // does not answer Adopt
	adopts  atomic.Int32
	left    atomic.Int32 // of the last Drained, or -1
	fenced  atomic.Bool
	serving atomic.Pointer[map[int]map[string][]string] // data by shard and program

	// The fields below belong to the owner of programs.
	shards  map[int]*testShard
	pending map[uint64]write
	tag     uint64
}

type testShard struct {
	serving, releasing bool
	outstanding        int
	programs           map[string][]string
}

type write struct {
	program, data string
	seq           uint64
	done          chan bool
	end           bool // the record ends the program, which is then forgotten
}

// start adds a node whose store calls fail as decide says.
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
		writes:  ring.New[write](64),
		shards:  map[int]*testShard{},
		pending: map[uint64]write{},
	}
	n.left.Store(-1)
	n.serving.Store(&map[int]map[string][]string{})
	n.writer = fencedlog.NewWriter(store, clock, quiet, name, fencedlog.Settings{
		WritesPerSecond: 1e6, RetryMin: 50 * time.Microsecond, RetryMax: time.Millisecond, SegmentBytes: 1024, CompactAbove: 2,
	})
	settings.Shards = testShards
	settings.Tick = 2 * time.Millisecond
	n.duty = placement.New(store, clock, quiet, name, settings, placement.Inputs{
		View:     func() *membership.View { return c.view.Load() },
		Changed:  n.changed,
		Suspects: ring.New[membership.Lapsed](64),
		Dead:     n.dead,
		Appender: fencedlog.NewAppender(n.writer),

		Collector: c.collector,
	})
	n.wait.Go(func() { _ = n.writer.Run(ctx) })
	n.wait.Go(func() { _ = n.duty.Run(ctx) })
	n.wait.Go(func() { _ = n.duty.Watch(ctx) })
	n.wait.Go(func() { n.ownPrograms(ctx) })
	c.nodes[name] = n
	return n
}

// kill ends all duties of a node at once.
func (n *testNode) kill() {
	n.cancel()
	n.wait.Wait()
	delete(n.cluster.nodes, n.name)
}

// members sets the view and tells the nodes.
func (c *cluster) members(members ...membership.Member) {
	c.view.Store(&membership.View{Members: members})
	for _, n := range c.nodes {
		_ = n.changed.TryPush(membership.Changed{})
	}
}

func live(names ...string) []membership.Member {
	var members []membership.Member
	for _, name := range names {
		members = append(members, membership.Member{ID: name, Incarnation: name})
	}
	return members
}

// confirmDead tells all nodes but the dead one.
func (c *cluster) confirmDead(name string) {
	for _, n := range c.nodes {
		if n.name != name {
			_ = n.dead.TryPush(membership.Dead{Member: membership.Member{ID: name, Incarnation: name}})
		}
	}
}

// ownPrograms is the owner of the programs of a node.
func (n *testNode) ownPrograms(ctx context.Context) {
	for {
		select {
		case <-n.duty.Orders().Ready():
			for o, ok := n.duty.Orders().TryPop(); ok; o, ok = n.duty.Orders().TryPop() {
				n.takeOrder(o)
			}
		case <-n.writer.Completions().Ready():
			for c, ok := n.writer.Completions().TryPop(); ok; c, ok = n.writer.Completions().TryPop() {
				n.takeCompletion(c)
			}
		case <-n.writes.Ready():
			for w, ok := n.writes.TryPop(); ok; w, ok = n.writes.TryPop() {
				n.takeWrite(w)
			}
		case <-ctx.Done():
			return
		}
		n.publish()
	}
}

func (n *testNode) takeOrder(order placement.Order) {
	switch o := order.(type) {
	case placement.Adopt:
		s := &testShard{programs: map[string][]string{}}
		for _, r := range o.Records {
			s.programs[r.Program] = append(s.programs[r.Program], string(r.Data))
		}
		n.shards[o.Shard] = s
		n.adopts.Add(1)
		if !n.mute.Load() {
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
		_ = n.duty.Messages().TryPush(placement.Idle{Shard: o.Shard})
	case placement.Released:
		delete(n.shards, o.Shard)
	case placement.Drained:
		n.left.Store(int32(o.Left))
	}
}

func (n *testNode) takeWrite(w write) {
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
		w.done <- false // fenced: the state is not used any more
		return
	}
	s.outstanding++
	n.pending[n.tag] = w
}

func (n *testNode) takeCompletion(completion fencedlog.Completion) {
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
		_ = n.writer.CompactionAnswers().TryPush(n.judge(c))
	}
}

// judge keeps the records of own shards and of those that another node has
// still to adopt from this journal.
func (n *testNode) judge(q fencedlog.CompactionQuery) fencedlog.CompactionAnswer {
	v := fencedlog.CompactionAnswer{Segment: q.Segment}
	view := n.duty.View()
	for _, r := range q.Records {
		own := n.shards[r.Shard] != nil
		if own && !n.shards[r.Shard].serving {
			return fencedlog.CompactionAnswer{Segment: q.Segment}
		}
		if own {
			_, running := n.shards[r.Shard].programs[r.Program]
			v.Live = append(v.Live, running)
			continue
		}
		v.Live = append(v.Live, view.Map.Shards[r.Shard].Owner == n.name || view.Retains(n.name, r.Shard))
	}
	return v
}

func (n *testNode) publish() {
	snapshot := map[int]map[string][]string{}
	for shard, s := range n.shards {
		if s.serving && !s.releasing && s.outstanding == 0 {
			copied := map[string][]string{}
			for program, data := range s.programs {
				copied[program] = slices.Clone(data)
			}
			snapshot[shard] = copied
		}
	}
	n.serving.Store(&snapshot)
}

func (c *cluster) ack(w write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.end {
		delete(c.acked, w.program)
		c.ended = w.program
		return
	}
	if c.acked[w.program] == nil {
		c.acked[w.program] = map[uint64]string{}
	}
	c.acked[w.program][w.seq] = w.data
}

// writeOn writes once to a program and reports whether it was acknowledged.
func (n *testNode) writeOn(program string) bool {
	return n.try(write{program: program})
}

// end ends a program.
func (n *testNode) end(program string) bool {
	return n.try(write{program: program, end: true})
}

func (n *testNode) try(w write) bool {
	done := make(chan bool, 2)
	w.done = done
	if n.writes.TryPush(w) != nil {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-time.After(20 * time.Millisecond):
		return false // unknown: the node was killed or held
	}
}

func programs() []string {
	var names []string
	for i := range 2 * testShards {
		names = append(names, fmt.Sprint("program", i))
	}
	return names
}

// writeEach gets one write acknowledged for each program at its owner.
func (c *cluster) writeEach() {
	for _, program := range programs() {
		if program == c.ended {
			continue
		}
		Eventually(func() bool {
			for _, n := range c.nodes {
				if _, ok := (*n.serving.Load())[placement.Shard(program, testShards)]; ok && n.writeOn(program) {
					return true
				}
			}
			return false
		}).WithPolling(500*time.Microsecond).Should(BeTrue(), program)
	}
}

// settled waits until the named nodes serve each shard exactly once, with
// every acknowledged record in its place, and all equally loaded.
func (c *cluster) settled(note string, names ...string) {
	Eventually(func() error {
		owners := map[int]string{}
		for _, name := range names {
			serving := *c.nodes[name].serving.Load()
			if most := (testShards + len(names) - 1) / len(names); len(serving) > most {
				return fmt.Errorf("%s serves %d shards", name, len(serving))
			}
			for shard := range serving {
				if other := owners[shard]; other != "" {
					return fmt.Errorf("shard %d is served by %s and %s", shard, other, name)
				}
				owners[shard] = name
			}
		}
		if len(owners) != testShards {
			return fmt.Errorf("%d shards are served", len(owners))
		}
		return c.lost(owners)
	}).WithPolling(time.Millisecond).Should(Succeed(), note)
}

func (c *cluster) lost(owners map[int]string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for program, records := range c.acked {
		shard := placement.Shard(program, testShards)
		kept := (*c.nodes[owners[shard]].serving.Load())[shard][program]
		for seq, data := range records {
			if uint64(len(kept)) < seq || kept[seq-1] != data {
				return fmt.Errorf("record %q is not at %s, which has %q", data, owners[shard], kept)
			}
		}
	}
	return nil
}
