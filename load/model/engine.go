package model

import (
	"container/list"

	"dogwoodline.example/load"
	"dogwoodline.example/schedule"
)

// Speeds of the modelled engines, in seconds and tokens. They are typical for
// one accelerator with a mid-size model and are the same for all policies.
// Package nodes gives them to the engine stand-ins.
const (
	SlotsPerWorker   = 16
	TokenBase        = 0.006  // between tokens of a single sequence
	TokenPerSequence = 0.0005 // added for each further sequence
	PrefillPerSecond = 16_000
	blockTokens      = 512
	// CacheTokens is the size of the prefix cache.
	CacheTokens        = 200_000
	cacheBlocks        = CacheTokens / blockTokens
	slotsPerServiceJob = 4
)

// engine models one backend server: a continuous batch with a shared
// prefill, or a service whose jobs take a fixed time each.
type engine struct {
	schedule.Backend
	index   int
	service bool
	slow    float64 // factor of all times
	away    bool    // has left
	batch   []*job
	queue   []*job // beyond the slots, when several nodes send
	last    float64
	version int // of the scheduled event
	blocks  map[uint64]*list.Element
	recent  *list.List // of block hashes, most recently used first
	events  []schedule.CacheEvent
}

// job is one copy of a call on an engine.
type job struct {
	call    *call
	engine  *engine
	hedge   bool
	sent    float64
	first   float64 // time of the first token, 0 before
	prefill float64 // tokens left
	left    float64 // output tokens, or seconds of a service job
	cached  int
}

func newEngine(b schedule.Backend, index int, service bool) *engine {
	return &engine{
		Backend: b, index: index, service: service, slow: 1,
		blocks: map[uint64]*list.Element{}, recent: list.New(),
	}
}

// tokenTime returns the seconds between tokens of each sequence.
func tokenTime(batch int) float64 { return TokenBase + TokenPerSequence*float64(batch) }

func (e *engine) unit() float64 {
	if e.service {
		return e.slow
	}
	return e.slow * tokenTime(len(e.batch))
}

// advance moves all jobs to the given time. Nothing starts or ends between
// two calls of it.
func (e *engine) advance(now float64) {
	passed := now - e.last
	e.last = now
	unit, prefilling := e.unit(), false
	for _, j := range e.batch {
		switch {
		case j.prefill > 0 && !prefilling:
			prefilling = true
			j.prefill -= passed * PrefillPerSecond / e.slow
			if j.prefill < 1e-6 {
				j.prefill = 0
				j.first = now
				e.store(j.call.prefix)
			}
		case j.prefill == 0:
			j.left -= passed / unit
		}
	}
}

// nextChange returns the seconds until a prefill or a job ends.
func (e *engine) nextChange() (float64, bool) {
	if len(e.batch) == 0 {
		return 0, false
	}
	least, prefilling := -1.0, false
	for _, j := range e.batch {
		var in float64
		switch {
		case j.prefill > 0 && prefilling:
			continue
		case j.prefill > 0:
			prefilling = true
			in = j.prefill / PrefillPerSecond * e.slow
		default:
			in = j.left * e.unit()
		}
		if least < 0 || in < least {
			least = max(in, 0)
		}
	}
	return least, true
}

// admit moves queued jobs into the batch. It returns those that started.
func (e *engine) admit() []*job {
	var started []*job
	for len(e.queue) > 0 && len(e.batch) < e.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.batch = append(e.batch, j)
		started = append(started, j)
		step := j.call.step
		if e.service {
			j.left = step.Duration.Seconds()
			continue
		}
		j.left = float64(step.OutputTokens)
		j.cached = min(e.match(j.call.prefix)*blockTokens, j.call.prompt-1)
		e.store(j.call.prefix[:j.cached/blockTokens])
		j.prefill = float64(j.call.prompt - j.cached)
	}
	return started
}

// match returns the number of leading blocks that the engine has cached.
func (e *engine) match(prefix []uint64) int {
	for i, hash := range prefix {
		if e.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// store caches blocks, the last one as the least recently used of them.
func (e *engine) store(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		if element := e.blocks[hash]; element != nil {
			e.recent.MoveToFront(element)
			continue
		}
		e.blocks[hash] = e.recent.PushFront(hash)
		e.events = append(e.events, schedule.CacheEvent{Backend: e.ID, Hash: hash})
	}
	for e.recent.Len() > cacheBlocks {
		oldest := e.recent.Remove(e.recent.Back()).(uint64)
		delete(e.blocks, oldest)
		e.events = append(e.events, schedule.CacheEvent{Backend: e.ID, Hash: oldest, Evicted: true})
	}
}

func (e *engine) forget() {
	e.blocks, e.events = map[uint64]*list.Element{}, nil
	e.recent.Init()
}

func (e *engine) drop(j *job) {
	for _, jobs := range []*[]*job{&e.batch, &e.queue} {
		for i, other := range *jobs {
			if other == j {
				*jobs = append((*jobs)[:i:i], (*jobs)[i+1:]...)
				return
			}
		}
	}
}

// generated returns the tokens that a job produced so far.
func (j *job) generated() int {
	if j.first == 0 {
		return 0
	}
	return max(1, j.call.step.OutputTokens-int(j.left+0.999))
}

// Work is the part of a worker's capacity that a step needs when all
// earlier tokens are cached, in worker-seconds.
func Work(s *load.Step) float64 {
	if s.Kind != load.Model {
		return 0
	}
	return (float64(s.OutputTokens)*tokenTime(SlotsPerWorker) + float64(s.InputTokens)/PrefillPerSecond) / SlotsPerWorker
}

func programWork(p *load.Program) float64 {
	total := 0.0
	for i := range p.Steps {
		total += Work(&p.Steps[i])
		for _, child := range p.Steps[i].Children {
			total += programWork(child)
		}
	}
	return total
}
