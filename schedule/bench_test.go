package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodline.example/schedule"
)

// steadyLoad keeps a fixed number of calls queued and running.
type steadyLoad struct {
	scheduler schedule.Scheduler
	out       schedule.Decisions
	now       time.Time
	id        int
	granted   []schedule.Grant
	prefixes  [][]uint64
	names     []string
}

func newSteadyLoad(policy string, servers, queued int) *steadyLoad {
	s, _ := schedule.New(policy, schedule.Settings{QueueLimit: 1_000_000, MaxNewProgramWait: time.Hour})
	l := &steadyLoad{scheduler: s, now: start}
	var list []schedule.Backend
	for i := range servers {
		list = append(list, schedule.Backend{ID: schedule.BackendID(fmt.Sprint("b", i)), Pool: "p", Slots: 8})
	}
	s.SetBackends(start, list)
	for program := range 1000 {
		blocks := make([]uint64, 32)
		for i := range blocks {
			blocks[i] = uint64(program*100 + i + 1)
		}
		l.prefixes = append(l.prefixes, blocks)
		l.names = append(l.names, fmt.Sprint("program", program))
	}
	for range servers*8 + queued {
		l.submit()
	}
	l.next()
	return l
}

func (l *steadyLoad) submit() {
	l.id++
	r := request(l.id)
	program := l.id * 7919 % 1000
	r.Program, r.Prefix, r.Tenant = l.names[program], l.prefixes[program], l.names[program%20]
	r.PromptTokens, r.Priority, r.Attained = 8000, l.id%3, int64(l.id%7)*1000+1
	r.Arrived, r.Deadline = l.now, l.now.Add(time.Hour)
	l.scheduler.Submit(l.now, r, &l.out)
}

func (l *steadyLoad) next() {
	l.scheduler.Next(l.now, &l.out)
	l.granted = append(l.granted, l.out.Grants...)
	l.out.Reset()
}

// step ends one call, submits another and calls Next.
func (l *steadyLoad) step() {
	l.now = l.now.Add(time.Millisecond)
	if len(l.granted) > 0 {
		g := l.granted[0]
		copy(l.granted, l.granted[1:])
		l.granted = l.granted[:len(l.granted)-1]
		l.scheduler.Finish(l.now, g.ID, g.Backend, schedule.Timing{
			FirstToken: 200 * time.Millisecond, Total: 2 * time.Second, Tokens: 90, PromptTokens: 8000, CachedTokens: 8000,
		})
	}
	l.submit()
	l.next()
}

func BenchmarkDecision(b *testing.B) {
	for _, policy := range []string{schedule.LeastOutstanding, schedule.ProgramAware} {
		for _, servers := range []int{10, 64, 1000} {
			for _, queued := range []int{100, 10_000} {
				b.Run(fmt.Sprintf("%s/backends=%d/queued=%d", policy, servers, queued), func(b *testing.B) {
					l := newSteadyLoad(policy, servers, queued)
					for range 20_000 {
						l.step()
					}
					b.ReportAllocs()
					for b.Loop() {
						l.step()
					}
					b.ReportMetric(float64(l.scheduler.Waiting()), "waiting")
				})
			}
		}
	}
}

// Guards against allocations in the steady state: a decision with 10,000 queued
// calls must not allocate. A rare allocation when a map rehashes does not count,
// because AllocsPerRun rounds the average down.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	l := newSteadyLoad(schedule.ProgramAware, 64, 10_000)
	for range 30_000 {
		l.step()
	}
	if allocations := testing.AllocsPerRun(5000, l.step); allocations != 0 {
		t.Fatalf("%v allocations per step", allocations)
	}
}
