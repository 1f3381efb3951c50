package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
)

var _ = Describe("Calls that wait for a limit of five calls per second", func() {
	const (
		timeout  = 2 * time.Second
		interval = 200 * time.Millisecond
		late     = time.Millisecond // of each call that is sent
	)
	start := time.Unix(1_000_000, 0)
	statement := fleet.Statement{BackendID: "b", Limited: true, CallsPerSecond: 5}
	var s *Scheduler

	BeforeEach(func() {
		s = &Scheduler{
			log: slog.New(slog.DiscardHandler), fleet: fleet.New("a"), waiting: newWaitingCalls(), attempts: ring.New[attempt](16),
			random: rand.New(rand.NewPCG(1, 1)), hasIdleConnection: func(string, string) bool { return true },
		}
		s.fleet.Put(fleet.Backend{ID: "b", Service: "svc", Slots: 16})
		s.fleet.Heard(statement, start)
		s.fleet.CallStarted("b", start)
	})

	// arrive lets a call wait that arrived at the given time.
	arrive := func(id string, at time.Time) *job {
		j := &job{
			ctx: context.Background(), request: &call.Request{ID: id, Arrived: at}, route: &route.Route{}, service: route.Service{Name: "svc"},
			deadline: at.Add(timeout), parts: ring.New[responsePart](1),
		}
		s.place(j, start)
		return j
	}
	// sent returns the ids of the calls that have been sent.
	sent := func() []string {
		var ids []string
		for a, ok := s.attempts.TryPop(); ok; a, ok = s.attempts.TryPop() {
			ids = append(ids, a.job.request.ID)
		}
		return ids
	}

	// Guards against calls that wait for most of their time and are then refused although
	// their turn comes next, because each call before them was sent a little late.
	It("keep their place although the calls before them are sent late", func() {
		var all []string
		for i := range 7 { // each arrived before those that wait, as handlers run in any order
			id := string(rune('a' + 6 - i))
			all = append([]string{id}, all...)
			arrive(id, start.Add(-time.Duration(i)*time.Microsecond))
		}
		now := start
		for range all {
			now = now.Add(interval + late)
			s.placeWaiting(now)
		}
		Expect(sent()).To(Equal(all))
	})

	// Guards against calls that wait until their time is over after a limit has become
	// lower.
	It("are refused when the limit becomes lower and their turn comes too late", func() {
		first, last := arrive("first", start), arrive("last", start.Add(time.Microsecond))
		statement.CallsPerSecond = 0.5
		s.fleet.Heard(statement, start.Add(late))
		s.placeWaiting(start.Add(2 * late))
		Expect(sent()).To(BeEmpty())
		for _, j := range []*job{first, last} {
			part, ok := j.parts.TryPop()
			Expect(ok).To(BeTrue())
			Expect(part.failure.notRun).To(BeTrue())
		}
	})
})
