package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
)

// limitedServers is a service whose backend servers have all named one limit, with
// the fronts that send calls to it. Time is simulated.
type limitedServers struct {
	limit     float64
	fronts    []*fleet.Fleet
	addresses []string
	servers   int
	sent      map[string][]time.Time // by server
	random    *rand.Rand
}

func newLimitedServers(fronts, servers int, limit float64, now time.Time) *limitedServers {
	l := &limitedServers{limit: limit, servers: servers, sent: map[string][]time.Time{}, random: rand.New(rand.NewPCG(1, uint64(fronts)))}
	for i := range fronts {
		l.addresses = append(l.addresses, fmt.Sprintf("10.0.0.%d:80", i+1))
		f := fleet.New("a")
		for s := range servers {
			f.Put(backend(fmt.Sprintf("b%d", s)))
		}
		l.fronts = append(l.fronts, f)
	}
	l.list(l.addresses, now)
	for _, f := range l.fronts {
		for s := range servers {
			f.Heard(fleet.Statement{BackendID: fmt.Sprintf("b%d", s), Sent: now, Limited: true, CallsPerSecond: limit}, now)
		}
	}
	return l
}

// list tells each front which fronts clients are sent to. The others may still have
// clients.
func (l *limitedServers) list(listed []string, now time.Time) {
	for i, f := range l.fronts {
		f.SetFronts(l.addresses[i], listed, l.addresses[len(listed):], now)
	}
}

// offer sends a call through a front if the limits let it, and reports whether.
func (l *limitedServers) offer(front int, now time.Time) bool {
	f := l.fronts[front]
	b, _, ok := f.Choose(fleet.Request{Service: "s", Affinity: fmt.Sprint(l.random.IntN(50)), TieBreak: l.random.Uint64()}, now)
	if !ok {
		return false
	}
	f.CallStarted(b.ID, now)
	f.CallEnded(fleet.CallResult{BackendID: b.ID}, now)
	f.Heard(fleet.Statement{BackendID: b.ID, Sent: now, Limited: true, CallsPerSecond: l.limit}, now)
	l.sent[b.ID] = append(l.sent[b.ID], now)
	return true
}

// limitWindow is the span in which the users count the calls that a server gets:
// at most limitExcess of its limit, and limitSlack calls.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// most returns the largest number of calls that a server got in a limitWindow.
func (l *limitedServers) most() int {
	most := 0
	for _, times := range l.sent {
		first := 0
		for last := range times {
			for times[last].Sub(times[first]) >= limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

func (l *limitedServers) allowed() int {
	return int(limitExcess*l.limit*limitWindow.Seconds() + limitSlack)
}

var _ = Describe("Limits that backend servers name", func() {
	start := time.Unix(1_000_000, 0)

	// The load is a crowd that comes in waves: no calls for four seconds, so that
	// all fronts have saved up what they may, then more than all servers take.
	// Guards against servers that get far more calls than the limit that they have
	// named, because each front knows only what it sends itself (issue 23).
	DescribeTable("hold for all fronts together in a crowd", func(fronts, servers int, limit float64) {
		l := newLimitedServers(fronts, servers, limit, start)
		for step := range 40_000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if step/4000%2 == 1 {
				l.offer(l.random.IntN(fronts), now)
			}
		}
		Expect(l.most()).To(BeNumerically("<=", l.allowed()))
		Expect(l.most()).To(BeNumerically(">", 0))
	},
		Entry("one front", 1, 3, 2.8),
		Entry("seven fronts", 7, 6, 1.4),
		Entry("seven fronts and a high limit", 7, 3, 25.0),
		Entry("seven fronts and a limit below one", 7, 3, 0.3),
		Entry("seven fronts and no calls at all", 7, 3, 0.0),
		Entry("30 fronts", 30, 10, 2.2),
		Entry("70 fronts and a limit below one", 70, 10, 0.5),
	)

	// Clients keep an old list of fronts for a while. Guards against many fronts that
	// clients are not sent to, and that all ask at the same time whether a limit still
	// applies.
	DescribeTable("hold when calls also come through fronts that are not listed", func(fronts, listed int, limit float64) {
		l := newLimitedServers(fronts, 5, limit, start)
		l.list(l.addresses[:listed], start)
		for step := range 60_000 {
			l.offer(l.random.IntN(fronts), start.Add(time.Duration(step)*time.Millisecond))
		}
		Expect(l.most()).To(BeNumerically("<=", l.allowed()))
	},
		Entry("nine of 71", 71, 9, 2.0),
		Entry("nine of 71, a limit below one", 71, 9, 0.5),
		Entry("six of seven", 7, 6, 1.0),
		Entry("none that is known", 1, 0, 2.0),
	)

	// Guards against servers that stand idle although they would take calls, because
	// each front keeps to a part of a limit that nobody else uses.
	DescribeTable("are used when calls come through all fronts", func(fronts, servers int, limit float64) {
		l := newLimitedServers(fronts, servers, limit, start)
		total := 0
		const seconds = 40
		for step := range seconds * 1000 {
			if l.offer(l.random.IntN(fronts), start.Add(time.Duration(step)*time.Millisecond)) {
				total++
			}
		}
		Expect(float64(total)).To(BeNumerically(">", 0.8*limit*float64(servers)*seconds))
	},
		Entry("one front", 1, 3, 2.8),
		Entry("seven fronts", 7, 6, 1.4),
		Entry("30 fronts", 30, 40, 2.2),
	)

	// Guards against limits that are exceeded while fronts start and stop, and the
	// others do not yet know or already know it.
	It("hold while the fronts disagree about who is there", func() {
		l := newLimitedServers(7, 4, 2.2, start)
		for step := range 60_000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if step%1500 == 0 { // one front hears of a list of six or seven
				gone := l.random.IntN(8)
				var list []string
				for i, address := range l.addresses {
					if i != gone {
						list = append(list, address)
					}
				}
				l.fronts[step/1500%7].SetFronts(l.addresses[step/1500%7], list, nil, now)
			}
			l.offer(l.random.IntN(7), now)
		}
		Expect(l.most()).To(BeNumerically("<=", l.allowed()))
	})

	It("end when an answer to a later call names none, but not by an earlier one", func() {
		l := newLimitedServers(1, 1, 1, start)
		f := l.fronts[0]
		f.Heard(fleet.Statement{BackendID: "b0", Sent: start.Add(-time.Second)}, start.Add(time.Second))
		limit, _ := f.Limit("b0")
		Expect(limit).To(Equal(1.0))
		f.Heard(fleet.Statement{BackendID: "b0", Sent: start.Add(time.Second)}, start.Add(2*time.Second))
		limit, _ = f.Limit("b0")
		Expect(limit).To(BeZero())
	})

	// Guards against a server that nobody sends calls to any more, because the
	// fronts that heard its limit never ask again.
	It("are probed by each front in turn, also if it has no share", func() {
		l := newLimitedServers(30, 1, 0.5, start)
		asked := map[int]bool{}
		for step := range 130_000 {
			front := step % 30
			if l.offer(front, start.Add(time.Duration(step)*time.Millisecond)) {
				asked[front] = true
			}
		}
		Expect(asked).To(HaveLen(30))
	})

	It("do not keep calls from servers without one, and are forgotten when a server starts again", func() {
		f := newFleet(2)
		f.SetFronts("self", []string{"self"}, nil, start)
		f.Heard(fleet.Statement{BackendID: "b0", Sent: start, Limited: true, CallsPerSecond: 1}, start)
		for range 10 {
			b, _, ok := f.Choose(fleet.Request{Service: "s"}, start)
			Expect(ok).To(BeTrue())
			Expect(b.ID).To(Equal("b1"))
			f.CallStarted(b.ID, start)
		}
		wait, left := f.LimitWait(fleet.Request{Service: "s", Exclude: []string{"b1"}}, start)
		Expect(left).To(BeTrue())
		Expect(wait).To(Equal(time.Second))
		restarted := backend("b0")
		restarted.Incarnation = 2
		f.Put(restarted)
		limit, _ := f.Limit("b0")
		Expect(limit).To(BeZero())
	})

	// Under the users' capped day, six of nine model servers name limits. Guards
	// against conversations that move from server to server, each of which has to
	// process their prompts again.
	It("leave the calls of a conversation that find no place at its server to one other server", func() {
		f := newFleet(9)
		f.SetFronts("self", []string{"self"}, nil, start)
		for i := range 6 {
			f.Heard(fleet.Statement{BackendID: fmt.Sprintf("b%d", i), Sent: start, Limited: true, CallsPerSecond: 1}, start)
		}
		random := rand.New(rand.NewPCG(1, 2))
		for conversation := range 20 {
			seen := map[string]bool{}
			for range 50 {
				b, _, ok := f.Choose(fleet.Request{Service: "s", Affinity: fmt.Sprint("c", conversation), TieBreak: random.Uint64()}, start)
				Expect(ok).To(BeTrue())
				seen[b.ID] = true
				f.CallStarted(b.ID, start)
				f.CallEnded(fleet.CallResult{BackendID: b.ID, Duration: time.Duration(100+random.IntN(300)) * time.Millisecond, Comparable: true}, start)
			}
			Expect(seen).To(HaveLen(1))
		}
	})

	// Guards against servers without limits that all count as slow, because the ones
	// with limits have little to do, so that each call moves away from its server.
	It("do not make the servers that take the rest look slow", func() {
		f := newFleet(9)
		f.SetFronts("self", []string{"self"}, nil, start)
		for i := range 9 {
			id, took := fmt.Sprintf("b%d", i), time.Second
			if i < 6 {
				f.Heard(fleet.Statement{BackendID: id, Sent: start, Limited: true, CallsPerSecond: 1}, start)
				took = 100 * time.Millisecond
			}
			for range 20 {
				f.CallStarted(id, start)
				f.CallEnded(fleet.CallResult{BackendID: id, Duration: took, Comparable: true}, start)
			}
		}
		later := start.Add(time.Second) // the limits let calls through
		counts := map[bool]int{}
		for i := range 100 {
			b, _, ok := f.Choose(fleet.Request{Service: "s", Affinity: fmt.Sprint("c", i), TieBreak: uint64(i)}, later)
			Expect(ok).To(BeTrue())
			limit, _ := f.Limit(b.ID)
			counts[limit > 0]++
		}
		Expect(counts[false]).To(BeNumerically(">", 20), "a third of the conversations belong there")
	})
})
