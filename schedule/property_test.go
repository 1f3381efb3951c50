package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodline.example/schedule"
)

// model tracks the state that a scheduler should have, and checks every
// decision against it.
type model struct {
	t         *rapid.T
	scheduler schedule.Scheduler
	now       time.Time
	backends  []schedule.Backend
	waiting   map[schedule.CallID]schedule.Request
	running   map[schedule.CallID][]schedule.BackendID
	requests  map[schedule.CallID]schedule.Request
	nextID    schedule.CallID
}

// apply checks decisions and updates the model with them.
func (m *model) apply(out *schedule.Decisions) {
	for _, r := range out.Refusals {
		if _, ok := m.waiting[r.ID]; !ok {
			m.t.Fatalf("call %d was refused but is not waiting", r.ID)
		}
		delete(m.waiting, r.ID)
	}
	for _, g := range out.Grants {
		m.grant(g)
	}
	if m.scheduler.Waiting() != len(m.waiting) {
		m.t.Fatalf("Waiting() = %d, want %d", m.scheduler.Waiting(), len(m.waiting))
	}
}

func (m *model) grant(g schedule.Grant) {
	r := m.requests[g.ID]
	_, waits := m.waiting[g.ID]
	if waits == g.Hedge {
		m.t.Fatalf("grant %+v: call is waiting = %v, want the opposite of Hedge", g, waits)
	}
	if g.Hedge && (!r.Idempotent || r.Isolated || len(m.running[g.ID]) != 1 || m.running[g.ID][0] == g.Backend) {
		m.t.Fatalf("invalid hedge %+v of %+v, which runs on %v", g, r, m.running[g.ID])
	}
	i := slices.IndexFunc(m.backends, func(b schedule.Backend) bool { return b.ID == g.Backend })
	if i < 0 || m.backends[i].Leaving || m.backends[i].Pool != r.Pool || slices.Contains(r.Exclude, g.Backend) {
		m.t.Fatalf("grant %+v to a backend server that must not run the call", g)
	}
	delete(m.waiting, g.ID)
	others := m.runningOn(g.Backend)
	m.running[g.ID] = append(m.running[g.ID], g.Backend)
	if len(others)+1 > m.backends[i].Slots {
		m.t.Fatalf("grant %+v exceeds %d slots", g, m.backends[i].Slots)
	}
	for _, other := range others {
		if r.Isolated || m.requests[other].Isolated {
			m.t.Fatalf("grant %+v shares a backend server with call %d, but one of them must run alone", g, other)
		}
	}
}

// runningOn returns the calls that run on a backend server.
func (m *model) runningOn(backend schedule.BackendID) []schedule.CallID {
	var ids []schedule.CallID
	for id, copies := range m.running {
		if slices.Contains(copies, backend) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *model) next() {
	out := &schedule.Decisions{}
	m.scheduler.Next(m.now, out)
	m.apply(out)
}

func (m *model) submit() {
	m.nextID++
	r := schedule.Request{
		ID: m.nextID, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(m.t, "pool"),
		Program: fmt.Sprint(rapid.IntRange(0, 5).Draw(m.t, "program")),
		Tenant:  rapid.SampledFrom([]string{"t", "u", "v"}).Draw(m.t, "tenant"), Class: "c",
		Priority: rapid.IntRange(0, 2).Draw(m.t, "priority"),
		Attained: rapid.Int64Range(0, 50_000).Draw(m.t, "attained"),
		Prefix:   []uint64{1, uint64(rapid.IntRange(2, 6).Draw(m.t, "prefix"))}, PromptTokens: 2000,
		MaxTokens: rapid.IntRange(0, 500).Draw(m.t, "tokens"), Arrived: m.now,
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "deadline")) * time.Second),
		Isolated:   rapid.IntRange(0, 9).Draw(m.t, "alone") == 0,
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
	}
	if rapid.IntRange(0, 5).Draw(m.t, "excludes") == 0 {
		r.Exclude = []schedule.BackendID{m.drawBackend()}
	}
	m.requests[r.ID], m.waiting[r.ID] = r, r
	out := &schedule.Decisions{}
	m.scheduler.Submit(m.now, r, out)
	m.apply(out)
}

func (m *model) drawBackend() schedule.BackendID {
	return schedule.BackendID(fmt.Sprint("b", rapid.IntRange(0, 4).Draw(m.t, "backend")))
}

func (m *model) setBackends() {
	m.backends = m.backends[:0]
	for i := range 5 {
		if rapid.IntRange(0, 4).Draw(m.t, "gone") == 0 {
			continue
		}
		m.backends = append(m.backends, schedule.Backend{
			ID: schedule.BackendID(fmt.Sprint("b", i)), Pool: []string{"p", "q"}[i%2],
			// The slots never change: with fewer slots than running calls, the
			// check for exceeded slots would fail without a wrong grant.
			Slots: 1 + i, Leaving: rapid.IntRange(0, 3).Draw(m.t, "leaving") == 0,
		})
	}
	m.scheduler.SetBackends(m.now, m.backends)
}

func (m *model) finish(id schedule.CallID, backend schedule.BackendID) {
	total := time.Duration(rapid.IntRange(1, 20_000).Draw(m.t, "total")) * time.Millisecond
	m.scheduler.Finish(m.now, id, backend, schedule.Timing{
		FirstToken: total / 10, Total: total, Tokens: 50, PromptTokens: 2000,
		CachedTokens: rapid.SampledFrom([]int{0, 1000, 2000}).Draw(m.t, "cached"),
		Failed:       rapid.IntRange(0, 5).Draw(m.t, "failed") == 0,
	})
	i := slices.Index(m.running[id], backend)
	m.running[id] = slices.Delete(m.running[id], i, i+1)
	if len(m.running[id]) == 0 {
		delete(m.running, id)
		delete(m.requests, id)
	}
}

func (m *model) runningIDs() []schedule.CallID {
	var ids []schedule.CallID
	for id := range m.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":   func(*rapid.T) { m.submit(); m.next() },
		"backends": func(*rapid.T) { m.setBackends(); m.next() },
		"pass": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			m.next()
		},
		"finish": func(t *rapid.T) {
			ids := m.runningIDs()
			if len(ids) == 0 {
				t.Skip("no call runs")
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			m.finish(id, rapid.SampledFrom(m.running[id]).Draw(t, "copy"))
			m.next()
		},
		"progress": func(t *rapid.T) {
			ids := m.runningIDs()
			if len(ids) == 0 {
				t.Skip("no call runs")
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			m.scheduler.Progress(m.now, id, m.running[id][0], schedule.Timing{
				FirstToken: time.Duration(rapid.IntRange(0, 4000).Draw(t, "first")) * time.Millisecond,
				Total:      5 * time.Second, Tokens: rapid.IntRange(0, 40).Draw(t, "generated"),
			})
		},
		"withdraw": func(t *rapid.T) {
			id := schedule.CallID(rapid.IntRange(1, int(m.nextID)+1).Draw(t, "id"))
			m.scheduler.Withdraw(id)
			delete(m.waiting, id)
			m.next()
		},
		"events": func(t *rapid.T) {
			b := m.drawBackend()
			m.scheduler.ApplyLoadReport(m.now, schedule.LoadReport{Backend: b, Running: rapid.IntRange(0, 5).Draw(t, "running"), TakenAt: m.now})
			m.scheduler.ApplyCacheEvent(m.now, schedule.CacheEvent{Backend: b, Hash: uint64(rapid.IntRange(1, 6).Draw(t, "hash")), Evicted: rapid.Bool().Draw(t, "evicted")})
		},
		"": func(*rapid.T) {},
	}
}

// drain ends all running calls until nothing waits. Without new calls every
// waiting call must be granted or refused in a bounded number of steps.
func (m *model) drain() {
	for range 400 {
		for _, id := range m.runningIDs() {
			for _, backend := range slices.Clone(m.running[id]) {
				m.finish(id, backend)
			}
		}
		m.next()
		if len(m.waiting) == 0 && len(m.running) == 0 {
			return
		}
		if wake := m.scheduler.NextWake(); len(m.running) == 0 {
			if wake.IsZero() {
				m.t.Fatalf("%d calls wait, but NextWake returns no time", len(m.waiting))
			}
			m.now = later(m.now, wake)
		}
	}
	m.t.Fatalf("%d calls still wait, %d still run", len(m.waiting), len(m.running))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards every policy against lost or duplicated calls, exceeded slots, and
// grants to backend servers that are leaving, excluded, or reserved for an
// isolated call.
func TestStateMachine(t *testing.T) {
	for _, policy := range schedule.Policies() {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s, err := schedule.New(policy, schedule.Settings{QueueLimit: 30})
				if err != nil {
					t.Fatal(err)
				}
				m := &model{
					t: t, scheduler: s, now: start,
					waiting:  map[schedule.CallID]schedule.Request{},
					running:  map[schedule.CallID][]schedule.BackendID{},
					requests: map[schedule.CallID]schedule.Request{},
				}
				m.setBackends()
				t.Repeat(m.actions())
				m.drain()
			})
		})
	}
}

// Guards against starvation: a low-priority call of a long program must start
// once the ageing bound and the grants before the next overdue call have passed,
// whatever stream of short high-priority calls competes with it.
func TestAgeingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := schedule.New(schedule.ProgramAware, schedule.Settings{MaxNewProgramWait: time.Hour})
		s.SetBackends(start, backends("a"))
		out := &schedule.Decisions{}
		step := time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond
		long := request(1)
		long.Attained, long.Deadline = 1_000_000, at(3_600_000)
		now, id, busy := start, 1, schedule.CallID(0)
		bound := start.Add(10*time.Second + 9*step)
		for now.Before(bound.Add(step)) {
			for range rapid.IntRange(1, 3).Draw(t, "arrivals") {
				id++
				short := request(id)
				short.Program, short.Priority, short.Arrived = fmt.Sprint(id), 1, now
				short.Deadline = at(3_600_000)
				s.Submit(now, short, out)
			}
			s.Submit(now, long, out)
			if busy != 0 {
				s.Finish(now, busy, "a", schedule.Timing{FirstToken: step / 10, Total: step, Tokens: 20})
			}
			out.Reset()
			s.Next(now, out)
			busy = out.Grants[0].ID
			if busy == 1 {
				return
			}
			now = now.Add(step)
		}
		t.Fatalf("the call of the long program did not start within %v", bound.Sub(start))
	})
}
