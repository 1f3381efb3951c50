package slopes

import (
	"context"
	"fmt"
	"time"

	"dogwoodline.example/schedule"
)

const (
	// cellBackends is the number of backend servers in a full cell, the part of
	// a pool that shares one queue.
	cellBackends = 64
	// longQueue is the queue length that the system is designed for.
	longQueue       = 10_000
	warmupSteps     = 10_000
	timedSteps      = 10_000
	slotsPerBackend = 8
)

// schedulerBench drives a scheduler so that a fixed number of calls stays queued
// and all slots stay in use.
type schedulerBench struct {
	scheduler schedule.Scheduler
	out       schedule.Decisions
	now       time.Time
	next      int
	running   []schedule.Grant
	oldest    int // index into running, which is used as a ring buffer
	prefixes  [][]uint64
	names     []string
}

// newSchedulerBench fills all slots of the backend servers and queues calls.
func newSchedulerBench(backends, queued int) (*schedulerBench, error) {
	s, err := schedule.New(schedule.ProgramAware, schedule.Settings{QueueLimit: 1_000_000, MaxNewProgramWait: time.Hour})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := &schedulerBench{scheduler: s, now: time.Unix(1_000_000, 0)}
	var list []schedule.Backend
	for i := range backends {
		list = append(list, schedule.Backend{ID: schedule.BackendID(fmt.Sprint("b", i)), Pool: "p", Slots: slotsPerBackend})
	}
	s.SetBackends(b.now, list)
	for p := range 1000 {
		blocks := make([]uint64, 32)
		for i := range blocks {
			blocks[i] = uint64(p*100 + i + 1)
		}
		b.prefixes = append(b.prefixes, blocks)
		b.names = append(b.names, fmt.Sprint("program", p))
	}
	for range backends*slotsPerBackend + queued {
		b.submit()
	}
	s.Next(b.now, &b.out)
	b.running = append(b.running, b.out.Grants...)
	b.out.Reset()
	return b, nil
}

// submit submits a call of one of 1,000 programs.
func (b *schedulerBench) submit() {
	b.next++
	p := b.next * 7919 % 1000
	b.scheduler.Submit(b.now, schedule.Request{
		ID: schedule.CallID(b.next), Pool: "p", Program: b.names[p], Tenant: b.names[p%20], Class: "c", Priority: b.next % 3,
		Attained: int64(b.next%7)*1000 + 1, Prefix: b.prefixes[p], PromptTokens: 8000, MaxTokens: 100,
		Arrived: b.now, Deadline: b.now.Add(time.Hour), Idempotent: true,
	}, &b.out)
}

// step ends the oldest running call, submits another and runs the scheduler.
func (b *schedulerBench) step() {
	b.now = b.now.Add(time.Millisecond)
	g := b.running[b.oldest]
	b.scheduler.Finish(b.now, g.ID, g.Backend, schedule.Timing{
		FirstToken: 200 * time.Millisecond, Total: 2 * time.Second, Tokens: 90, PromptTokens: 8000, CachedTokens: 8000,
	})
	b.submit()
	b.scheduler.Next(b.now, &b.out)
	for i, granted := range b.out.Grants {
		if i == 0 {
			b.running[b.oldest] = granted
			b.oldest = (b.oldest + 1) % len(b.running)
		} else {
			b.running = append(b.running, granted)
		}
	}
	b.out.Reset()
}

// decisionTime returns the time of one step in microseconds.
func decisionTime(backends, queued int) ([]float64, error) {
	b, err := newSchedulerBench(backends, queued)
	if err != nil {
		return nil, err
	}
	for range warmupSteps {
		b.step()
	}
	begin := time.Now()
	for range timedSteps {
		b.step()
	}
	return []float64{microseconds(time.Since(begin), timedSteps)}, nil
}

// measureSchedule measures the time of a scheduling decision: the end of a call,
// the submission of another, and the grant that follows.
func measureSchedule(ctx context.Context, _ Options) ([]Slope, error) {
	return runAll(ctx,
		sweep{size: "backend servers", target: targetBackends, sizes: []int{10, 64, 256, 1000}, series: []series{{"decision with 10,000 queued", "us"}},
			measure: func(size int) ([]float64, error) { return decisionTime(size, longQueue) }},
		sweep{size: "queued calls", target: longQueue, sizes: []int{100, 1000, 3000, 10_000}, series: []series{{"decision with 64 backend servers", "us"}},
			measure: func(size int) ([]float64, error) { return decisionTime(cellBackends, size) }})
}
