package waitqueue_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"dogwoodline.example/urgency"
	"dogwoodline.example/waitqueue"
)

// kind is a kind of program in a simulated burst.
type kind struct {
	name  string
	level int
	turns int     // mean
	rate  float64 // programs per second in calm times
}

// burst multiplies the load of some kinds at some fronts for a time.
type burst struct {
	factor   float64
	from, to time.Duration
	kinds    map[string]bool // nil for all
	zone     bool            // only at half of the fronts
}

const (
	// simulatedScale is how many times as large as the small one the large deployment is,
	// where each front sees few calls.
	simulatedScale = 4
	smallFronts    = 4
	largeFronts    = 64
	smallSlots     = 40
	turnTime       = 200 * time.Millisecond
	pauseTime      = 100 * time.Millisecond
)

// tally is what became of the programs of one kind that arrived in the burst.
type tally struct{ programs, value, refused, failed float64 }

type event struct {
	at time.Time
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// simulatedProgram is a program that makes its turns one after the other.
type simulatedProgram struct {
	kind      kind
	number    int
	turn      int
	turns     int
	began     time.Time
	objective time.Duration
	retries   int
	inBurst   bool
}

// simulation plays fronts that know how many slots are free in front of one pool of
// servers, and clients that return once or twice when they are refused.
type simulation struct {
	ordered   bool // false: first come, first served, nothing refused
	now       time.Time
	random    *rand.Rand
	events    events
	running   int
	atServers []func() // calls that wait at the servers, sent by fronts that took the slots for free
	seen      int      // calls at the servers when the fronts last told each other
	fronts    []*simulatedFront
	slots     int
	scale     float64
	results   map[string]*tally
	waiting   []int // at all fronts, sampled each 100 ms
	refusals  []int // in each 100 ms
	startedAt time.Time
}

type simulatedFront struct {
	share     waitqueue.Share
	own       int // its calls at the servers
	seenOwn   int // the same when the fronts last told each other
	queue     *waitqueue.Queue[*simulatedProgram]
	returns   waitqueue.Returns
	estimates *urgency.Estimates
	plain     []*simulatedProgram
}

func simulate(seed uint64, ordered, large bool, kinds []kind, b burst, length time.Duration) *simulation {
	s := &simulation{ordered: ordered, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), results: map[string]*tally{}}
	s.startedAt, s.slots, s.scale, s.fronts = s.now, smallSlots, 1, make([]*simulatedFront, smallFronts)
	if large {
		s.slots, s.scale, s.fronts = simulatedScale*smallSlots, simulatedScale, make([]*simulatedFront, largeFronts)
	}
	for i := range s.fronts {
		s.fronts[i] = &simulatedFront{queue: waitqueue.New[*simulatedProgram](), estimates: urgency.New()}
	}
	for _, k := range kinds {
		s.results[k.name] = &tally{}
		for f := range s.fronts {
			s.arrive(k, f, b, length)
		}
	}
	for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
		s.after(at, s.sample)
	}
	for at := time.Duration(0); at < length+10*time.Second; at += 250 * time.Millisecond {
		s.after(at, s.tell)
	}
	for at := time.Duration(0); at < length+10*time.Second; at += 20 * time.Millisecond {
		s.after(at, func() {
			for _, f := range s.fronts {
				s.refuseLate(f)
			}
			s.fill()
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *simulation) after(wait time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.now.Add(wait), do: do})
}

func (s *simulation) sample() {
	total := 0
	for _, f := range s.fronts {
		total += f.queue.Len() + len(f.plain)
	}
	s.waiting = append(s.waiting, total)
	s.refusals = append(s.refusals, 0)
}

// arrive lets the next program of a kind arrive at a front.
func (s *simulation) arrive(k kind, front int, b burst, length time.Duration) {
	at := s.now.Sub(s.startedAt)
	rate := k.rate * s.scale / float64(len(s.fronts))
	active := at >= b.from && at < b.to
	if active && (b.kinds == nil || b.kinds[k.name]) && (!b.zone || 2*front < len(s.fronts)) {
		rate *= b.factor
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if at+wait > length {
		return
	}
	s.after(wait, func() {
		turns := max(1, k.turns+s.random.IntN(3)-1)
		at := s.now.Sub(s.startedAt)
		p := &simulatedProgram{kind: k, number: s.random.Int(), turns: turns, began: s.now, inBurst: at >= b.from && at < b.to+2*time.Second}
		ideal := time.Duration(turns)*turnTime + time.Duration(turns-1)*pauseTime
		p.objective = ideal*18/10 + time.Duration(turns)*24*time.Millisecond + 200*time.Millisecond
		s.send(p, front)
		s.arrive(k, front, b, length)
	})
}

func (s *simulation) call(p *simulatedProgram) urgency.Call {
	return urgency.Call{
		Route: p.kind.name, Program: strconv.Itoa(p.number), Turn: p.turn, Arrived: s.now, Deadline: s.now.Add(3 * time.Second),
		FinishWithin: p.objective - s.now.Sub(p.began),
	}
}

// send sends the next turn of a program to a front.
func (s *simulation) send(p *simulatedProgram, front int) {
	f := s.fronts[front]
	if !s.ordered {
		f.plain = append(f.plain, p)
		s.fill()
		return
	}
	call := s.call(p)
	a := f.estimates.Assess(call, s.now)
	if p.turn == 0 {
		start := waitqueue.Start{Level: p.kind.level, Levels: 2, Utilization: float64(s.running) / float64(s.slots), Slack: a.Slack(s.now), Calls: 1 + a.FurtherTurns}
		if wait, ok := f.queue.MayStart(start, s.now); !ok {
			s.refuse(p, f, wait)
			return
		}
		f.returns.Started(s.now)
	}
	f.queue.Push(waitqueue.Entry[*simulatedProgram]{
		Level: p.kind.level, Urgency: a, StartsProgram: p.turn == 0, Arrived: s.now, Latest: call.Deadline.Add(-a.CallTime), Value: p,
	}, s.now)
	s.fill()
}

func (s *simulation) refuseLate(f *simulatedFront) {
	for _, e := range f.queue.Refuse(s.now) {
		s.refuse(e.Value, f, e.Wait)
	}
}

// refuse lets a client return to a random front, twice at most.
func (s *simulation) refuse(p *simulatedProgram, f *simulatedFront, wait time.Duration) {
	if n := len(s.refusals); n > 0 {
		s.refusals[n-1]++
	}
	if p.retries == 2 {
		s.end(p, false)
		return
	}
	p.retries++
	s.after(f.returns.Reserve(p.kind.level, wait, time.Second, s.random.Float64(), s.now), func() { s.send(p, s.random.IntN(len(s.fronts))) })
}

// fill sends waiting calls while slots are free, from fronts in random order. In the large
// deployment a front knows of the others what they told each other up to 250 ms ago.
func (s *simulation) fill() {
	for _, i := range s.random.Perm(len(s.fronts)) {
		f := s.fronts[i]
		for s.mayTake(f) {
			var p *simulatedProgram
			if len(f.plain) > 0 {
				p, f.plain = f.plain[0], f.plain[1:]
			} else if e, ok := f.queue.Pop(s.now); ok {
				p = e.Value
			}
			if p == nil {
				break
			}
			s.run(p, f)
		}
	}
}

func (s *simulation) mayTake(f *simulatedFront) bool {
	if len(s.fronts) == smallFronts {
		return s.running < s.slots
	}
	return f.queue.Len() > 0 && f.share.MayTake(float64(s.slots), s.seen-f.seenOwn+f.own, f.own, len(s.fronts), s.random.Float64(), s.now)
}

// tell lets the fronts know how many calls all of them have at the servers.
func (s *simulation) tell() {
	s.seen = 0
	for _, f := range s.fronts {
		s.seen += f.own
		f.seenOwn = f.own
	}
}

func (s *simulation) run(p *simulatedProgram, f *simulatedFront) {
	f.own++
	if s.running >= s.slots {
		s.atServers = append(s.atServers, func() { s.begin(p, f) })
		return
	}
	s.begin(p, f)
}

func (s *simulation) begin(p *simulatedProgram, f *simulatedFront) {
	s.running++
	call, started := s.call(p), s.now
	s.after(time.Duration((0.5+s.random.Float64())*float64(turnTime)), func() {
		s.running--
		f.own--
		if len(s.atServers) > 0 {
			next := s.atServers[0]
			s.atServers = s.atServers[1:]
			next()
		}
		f.estimates.Ended(call, started, s.now)
		p.turn++
		if p.turn == p.turns {
			s.end(p, true)
		} else {
			s.after(time.Duration((0.5+s.random.Float64())*float64(pauseTime)), func() { s.send(p, s.random.IntN(len(s.fronts))) })
		}
		s.fill()
	})
}

func (s *simulation) end(p *simulatedProgram, complete bool) {
	if !p.inBurst {
		return
	}
	t, took := s.results[p.kind.name], s.now.Sub(p.began)
	t.programs++
	switch {
	case !complete && p.turn == 0:
		t.refused++
	case !complete:
		t.failed++
	case took <= p.objective:
		t.value++
	case took <= 2*p.objective:
		t.value += 0.5
	}
}
