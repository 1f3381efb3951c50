package slopes

import (
	"context"
	"fmt"
	"time"

	"dogwoodline.example/schedule"
)

const (
	// cellServers is the number of backend servers in one queue at the target.
	cellServers = 64
	// longQueue is the queue length that the design page names.
	longQueue = 10_000
	warmSteps = 10_000
	timeSteps = 10_000
	slotsEach = 8
)

// queue keeps a fixed number of calls queued and all slots taken.
type queue struct {
	scheduler schedule.Scheduler
	out       schedule.Decisions
	now       time.Time
	next      int
	running   []schedule.Grant
	oldest    int // in running, which is a ring
	prefixes  [][]uint64
	names     []string
}

func newQueue(servers, queued int) (*queue, error) {
	s, err := schedule.New(schedule.ProgramAware, schedule.Settings{QueueLimit: 1_000_000, MaxNewProgramWait: time.Hour})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	q := &queue{scheduler: s, now: time.Unix(1_000_000, 0)}
	var list []schedule.Backend
	for i := range servers {
		list = append(list, schedule.Backend{ID: schedule.BackendID(fmt.Sprint("b", i)), Pool: "p", Slots: slotsEach})
	}
	s.SetBackends(q.now, list)
	for p := range 1000 {
		blocks := make([]uint64, 32)
		for i := range blocks {
			blocks[i] = uint64(p*100 + i + 1)
		}
		q.prefixes = append(q.prefixes, blocks)
		q.names = append(q.names, fmt.Sprint("program", p))
	}
	for range servers*slotsEach + queued {
		q.submit()
	}
	s.Next(q.now, &q.out)
	q.running = append(q.running, q.out.Grants...)
	q.out.Reset()
	return q, nil
}

func (q *queue) submit() {
	q.next++
	p := q.next * 7919 % 1000
	q.scheduler.Submit(q.now, schedule.Request{
		ID: schedule.CallID(q.next), Pool: "p", Program: q.names[p], Tenant: q.names[p%20], Class: "c", Priority: q.next % 3,
		Attained: int64(q.next%7)*1000 + 1, Prefix: q.prefixes[p], PromptTokens: 8000, MaxTokens: 100,
		Arrived: q.now, Deadline: q.now.Add(time.Hour), Idempotent: true,
	}, &q.out)
}

// step ends the oldest call, submits one and decides.
func (q *queue) step() {
	q.now = q.now.Add(time.Millisecond)
	g := q.running[q.oldest]
	q.scheduler.Finish(q.now, g.ID, g.Backend, schedule.Timing{
		FirstToken: 200 * time.Millisecond, Total: 2 * time.Second, Tokens: 90, PromptTokens: 8000, CachedTokens: 8000,
	})
	q.submit()
	q.scheduler.Next(q.now, &q.out)
	for i, granted := range q.out.Grants {
		if i == 0 {
			q.running[q.oldest] = granted
			q.oldest = (q.oldest + 1) % len(q.running)
		} else {
			q.running = append(q.running, granted)
		}
	}
	q.out.Reset()
}

// decision returns the time of one step in microseconds.
func decision(servers, queued int) ([]float64, error) {
	q, err := newQueue(servers, queued)
	if err != nil {
		return nil, err
	}
	for range warmSteps {
		q.step()
	}
	begin := time.Now()
	for range timeSteps {
		q.step()
	}
	return []float64{microseconds(time.Since(begin), timeSteps)}, nil
}

// measureSchedule measures the time of a decision: end of a call, submission
// of another, and grant.
func measureSchedule(ctx context.Context, _ Options) ([]Slope, error) {
	return runAll(ctx,
		sweep{size: "backend servers", target: targetBackends, sizes: []int{10, 64, 256, 1000}, series: []series{{"decision with 10,000 queued", "us"}},
			measure: func(size int) ([]float64, error) { return decision(size, longQueue) }},
		sweep{size: "queued calls", target: longQueue, sizes: []int{100, 1000, 3000, 10_000}, series: []series{{"decision with 64 backend servers", "us"}},
			measure: func(size int) ([]float64, error) { return decision(cellServers, size) }})
}
