package schedule_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// fixture drives a program-aware scheduler over one pool.
type fixture struct {
	schedule.Scheduler
	out schedule.Decisions
	now time.Time
	id  int
}

func newFixture(settings schedule.Settings, slots int, ids ...schedule.BackendID) *fixture {
	f := &fixture{Scheduler: create(schedule.ProgramAware, settings), now: start}
	list := backends(ids...)
	for i := range list {
		list[i].Slots = slots
	}
	f.SetBackends(start, list)
	return f
}

// submit submits a call, changed by edit, and returns its ID.
func (f *fixture) submit(edit func(*schedule.Request)) schedule.CallID {
	f.id++
	r := request(f.id)
	r.Arrived, r.Deadline = f.now, f.now.Add(time.Minute)
	if edit != nil {
		edit(&r)
	}
	f.Submit(f.now, r, &f.out)
	return r.ID
}

// decide calls Next and returns the new grants.
func (f *fixture) decide() []schedule.Grant {
	before := len(f.out.Grants)
	f.Next(f.now, &f.out)
	return f.out.Grants[before:]
}

func (f *fixture) advance(ms int) { f.now = f.now.Add(time.Duration(ms) * time.Millisecond) }

// timing returns a plausible measurement with the given time between tokens.
func timing(tokenMS int) schedule.Timing {
	const tokens = 20
	first := 200 * time.Millisecond
	return schedule.Timing{
		FirstToken: first, Tokens: tokens, PromptTokens: 1000,
		Total: first + time.Duration((tokens-1)*tokenMS)*time.Millisecond,
	}
}

// runCalls runs rounds of four calls to their end. Backend servers listed as
// slow take five times the usual time between tokens.
func (f *fixture) runCalls(rounds int, slow ...schedule.BackendID) {
	for range rounds {
		for range 4 {
			f.submit(nil)
		}
		grants := append([]schedule.Grant(nil), f.decide()...)
		f.advance(3000)
		for _, g := range grants {
			ms := 20
			for _, id := range slow {
				if g.Backend == id {
					ms = 100
				}
			}
			f.Finish(f.now, g.ID, g.Backend, timing(ms))
		}
	}
}

func prefix(hashes ...uint64) func(*schedule.Request) {
	return func(r *schedule.Request) { r.Prefix = hashes }
}

var _ = Describe("program-aware", func() {
	four := []schedule.BackendID{"a", "b", "c", "d"}

	It("sends a call to the backend server that has its prefix cached", func() {
		f := newFixture(schedule.Settings{}, 2, four...)
		f.submit(prefix(1, 2))
		f.submit(prefix(1, 3))
		grants := f.decide()
		cachedOn := grants[1].Backend
		for _, g := range grants {
			f.Finish(f.now, g.ID, g.Backend, timing(20))
		}
		f.submit(prefix(1, 3, 4))
		Expect(f.decide()[0].Backend).To(Equal(cachedOn))
	})

	It("uses cache events, and drops a block after its eviction", func() {
		f := newFixture(schedule.Settings{}, 2, four...)
		f.ApplyCacheEvent(f.now, schedule.CacheEvent{Backend: "c", Hash: 7})
		f.submit(prefix(7))
		Expect(f.decide()[0].Backend).To(BeEquivalentTo("c"))
		f.ApplyCacheEvent(f.now, schedule.CacheEvent{Backend: "c", Hash: 7, Evicted: true})
		f.submit(prefix(7))
		Expect(f.decide()[0].Backend).NotTo(BeEquivalentTo("c"))
	})

	DescribeTable("waits for a busy cache-warm backend server only when recomputing costs more",
		func(promptTokens int, waits bool) {
			f := newFixture(schedule.Settings{}, 4, "a", "b")
			large := func(r *schedule.Request) { r.Prefix, r.PromptTokens = []uint64{1, 2}, promptTokens }
			for range 4 {
				f.Adopt(f.now, schedule.Request{ID: schedule.CallID(100 + f.id), Pool: "p", Program: "x", Deadline: at(60_000)}, "a")
				f.id++
			}
			f.ApplyCacheEvent(f.now, schedule.CacheEvent{Backend: "a", Hash: 1})
			f.ApplyCacheEvent(f.now, schedule.CacheEvent{Backend: "a", Hash: 2})
			f.submit(large)
			Expect(f.decide()).To(HaveLen(map[bool]int{true: 0, false: 1}[waits]))
			f.now = f.NextWake()
			f.advance(2000) // the wait is at most maxParkTime
			f.decide()
			Expect(f.Waiting()).To(BeZero())
		},
		Entry("long prompt", 50_000, true),
		Entry("short prompt", 100, false),
	)

	It("sends only single probes to a slowed backend server, and uses it again when it recovers", func() {
		f := newFixture(schedule.Settings{}, 4, four...)
		f.runCalls(4)
		f.runCalls(3, "b")
		for range 12 {
			f.submit(func(r *schedule.Request) { r.Idempotent = false })
		}
		onSlow, running := 0, f.decide()
		for _, g := range running {
			if g.Backend == "b" {
				onSlow++
			}
		}
		Expect(running).To(HaveLen(12))
		Expect(onSlow).To(BeNumerically("<=", 1))
		for _, g := range running {
			f.Finish(f.now, g.ID, g.Backend, timing(20))
		}
		f.runCalls(12)
		for range 16 {
			f.submit(nil)
		}
		Expect(f.decide()).To(HaveLen(16))
	})

	It("excludes no backend server when all are slow", func() {
		f := newFixture(schedule.Settings{}, 4, four...)
		f.runCalls(4)
		f.runCalls(6, four...)
		for range 16 {
			f.submit(nil)
		}
		Expect(f.decide()).To(HaveLen(16))
	})

	// startStuckCall starts one call on a backend server that then slows down,
	// after the given rounds of calls of ordinary speed.
	startStuckCall := func(idempotent bool, rounds int) (*fixture, schedule.Grant) {
		f := newFixture(schedule.Settings{}, 4, four...)
		f.runCalls(rounds)
		f.submit(func(r *schedule.Request) { r.Idempotent, r.MaxTokens = idempotent, 20 })
		g := f.decide()[0]
		for i := range 4 {
			f.advance(250)
			f.Progress(f.now, g.ID, g.Backend, schedule.Timing{
				FirstToken: 200 * time.Millisecond, Total: time.Duration(i+1) * 250 * time.Millisecond, Tokens: 1 + i,
			})
			f.decide()
		}
		return f, g
	}

	It("hedges an idempotent call that is stuck on a slowed backend server", func() {
		f, g := startStuckCall(true, 40)
		last := f.out.Grants[len(f.out.Grants)-1]
		Expect(last.ID).To(Equal(g.ID))
		Expect(last.Hedge).To(BeTrue())
		Expect(last.Backend).NotTo(Equal(g.Backend))
	})

	It("hedges neither non-idempotent calls nor beyond the allowed share of extra work", func() {
		for _, f := range []func() (*fixture, schedule.Grant){
			func() (*fixture, schedule.Grant) { return startStuckCall(false, 40) },
			func() (*fixture, schedule.Grant) { return startStuckCall(true, 0) },
		} {
			fixture, _ := f()
			Expect(fixture.out.Grants[len(fixture.out.Grants)-1].Hedge).To(BeFalse())
		}
	})

	It("empties a backend server for an isolated call and keeps other calls away", func() {
		f := newFixture(schedule.Settings{}, 2, "a")
		f.submit(nil)
		first := f.decide()[0]
		alone := f.submit(func(r *schedule.Request) { r.Isolated = true })
		f.submit(nil)
		Expect(f.decide()).To(BeEmpty())
		f.Finish(f.now, first.ID, "a", timing(20))
		grants := f.decide()
		Expect(grants).To(HaveLen(1))
		Expect(grants[0].ID).To(Equal(alone))
		f.Finish(f.now, alone, "a", timing(20))
		Expect(f.decide()).To(HaveLen(1))
	})

	It("orders by priority, then tenant share, then attained service", func() {
		f := newFixture(schedule.Settings{TenantWeights: map[string]float64{"heavy": 3}}, 1, "a")
		f.submit(nil)
		running := f.decide()[0].ID
		old := f.submit(func(r *schedule.Request) { r.Attained = 20_000 })
		fresh := f.submit(func(r *schedule.Request) { r.Attained = 100 })
		other := f.submit(func(r *schedule.Request) { r.Tenant = "heavy" })
		urgent := f.submit(func(r *schedule.Request) { r.Priority = 1 })
		var order []schedule.CallID
		for range 4 {
			f.Finish(f.now, running, "a", timing(20))
			running = f.decide()[0].ID
			order = append(order, running)
		}
		Expect(order).To(Equal([]schedule.CallID{urgent, other, fresh, old}))
	})

	It("refuses calls of new programs before those of running ones, and suggests when to retry", func() {
		f := newFixture(schedule.Settings{QueueLimit: 10}, 1, "a")
		f.submit(nil)
		f.decide()
		for range 9 {
			f.submit(func(r *schedule.Request) { r.Attained = 1 })
		}
		f.submit(nil)
		Expect(f.out.Refusals).To(HaveLen(1))
		Expect(f.out.Refusals[0].Outcome.Code).To(Equal(outcome.NotRun))
		Expect(f.out.Refusals[0].Outcome.Reason).To(Equal(outcome.Overloaded))
		Expect(f.out.Refusals[0].Outcome.RetryAfterMS).To(BeNumerically(">=", 100))
		f.submit(func(r *schedule.Request) { r.Attained, r.Tenant = 1, "other" })
		Expect(f.out.Refusals).To(HaveLen(1))
	})

	It("refuses a tenant beyond its fair share of a half-full queue, and a deadline that cannot be met", func() {
		f := newFixture(schedule.Settings{QueueLimit: 20}, 1, "a")
		f.submit(func(r *schedule.Request) { r.Tenant = "small" })
		f.decide()
		f.submit(func(r *schedule.Request) { r.Tenant, r.Attained = "small", 1 })
		for range 12 {
			f.submit(func(r *schedule.Request) { r.Attained = 1 })
		}
		Expect(f.out.Refusals).To(HaveLen(3), "the fair share is enforced from 10 of 20 waiting calls on")
		f.submit(func(r *schedule.Request) { r.Tenant, r.Attained = "small", 1 })
		Expect(f.out.Refusals).To(HaveLen(3))
		f.submit(func(r *schedule.Request) {
			r.Tenant, r.Attained, r.Deadline = "small", 1, f.now.Add(time.Second)
		})
		Expect(f.out.Refusals).To(HaveLen(4))
	})

	It("partitions a large pool and uses all of its backend servers", func() {
		var ids []schedule.BackendID
		for i := range 150 {
			ids = append(ids, schedule.BackendID(rune('A'+i)))
		}
		f := newFixture(schedule.Settings{}, 1, ids...)
		for i := range 100 {
			f.submit(func(r *schedule.Request) { r.Program = string(rune('A' + i)) })
		}
		Expect(len(f.decide())).To(BeNumerically(">=", 90))
		f.SetBackends(f.now, backends(ids[0]))
		Expect(f.Waiting() + len(f.out.Grants) + len(f.out.Refusals)).To(Equal(100))
	})
})
