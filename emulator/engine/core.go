package engine

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodline.example/ring"
)

// progressSlots is the size of the ring between the core and one handler.
// Progress is cumulative, so the core skips intermediate values when the
// handler is slow; one slot is kept for the last value.
const progressSlots = 8

// tokenEpsilon absorbs rounding when fractions of tokens are added up.
const tokenEpsilon = 1e-6

type phase int

const (
	waiting phase = iota
	prefill
	decode
	ended
)

type requestKey struct {
	id      string
	attempt int
}

// refusal is the reason why a request or an order did not run.
type refusal string

const (
	none          refusal = ""
	leaving       refusal = "leaving"
	overloaded    refusal = "overloaded"
	fenced        refusal = "fenced"
	notLoaded     refusal = "model_not_loaded"
	duplicate     refusal = "duplicate"
	pastDeadline  refusal = "deadline_exceeded"
	cancelled     refusal = "cancelled"
	unknownTarget refusal = "not_found"
)

// progress is the state of a request as a handler sees it.
type progress struct {
	startID string
	tokens  int // generated so far
	cached  int // prompt tokens found in the cache
	done    bool
	refused refusal
	crashed bool
}

func (p progress) last() bool { return p.done || p.crashed || p.refused != none }

// request is a request with the state of its run. After it was pushed onto
// the inbox it belongs to the core duty; prompt, tokens and text never change.
type request struct {
	key      requestKey
	program  string
	model    string
	priority int
	fence    uint64
	deadline time.Time // zero for none
	prompt   string
	total    int    // tokens to generate
	text     string // the whole answer
	given    int    // answer tokens that the client already has
	listener *ring.Ring[progress]

	phase       phase
	arrival     uint64
	cached      int
	prefillLeft float64
	produced    float64
	goal        int // produced tokens at which the client hears next
	orphaned    time.Time
	silent      bool // whole answer at once, no intermediate progress
}

// core is the state machine of an engine. Time is passed in and it does no
// I/O. It is owned by one duty.
type core struct {
	config  Config
	random  *rand.Rand
	last    time.Time
	startID string
	starts  int

	down    bool
	hung    bool
	leaving bool
	slow    float64
	marker  string
	fence   uint64
	role    string
	models  []string
	loading map[string]time.Time

	waiting  []*request // highest priority first, then in order of arrival
	running  []*request
	requests map[requestKey]*request
	retained []*request
	arrivals uint64
	totals   Totals
	cache    *prefixCache
	reports  []LoadReport // oldest first; the first one is what readers see

	crashes *ring.Ring[struct{}]
}

func newCore(config Config, now time.Time) *core {
	c := &core{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		slow:    1,
		marker:  config.CrashMarker,
		crashes: ring.New[struct{}](1),
	}
	c.start(now)
	return c
}

// start gives the engine the state of a new process.
func (c *core) start(now time.Time) {
	c.starts++
	c.startID = fmt.Sprintf("%s-%d-%08x", c.config.Name, c.starts, c.random.Uint32())
	c.last = now
	c.down, c.hung, c.fence, c.role = false, false, 0, "mixed"
	c.models = slices.Clone(c.config.Models)
	c.loading = make(map[string]time.Time)
	c.waiting, c.running, c.retained = nil, nil, nil
	c.requests = make(map[requestKey]*request)
	c.totals = Totals{}
	c.cache = newPrefixCache(c.config.CacheBlocks, c.config.EventLoss, c.random)
	c.reports = nil
	c.note(now)
}

// crash drops all state. The engine answers nothing until start.
func (c *core) crash() {
	for _, r := range c.requests {
		c.notify(r, progress{crashed: true})
	}
	c.down = true
	c.waiting, c.running = nil, nil
	c.requests = make(map[requestKey]*request)
	_ = c.crashes.TryPush(struct{}{}) // full means that a restart is already under way
}

// admit queues a request or refuses it.
func (c *core) admit(now time.Time, r *request, resume bool) {
	if known, ok := c.requests[r.key]; ok {
		if !resume {
			c.refuse(r, duplicate)
			return
		}
		c.attach(known, r)
		return
	}
	if reason := c.refusesWork(r); reason != none {
		c.refuse(r, reason)
		return
	}
	c.arrivals++
	r.arrival = c.arrivals
	c.requests[r.key] = r
	at, _ := slices.BinarySearchFunc(c.waiting, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	c.waiting = slices.Insert(c.waiting, at, r)
	c.fill(now)
}

func (c *core) refusesWork(r *request) refusal {
	switch {
	case !c.passesFence(r.fence):
		return fenced
	case c.leaving:
		return leaving
	case len(c.models) > 0 && !slices.Contains(c.models, r.model):
		return notLoaded
	case len(c.waiting) >= c.config.MaxWaiting:
		return overloaded
	}
	return none
}

// attach makes the handler of a resumed stream the listener of the request.
func (c *core) attach(known, resumed *request) {
	known.listener = resumed.listener
	known.orphaned = time.Time{}
	known.silent = resumed.silent
	if known.phase != ended && !known.silent {
		known.goal = min(known.total, int(known.produced)+1)
	}
	c.notify(known, c.progressOf(known))
}

// fill starts waiting requests while there are free slots.
func (c *core) fill(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.config.Slots && !c.down {
		r := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		if !r.deadline.IsZero() && now.After(r.deadline) {
			c.forget(r)
			c.refuse(r, pastDeadline)
			continue
		}
		if c.marker != "" && strings.Contains(r.prompt, c.marker) {
			c.crash()
			return
		}
		c.begin(r)
	}
	c.note(now)
}

func (c *core) begin(r *request) {
	tokens := Tokens(r.prompt)
	blocks := c.cache.match(r.program, PrefixHashes(r.prompt, c.config.BlockTokens))
	r.cached = min(blocks*c.config.BlockTokens, tokens-1)
	r.prefillLeft = float64(tokens + r.given - r.cached)
	r.produced = float64(r.given)
	r.phase = prefill
	r.goal = r.total
	if !r.silent {
		r.goal = min(r.total, r.given+1)
	}
	c.running = append(c.running, r)
	c.totals.Started++
	c.totals.PromptTokens += int64(tokens)
	c.totals.CachedTokens += int64(r.cached)
}

// advance moves the simulation to now. It steps from event to event, because
// rates change whenever a request changes its phase.
func (c *core) advance(now time.Time) {
	if c.down || c.hung {
		c.last = now
		return
	}
	for {
		step := min(c.nextStep(), now.Sub(c.last))
		if step < 0 {
			return
		}
		c.last = c.last.Add(step)
		c.progress(step.Seconds())
		changed := c.settle(c.last)
		if c.down || (!changed && !c.last.Before(now)) {
			break
		}
	}
	c.expire(now)
}

// rates returns tokens per real second in prefill and decode for each request.
func (c *core) rates() (perPrefill, perDecode float64) {
	speed := c.config.TimeScale / c.slow
	prefilling := 0
	for _, r := range c.running {
		if r.phase == prefill {
			prefilling++
		}
	}
	perPrefill = speed * c.config.PrefillTokensPerS / float64(max(prefilling, 1))
	perDecode = speed * c.config.DecodeTokensPerS / (1 + c.config.BatchSlowdown*float64(len(c.running)-1))
	return perPrefill, perDecode
}

// nextStep returns the time to the next change of a running request.
func (c *core) nextStep() time.Duration {
	perPrefill, perDecode := c.rates()
	next := math.Inf(1)
	for _, r := range c.running {
		if r.phase == prefill {
			next = min(next, r.prefillLeft/perPrefill)
		} else {
			next = min(next, (float64(r.goal)-r.produced)/perDecode)
		}
	}
	if next > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(math.Ceil(next * float64(time.Second)))
}

func (c *core) progress(seconds float64) {
	perPrefill, perDecode := c.rates()
	for _, r := range c.running {
		if r.phase == prefill {
			r.prefillLeft -= seconds * perPrefill
		} else {
			r.produced = min(r.produced+seconds*perDecode, float64(r.goal))
		}
	}
}

// settle applies the changes that are due and reports whether there were any.
func (c *core) settle(now time.Time) bool {
	changed := false
	for _, r := range slices.Clone(c.running) {
		switch {
		case r.phase == prefill && r.prefillLeft <= tokenEpsilon:
			c.cache.store(now, r.program, PrefixHashes(r.prompt, c.config.BlockTokens))
			r.phase = decode
			changed = true
		case r.phase == decode && r.produced >= float64(r.goal)-tokenEpsilon:
			c.reach(now, r)
			changed = true
		}
	}
	if changed {
		c.fill(now)
	}
	return changed
}

// reach handles a request that generated as many tokens as its client waits
// for.
func (c *core) reach(now time.Time, r *request) {
	r.produced = float64(r.goal)
	if r.goal < r.total {
		c.notify(r, c.progressOf(r))
		r.goal = min(r.total, r.goal+c.config.ChunkTokens)
		return
	}
	r.phase = ended
	c.running = slices.DeleteFunc(c.running, func(other *request) bool { return other == r })
	c.cache.store(now, r.program, PrefixHashes(r.prompt+r.text, c.config.BlockTokens))
	c.totals.Finished++
	c.totals.GeneratedTokens += int64(r.total - r.given)
	c.retain(r)
	c.notify(r, c.progressOf(r))
}

func (c *core) retain(r *request) {
	c.retained = append(c.retained, r)
	if len(c.retained) > c.config.RetainedAnswers {
		c.forget(c.retained[0])
		c.retained = slices.Delete(c.retained, 0, 1)
	}
}

// expire refuses waiting requests past their deadline and ends requests whose
// client did not come back in time.
func (c *core) expire(now time.Time) {
	if c.down {
		return
	}
	for _, r := range slices.Clone(c.waiting) {
		if !r.deadline.IsZero() && now.After(r.deadline) {
			c.remove(now, r, pastDeadline)
		}
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.orphaned.IsZero() && now.Sub(r.orphaned) >= c.config.real(c.config.ResumeWindow) {
			c.remove(now, r, cancelled)
		}
	}
}

// wake returns the time until advance has something to do.
func (c *core) wake() time.Duration {
	next := time.Hour
	if c.down || c.hung {
		return next
	}
	if len(c.running) > 0 {
		next = c.nextStep()
	}
	for _, r := range c.waiting {
		if !r.deadline.IsZero() {
			next = min(next, r.deadline.Sub(c.last)+time.Millisecond)
		}
	}
	for _, ready := range c.loading {
		next = min(next, ready.Sub(c.last))
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.orphaned.IsZero() {
			next = min(next, r.orphaned.Add(c.config.real(c.config.ResumeWindow)).Sub(c.last))
		}
	}
	return max(next, 0)
}

// disconnected handles a client that went away.
func (c *core) disconnected(now time.Time, key requestKey, listener *ring.Ring[progress]) {
	r, ok := c.requests[key]
	if !ok || r.listener != listener || r.phase == ended {
		return
	}
	r.listener = nil
	if c.config.ResumeWindow > 0 {
		r.orphaned = now
		return
	}
	c.remove(now, r, cancelled)
}

// remove takes a request out of the queue or the batch.
func (c *core) remove(now time.Time, r *request, reason refusal) {
	same := func(other *request) bool { return other == r }
	c.waiting = slices.DeleteFunc(c.waiting, same)
	c.running = slices.DeleteFunc(c.running, same)
	c.forget(r)
	c.totals.Cancelled++
	c.refuse(r, reason)
	c.fill(now)
}

func (c *core) forget(r *request) {
	if c.requests[r.key] == r {
		delete(c.requests, r.key)
	}
}

func (c *core) refuse(r *request, reason refusal) {
	c.notify(r, progress{tokens: int(r.produced + tokenEpsilon), refused: reason})
}

func (c *core) progressOf(r *request) progress {
	return progress{tokens: int(r.produced + tokenEpsilon), cached: r.cached, done: r.phase == ended}
}

// notify passes progress to the handler. It never waits.
func (c *core) notify(r *request, p progress) {
	if r.listener == nil {
		return
	}
	p.startID = c.startID
	if p.last() || r.listener.Len() < r.listener.Cap()-1 {
		_ = r.listener.TryPush(p) // cannot be full, see progressSlots
	}
}

// passesFence reports whether an order with this number is obeyed, and
// remembers the number.
func (c *core) passesFence(number uint64) bool {
	if !c.config.ObeyFencing {
		return true
	}
	if number < c.fence {
		return false
	}
	c.fence = number
	return true
}
