package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodline.example/ring"
)

// progressSlots is the size of the ring that carries progress from the core to
// one handler. Progress is cumulative, so the core skips intermediate values
// when the handler is slow. One slot is reserved for the final value.
const progressSlots = 8

// tokenEpsilon is the tolerance for rounding errors in sums of token fractions.
const tokenEpsilon = 1e-6

// phase is the stage of a request's processing.
type phase int

const (
	waiting phase = iota
	prefill
	decode
	ended
)

// requestKey identifies one attempt of a request.
type requestKey struct {
	id      string
	attempt int
}

// refusalReason says why a request or an order was refused or a request was
// ended early.
type refusalReason string

const (
	notRefused    refusalReason = ""
	leaving       refusalReason = "leaving"
	overloaded    refusalReason = "overloaded"
	fenced        refusalReason = "fenced"
	notLoaded     refusalReason = "model_not_loaded"
	duplicate     refusalReason = "duplicate"
	pastDeadline  refusalReason = "deadline_exceeded"
	cancelled     refusalReason = "cancelled"
	unknownTarget refusalReason = "not_found"
)

// progress is a snapshot of a request for its handler.
type progress struct {
	startID      string
	tokens       int // answer tokens so far, resumed ones included
	cachedTokens int // prompt tokens found in the cache
	done         bool
	refusal      refusalReason
	crashed      bool
}

// last reports whether no progress follows.
func (p progress) last() bool { return p.done || p.crashed || p.refusal != notRefused }

// request is a chat-completion request with the state of its processing. Once
// it is queued for the worker that owns the core, only that worker may change it.
type request struct {
	key          requestKey
	program      string
	model        string
	priority     int
	fence        uint64
	deadline     time.Time // zero for none
	prompt       string
	totalTokens  int      // length of the answer in tokens
	answerText   string   // the whole answer
	resumeTokens int      // answer tokens that the client already has and that are not generated again
	blockHashes  []uint64 // of the blocks of prompt and answer; see prepare
	promptBlocks int      // full blocks in the prompt
	updates      *ring.Ring[progress]

	phase            phase
	arrival          uint64 // sequence number of admission
	cachedTokens     int
	prefillRemaining float64
	generated        float64   // answer tokens, starts at resumeTokens
	notifyAt         int       // generated tokens at which the handler is notified next
	disconnectedAt   time.Time // zero while a client is connected
	buffered         bool      // the answer is sent whole, without intermediate progress
}

// prepare computes the block hashes of the prompt and its answer. Handlers call
// it, because it would block the core for milliseconds with a long history.
func (r *request) prepare(blockTokens int) {
	r.blockHashes = PrefixHashes(r.prompt+r.answerText, blockTokens)
	r.promptBlocks = len(r.prompt) / (blockTokens * BytesPerToken)
}

// core is the state machine of an engine. It gets the time as an argument, does
// no I/O and is owned by one worker goroutine.
type core struct {
	config     Config
	random     *rand.Rand
	advancedTo time.Time
	startID    string
	startCount int

	crashed      bool
	hung         bool
	leaving      bool
	slowFactor   float64
	crashMarker  string
	highestFence uint64
	role         string
	models       []string
	loading      map[string]time.Time // by model, time at which it is loaded

	waiting      []*request // highest priority first, then in order of arrival
	running      []*request
	requests     map[requestKey]*request
	retained     []*request
	arrivalCount uint64
	totals       Totals
	cache        *prefixCache
	reports      []LoadReport // oldest first; readers get the first one

	crashes *ring.Ring[struct{}]
}

func newCore(config Config, now time.Time) *core {
	c := &core{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, 0)),
		slowFactor:  1,
		crashMarker: config.CrashMarker,
		crashes:     ring.New[struct{}](1),
	}
	c.Restart(now)
	return c
}

// Hung reports whether the engine simulates a hang.
func (c *core) Hung() bool { return c.hung }

// Crashes returns the ring to which each crash is pushed.
func (c *core) Crashes() *ring.Ring[struct{}] { return c.crashes }

// Restart resets the engine to the state of a new process. The slow-down factor,
// the crash marker and the leaving switch keep their values.
func (c *core) Restart(now time.Time) {
	c.startCount++
	c.startID = fmt.Sprintf("%s-%d-%08x", c.config.Name, c.startCount, c.random.Uint32())
	c.advancedTo = now
	c.crashed, c.hung, c.highestFence, c.role = false, false, 0, "mixed"
	c.models = slices.Clone(c.config.Models)
	c.loading = make(map[string]time.Time)
	c.waiting, c.running, c.retained = nil, nil, nil
	c.requests = make(map[requestKey]*request)
	c.totals = Totals{}
	c.cache = newPrefixCache(c.config.CacheBlocks, c.config.EventLoss, c.random)
	c.reports = nil
	c.recordReport(now)
}

// crash drops all requests. The engine answers nothing until Start.
func (c *core) crash() {
	if c.crashed {
		return
	}
	for _, r := range c.requests {
		c.notify(r, progress{crashed: true})
	}
	c.crashed = true
	c.waiting, c.running = nil, nil
	c.requests = make(map[requestKey]*request)
	_ = c.crashes.TryPush(struct{}{}) // never full: at most one crash before Start
}

// admit queues a request, attaches it to the existing run of the same attempt
// if it resumes a stream, or refuses it.
func (c *core) admit(now time.Time, r *request, resume bool) {
	if c.crashed {
		c.notify(r, progress{crashed: true})
		return
	}
	if existing, ok := c.requests[r.key]; ok {
		if !resume {
			c.refuse(r, duplicate)
			return
		}
		c.attach(existing, r)
		return
	}
	if reason := c.admissionRefusal(r); reason != notRefused {
		c.refuse(r, reason)
		return
	}
	c.arrivalCount++
	r.arrival = c.arrivalCount
	c.requests[r.key] = r
	index, _ := slices.BinarySearchFunc(c.waiting, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	c.waiting = slices.Insert(c.waiting, index, r)
	c.fillBatch(now)
}

// admissionRefusal returns why a new request is refused, or notRefused.
func (c *core) admissionRefusal(r *request) refusalReason {
	switch {
	case !c.acceptFence(r.fence):
		return fenced
	case c.leaving:
		return leaving
	case len(c.models) > 0 && !slices.Contains(c.models, r.model):
		return notLoaded
	case len(c.waiting) >= c.config.MaxWaiting:
		return overloaded
	}
	return notRefused
}

// attach directs the progress of an existing request to the handler that
// resumes its stream.
func (c *core) attach(existing, resumed *request) {
	existing.updates = resumed.updates
	existing.disconnectedAt = time.Time{}
	existing.buffered = resumed.buffered
	if existing.phase != ended && !existing.buffered {
		existing.notifyAt = min(existing.totalTokens, int(existing.generated)+1)
	}
	c.notify(existing, c.progressOf(existing))
}

// fillBatch starts waiting requests while the batch has free slots.
func (c *core) fillBatch(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.config.Slots && !c.crashed {
		r := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		if !r.deadline.IsZero() && now.After(r.deadline) {
			c.unregister(r)
			c.refuse(r, pastDeadline)
			continue
		}
		if c.crashMarker != "" && strings.Contains(r.prompt, c.crashMarker) {
			c.crash()
			return
		}
		c.startRun(r)
	}
	c.recordReport(now)
}

// startRun adds a request to the batch.
func (c *core) startRun(r *request) {
	tokens := TokenCount(r.prompt)
	blocks := c.cache.match(r.program, r.blockHashes[:r.promptBlocks])
	r.cachedTokens = min(blocks*c.config.BlockTokens, tokens-1)
	r.prefillRemaining = float64(tokens + r.resumeTokens - r.cachedTokens)
	r.generated = float64(r.resumeTokens)
	r.phase = prefill
	r.notifyAt = r.totalTokens
	if !r.buffered {
		r.notifyAt = min(r.totalTokens, r.resumeTokens+1)
	}
	c.running = append(c.running, r)
	c.totals.Started++
	c.totals.PromptTokens += int64(tokens)
	c.totals.CachedTokens += int64(r.cachedTokens)
}

// handleDisconnect starts the resume window of a request whose client
// disconnected, or cancels the request if there is no window. It ignores a
// handler that another one has replaced since.
func (c *core) handleDisconnect(now time.Time, key requestKey, updates *ring.Ring[progress]) {
	r, ok := c.requests[key]
	if !ok || r.updates != updates || r.phase == ended {
		return
	}
	r.updates = nil
	if c.config.ResumeWindow > 0 {
		r.disconnectedAt = now
		return
	}
	c.remove(now, r, cancelled)
}

// remove takes a request out of the queue or the batch and refuses it with the
// reason.
func (c *core) remove(now time.Time, r *request, reason refusalReason) {
	same := func(other *request) bool { return other == r }
	c.waiting = slices.DeleteFunc(c.waiting, same)
	c.running = slices.DeleteFunc(c.running, same)
	c.unregister(r)
	c.totals.Cancelled++
	c.refuse(r, reason)
	c.fillBatch(now)
}

// unregister removes a request from the index, unless its key now belongs to
// another request.
func (c *core) unregister(r *request) {
	if c.requests[r.key] == r {
		delete(c.requests, r.key)
	}
}

func (c *core) refuse(r *request, reason refusalReason) {
	c.notify(r, progress{tokens: int(r.generated + tokenEpsilon), refusal: reason})
}

func (c *core) progressOf(r *request) progress {
	return progress{tokens: int(r.generated + tokenEpsilon), cachedTokens: r.cachedTokens, done: r.phase == ended}
}

// notify passes progress to the handler, if there is one. It never blocks.
func (c *core) notify(r *request, p progress) {
	if r.updates == nil {
		return
	}
	p.startID = c.startID
	if p.last() || r.updates.Len() < r.updates.Cap()-1 {
		_ = r.updates.TryPush(p) // cannot be full; see progressSlots
	}
}

// acceptFence reports whether a request or order with this fencing number may
// run, and records the number as the highest one if it may.
func (c *core) acceptFence(number uint64) bool {
	if !c.config.ObeyFencing {
		return true
	}
	if number < c.highestFence {
		return false
	}
	c.highestFence = number
	return true
}
