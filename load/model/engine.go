package model

import (
	"container/list"

	"dogwoodline.example/load"
	"dogwoodline.example/schedule"
)

// Speeds and sizes of the modelled engines, in seconds and tokens. They are
// typical of one accelerator with a mid-size model and are the same for all
// policies. Package nodes (load/nodes) configures the emulated engines with them.
// Worker in a name means a backend server or one server of a service; an engine
// models one of either.
const (
	// SlotsPerEngine is the number of sequences that an engine decodes at once.
	SlotsPerEngine = 16
	// TokenTimeBase and TokenTimePerSequence add up to the time between two tokens
	// of a sequence: TokenTimeBase plus TokenTimePerSequence for each sequence in
	// the batch.
	TokenTimeBase        = 0.006
	TokenTimePerSequence = 0.0005
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond = 16_000
	blockTokens            = 512 // size of a block of the prefix cache
	// PrefixCacheTokens is the capacity of an engine's prefix cache.
	PrefixCacheTokens = 200_000
	cacheBlocks       = PrefixCacheTokens / blockTokens
	// slotsPerServiceWorker is the number of jobs that an engine of a service
	// runs at once.
	slotsPerServiceWorker = 4
)

// engine models one backend server or one server of a service. A model server
// batches continuously: it prefills one prompt at a time and meanwhile decodes all
// sequences whose prefill is complete. In a service the duration of a job does not
// depend on the other jobs.
type engine struct {
	schedule.Backend
	index        int
	service      bool
	slowFactor   float64                  // multiplies all times; 1 is normal speed
	away         bool                     // its backend server is not in the fleet; never set at present
	batch        []*job                   // the jobs in slots
	queue        []*job                   // waiting for a slot; needed because several nodes may use the same slots
	advancedAt   float64                  // time of the last call of advance
	eventVersion int                      // an event scheduled with an older version has no effect
	blocks       map[uint64]*list.Element // elements of lru by block hash
	lru          *list.List               // block hashes, most recently used first
	cacheEvents  []schedule.CacheEvent    // not yet sent to the schedulers
}

// job is one copy of a call on an engine; a hedged call has more than one.
type job struct {
	call         *call
	engine       *engine
	hedge        bool
	sentAt       float64
	firstTokenAt float64 // 0 before the first token
	prefillLeft  float64 // prompt tokens still to prefill
	outputLeft   float64 // output tokens still to decode; for a service job, seconds
	cachedTokens int     // prompt tokens found in the prefix cache
}

func newEngine(b schedule.Backend, index int, service bool) *engine {
	return &engine{
		Backend: b, index: index, service: service, slowFactor: 1,
		blocks: map[uint64]*list.Element{}, lru: list.New(),
	}
}

// tokenTime returns the seconds between two tokens of a sequence in a batch of
// the given number of sequences.
func tokenTime(sequences int) float64 { return TokenTimeBase + TokenTimePerSequence*float64(sequences) }

// decodeTime returns the seconds that one unit of outputLeft takes: a token, or a
// second of a service job.
func (e *engine) decodeTime() float64 {
	if e.service {
		return e.slowFactor
	}
	return e.slowFactor * tokenTime(len(e.batch))
}

// advance brings all jobs forward to the given time. Callers must call it before
// each change of the batch, because it assumes constant speeds since the last
// call.
func (e *engine) advance(now float64) {
	elapsed := now - e.advancedAt
	e.advancedAt = now
	decodeTime, prefilling := e.decodeTime(), false
	for _, j := range e.batch {
		switch {
		case j.prefillLeft > 0 && !prefilling:
			prefilling = true
			j.prefillLeft -= elapsed * PrefillTokensPerSecond / e.slowFactor
			if j.prefillLeft < 1e-6 {
				j.prefillLeft = 0
				j.firstTokenAt = now
				e.cachePrefix(j.call.prefix)
			}
		case j.prefillLeft == 0:
			j.outputLeft -= elapsed / decodeTime
		}
	}
}

// nextEvent returns the seconds until the first prefill or job ends. It returns
// false if nothing runs.
func (e *engine) nextEvent() (float64, bool) {
	if len(e.batch) == 0 {
		return 0, false
	}
	shortest, prefilling := -1.0, false
	for _, j := range e.batch {
		var wait float64
		switch {
		case j.prefillLeft > 0 && prefilling:
			continue
		case j.prefillLeft > 0:
			prefilling = true
			wait = j.prefillLeft / PrefillTokensPerSecond * e.slowFactor
		default:
			wait = j.outputLeft * e.decodeTime()
		}
		if shortest < 0 || wait < shortest {
			shortest = max(wait, 0)
		}
	}
	return shortest, true
}

// admit moves queued jobs into free slots of the batch and returns them.
func (e *engine) admit() []*job {
	var started []*job
	for len(e.queue) > 0 && len(e.batch) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.batch = append(e.batch, j)
		started = append(started, j)
		step := j.call.step
		if e.service {
			j.outputLeft = step.Duration.Seconds()
			continue
		}
		j.outputLeft = float64(step.OutputTokens)
		// At least one token is prefilled, because the end of the prefill yields the
		// first output token.
		j.cachedTokens = min(e.matchingBlocks(j.call.prefix)*blockTokens, j.call.promptTokens-1)
		e.cachePrefix(j.call.prefix[:j.cachedTokens/blockTokens]) // marks the blocks as recently used
		j.prefillLeft = float64(j.call.promptTokens - j.cachedTokens)
	}
	return started
}

// matchingBlocks returns the number of leading blocks of a prefix that the
// engine has cached.
func (e *engine) matchingBlocks(prefix []uint64) int {
	for i, hash := range prefix {
		if e.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// cachePrefix caches the blocks of a prefix and evicts the least recently used ones
// beyond the capacity. The first block counts as the most recently used, so that
// prefixes are evicted from their end.
func (e *engine) cachePrefix(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		if element := e.blocks[hash]; element != nil {
			e.lru.MoveToFront(element)
			continue
		}
		e.blocks[hash] = e.lru.PushFront(hash)
		e.cacheEvents = append(e.cacheEvents, schedule.CacheEvent{Backend: e.ID, Hash: hash})
	}
	for e.lru.Len() > cacheBlocks {
		oldest := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.blocks, oldest)
		e.cacheEvents = append(e.cacheEvents, schedule.CacheEvent{Backend: e.ID, Hash: oldest, Evicted: true})
	}
}

// clearCache empties the prefix cache, as a restart does. It adds no cache events
// and drops those not yet sent.
func (e *engine) clearCache() {
	e.blocks, e.cacheEvents = map[uint64]*list.Element{}, nil
	e.lru.Init()
}

// remove takes a job out of the batch or the queue.
func (e *engine) remove(j *job) {
	for _, jobs := range []*[]*job{&e.batch, &e.queue} {
		for i, other := range *jobs {
			if other == j {
				*jobs = append((*jobs)[:i:i], (*jobs)[i+1:]...)
				return
			}
		}
	}
}

// generatedTokens returns the number of output tokens of a job so far. A token
// that is partly decoded does not count.
func (j *job) generatedTokens() int {
	if j.firstTokenAt == 0 {
		return 0
	}
	return max(1, j.call.step.OutputTokens-int(j.outputLeft+0.999))
}

// StepWork returns the capacity that a step needs on an engine with a model, in
// engine-seconds, if all slots are in use and all earlier tokens of the program
// are cached. It is 0 for service calls.
func StepWork(s *load.Step) float64 {
	if s.Kind != load.Model {
		return 0
	}
	return (float64(s.OutputTokens)*tokenTime(SlotsPerEngine) + float64(s.InputTokens)/PrefillTokensPerSecond) / SlotsPerEngine
}

// programWork returns the work of all steps of a program and its sub-agents.
func programWork(p *load.Program) float64 {
	total := 0.0
	for i := range p.Steps {
		total += StepWork(&p.Steps[i])
		for _, child := range p.Steps[i].Children {
			total += programWork(child)
		}
	}
	return total
}
