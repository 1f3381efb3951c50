package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/gateway/where"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/route/fairshare"
	"dogwoodline.example/urgency"
)

var _ = Describe("A preview of a call", func() {
	now := time.Unix(1_000_000, 0)
	ended := ring.New[responsePart](1 << 16) // what the calls before get
	seeded := func(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
	newJob := func(random *rand.Rand, id string, engine *route.Engine, at time.Time) *job {
		request := &call.Request{ID: id, Arrived: at, Session: fmt.Sprint(random.IntN(9)), Program: fmt.Sprint(random.IntN(9)), Organisation: fmt.Sprint(random.IntN(5)),
			FinishWithin: time.Duration(random.IntN(4000)) * time.Millisecond, MaxOutputTokens: 100 + random.IntN(900)}
		return &job{
			ctx: context.Background(), request: request, route: &route.Route{Name: "r", Kind: route.Streaming, Sticky: random.IntN(2) == 0},
			service: route.Service{Name: "s", Engine: engine}, deadline: at.Add(time.Duration(100+random.IntN(3000)) * time.Millisecond),
			startsProgram: random.IntN(2) == 0, priority: random.IntN(4), priorityLevels: 4, organisationLimit: float64(random.IntN(3)),
		}
	}
	// build returns a scheduler after random calls, of which some run and, if its servers are
	// full, some wait. The same seed gives the same scheduler.
	build := func(seed uint64, contended bool) (s *Scheduler, next func() *job) {
		random := seeded(seed)
		s = &Scheduler{
			log: slog.New(slog.DiscardHandler), fleet: fleet.New("a"), zone: "a", queues: newPlaceQueues(), waiting: newWaitingCalls(), attempts: ring.New[attempt](512),
			messages: ring.New[schedulerMessage](1), estimates: urgency.New(), admission: admission{meanCallTokens: map[string]float64{}}, views: map[string]*sharedView{},
			lateness: lateness{}, shares: fairshare.New(now), crashes: crashRecords{}, contendedCapacity: contended, random: seeded(seed),
			hasIdleConnection: func(address, _ string) bool { return address < "b3" },
		}
		s.places = s.fleet
		s.listedFronts.Store(2)
		var engine *route.Engine
		if seed%3 > 0 {
			engine = &route.Engine{Slots: 2, KVCacheTokens: 1500}
		}
		limited := seed%2 == 0
		for i := range 6 {
			id := fmt.Sprint("b", i)
			s.fleet.Put(fleet.Backend{ID: id, Service: "s", Address: id, Slots: 2, AvailabilityZone: string(rune('a' + i%2))})
			if limited && (i > 0 || seed%4 == 0) {
				s.fleet.Heard(fleet.Statement{BackendID: id, Limited: true, CallsPerSecond: float64(1 + 10*i)}, now)
			}
		}
		s.lateness.observe("s", time.Duration(random.IntN(3000))*time.Millisecond, time.Second, now)
		if random.IntN(2) == 0 {
			s.fleet.LearnOthers(fleet.OthersTable{Service: "s", Running: random.IntN(10)}, now)
		}
		for i := range random.IntN(40) {
			j := newJob(random, fmt.Sprint(i), engine, now)
			j.parts = ended
			s.dispatch(j, now)
			s.sendQueued(now)
			if random.IntN(3) == 0 {
				if a, ok := s.attempts.TryPop(); ok {
					s.fleet.CallEnded(fleet.CallResult{BackendID: a.backend.ID, Duration: 100 * time.Millisecond, Comparable: true}, now)
				}
			}
		}
		for _, ok := s.attempts.TryPop(); ok; _, ok = s.attempts.TryPop() {
		}
		return s, func() *job { return newJob(random, "next", engine, now) }
	}

	// Guards against answers to operators that differ from what the next call gets. Calls
	// that are refused beside others draw their Retry-After later.
	DescribeTable("is what the next call gets", func(contended bool) {
		counts := map[string]int{}
		for seed := range uint64(600) {
			s, next := build(seed, contended)
			j := next()
			j.parts = ring.New[responsePart](1)
			_, again := build(seed, contended)
			s.random = seeded(seed)
			p := s.preview(again(), now)
			s.random = seeded(seed)
			s.dispatch(j, now)
			s.sendQueued(now)
			failed, isFailed := j.parts.TryPop()
			sent, isSent := s.attempts.TryPop()
			why := fmt.Sprintf("seed %d: %+v", seed, p)
			switch {
			case isFailed:
				Expect(p.refusal).NotTo(BeNil(), why)
				Expect(p.refusal.reason).To(Equal(failed.failure.reason), why)
				if p.queue == nil {
					Expect(p.refusal.after).To(Equal(failed.failure.retryAfter), why)
				}
				counts["refused"]++
			case isSent && sent.job == j:
				Expect(p.refusal).To(BeNil(), why)
				Expect(p.waits).To(BeFalse(), why)
				Expect(p.candidates.Chosen.ID).To(Equal(sent.backend.ID), why)
				counts["sent"]++
			default:
				Expect(p.refusal).To(BeNil(), why)
				Expect(p.waits).To(BeTrue(), why)
				counts["waits"]++
			}
		}
		for _, kind := range []string{"refused", "sent", "waits"} {
			Expect(counts[kind]).To(BeNumerically(">", 20), kind)
		}
	}, Entry("of a contended service", true), Entry("of another service", false))

	// Guards against queries that take shares, places or tokens of calls.
	DescribeTable("changes nothing but the random numbers", func(contended bool) {
		for seed := range uint64(10) {
			s, next := build(seed, contended)
			untouched, _ := build(seed, contended)
			for i := range 1000 {
				s.preview(next(), now.Add(time.Duration(i)*7*time.Millisecond))
			}
			state := func(s *Scheduler) []any {
				return []any{s.fleet, s.queues.byService, s.waiting.byService, s.admission, s.views, s.lateness, s.shares, s.estimates, s.crashes, s.attempts.Len()}
			}
			for i, part := range state(s) {
				Expect(reflect.DeepEqual(part, state(untouched)[i])).To(BeTrue(), "part %d, seed %d", i, seed)
			}
		}
	}, Entry("of a contended service", true), Entry("of another service", false))

	// Guards against queries that wait for a scheduler that is busy, or before it runs.
	It("is refused at once if the scheduler is busy, and given up at the end of its time", func() {
		s, _ := build(1, true)
		g := &Gateway{scheduler: s}
		ask := func() int {
			recorder := httptest.NewRecorder()
			where.Handler(g).ServeHTTP(recorder, httptest.NewRequest("GET", "/where?host=example&path=/r/x", nil))
			return recorder.Code
		}
		Expect(ask()).To(Equal(http.StatusServiceUnavailable), "no configuration")
		table := route.NewTable(1, []route.Route{{Name: "r", Host: "example", Prefix: "/r/", Shares: []route.Share{{Service: "s", Weight: 1}}}}, nil, route.Limits{})
		g.table.Store(table)
		begun := time.Now()
		Expect(ask()).To(Equal(http.StatusServiceUnavailable), "the scheduler does not answer")
		Expect(time.Since(begun)).To(BeNumerically(">=", time.Second))
		Expect(s.messages.Len()).To(Equal(1))
		begun = time.Now()
		Expect(ask()).To(Equal(http.StatusServiceUnavailable), "the ring is full")
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
		message, _ := s.messages.TryPop()
		s.handle(message, now) // nobody waits for it
		Expect(message.asked.reply).To(BeEmpty())
	})
})

var _ = Describe("The endpoint where a request would go", func() {
	get := func(handler http.Handler, query string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/where?"+query, nil))
		return recorder.Code
	}

	// Guards against operators' scripts that take time from calls.
	It("answers one query in 10 ms", func() {
		handler := where.Handler(frontFunc(func() (where.Answer, error) { return where.Answer{}, nil }))
		Expect(get(handler, "host=h&path=/")).To(Equal(http.StatusOK))
		Expect(get(handler, "host=h&path=/")).To(Equal(http.StatusTooManyRequests))
		Eventually(func() int { return get(handler, "host=h&path=/") }, "1s", "20ms").Should(Equal(http.StatusOK))
	})

	// Guards against parameters that are ignored or lost on the way.
	It("gets all parameters of a query, and refuses others", func() {
		q := where.Query{Host: "h", Path: "/p", Method: "POST", Organisation: "o", Session: "s", Program: "p", Previous: "t", FinishWithin: -time.Second,
			Deadline: time.Minute, Bytes: 7, Tokens: 8}
		Expect(where.Decode(q.Encode())).To(Equal(q))
		starts := where.Query{Host: "h", Path: "/p", StartsProgram: true}
		Expect(where.Decode(starts.Encode())).To(Equal(starts))
		handler := where.Handler(frontFunc(func() (where.Answer, error) { return where.Answer{}, nil }))
		for _, bad := range []string{"", "host=h", "host=h&path=x", "host=h&path=/&bytes=x", "host=h&path=/&key=k", "host=h&path=/&tokens=-1"} {
			Expect(get(handler, bad)).To(Equal(http.StatusBadRequest), bad)
		}
	})
})

type frontFunc func() (where.Answer, error)

func (f frontFunc) Where(context.Context, where.Query, time.Time) (where.Answer, error) { return f() }
