package urgency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/urgency"
)

func TestUrgency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "urgency")
}

// learn observes programs with about the given number of turns of 200 ms with pauses of
// 100 ms, of which a front sees the given share of all turns.
func learn(e *urgency.Estimates, route string, turns int, share float64, random *rand.Rand) time.Time {
	now := time.Unix(1_000_000, 0)
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		program := route + string(rune(i))
		objective := 1800*time.Duration(turns)*300*time.Millisecond/1000 + 200*time.Millisecond
		at, length := now, turns+random.IntN(3)-1
		for turn := range length {
			call := urgency.Call{Route: route, Program: program, Session: "s", Turn: turn, Arrived: at, FinishWithin: objective - at.Sub(now), LengthHint: 100}
			at = at.Add(200 * time.Millisecond)
			if random.Float64() < share {
				e.Ended(call, call.Arrived, at)
			}
			at = at.Add(100 * time.Millisecond)
		}
	}
	return now
}

var _ = Describe("The urgency of a call", func() {
	var e *urgency.Estimates
	var now time.Time
	BeforeEach(func() {
		e = urgency.New()
		now = learn(e, "agent", 7, 0.2, rand.New(rand.NewPCG(1, 2)))
	})
	turn := func(number int, left time.Duration) urgency.Call {
		return urgency.Call{Route: "agent", Program: "new", Session: "s", Turn: number, Arrived: now, FinishWithin: left, Deadline: now.Add(3 * time.Second)}
	}

	// Guards against estimates that need every turn of a program to pass one front.
	It("follows from a sample of all turns", func() {
		for number, want := range map[int]float64{0: 6, 3: 3, 5: 1} {
			a := e.Assess(turn(number, 5*time.Second), now)
			Expect(a.FurtherTurns).To(BeNumerically("~", want, 0.4))
			Expect(a.Remaining.Seconds()).To(BeNumerically("~", 0.2+want*0.3, 0.15))
			Expect(a.StartBy).To(Equal(now.Add(5*time.Second - a.Remaining)))
		}
	})

	// Guards against programs that are worth nothing any more, or less, and delay others.
	It("has three classes, by what the program can still achieve", func() {
		Expect(e.Assess(turn(0, 3*time.Second), now).ClassAt(now)).To(Equal(urgency.InTime))
		Expect(e.Assess(turn(0, time.Second), now).ClassAt(now)).To(Equal(urgency.Late))
		Expect(e.Assess(turn(3, 300*time.Millisecond), now).ClassAt(now)).To(Equal(urgency.Late))
		Expect(e.Assess(turn(3, -time.Second), now).ClassAt(now)).To(Equal(urgency.Late))
		Expect(e.Assess(turn(3, -4*time.Second), now).ClassAt(now)).To(Equal(urgency.Lost))
		a := e.Assess(turn(0, 3*time.Second), now)
		Expect(a.ClassAt(now.Add(3*time.Second))).To(Equal(urgency.Late), "it has waited")
	})

	// Guards against a program that waits for its tools although it is in a hurry itself.
	It("is inherited by tools and sub-agents", func() {
		e.Ended(turn(2, 2*time.Second), now, now.Add(200*time.Millisecond))
		next := e.Assess(turn(2, 2*time.Second), now)
		tool := turn(urgency.NotTurn, 2*time.Second)
		tool.Route = "tool"
		Expect(e.Assess(tool, now).FurtherTurns).To(BeNumerically("~", next.FurtherTurns, 0.1))
		agent := turn(0, 2*time.Second)
		agent.Route, agent.Session = "sub", "other"
		Expect(e.Assess(agent, now).FurtherTurns).To(BeNumerically("~", next.FurtherTurns, 0.1))
		e.Ended(tool, now, now)
		tool.Program = "unseen"
		Expect(e.Assess(tool, now).FurtherTurns).To(BeNumerically("~", 3, 0.5), "the mean over all turns")
	})

	// Guards against clients that gain by false estimates.
	It("changes little with the client's estimate of the output", func() {
		plain, wild := turn(0, 3*time.Second), turn(0, 3*time.Second)
		plain.LengthHint, wild.LengthHint = 100, 100_000
		Expect(e.Assess(plain, now).StartBy.Sub(e.Assess(wild, now).StartBy)).To(BeNumerically("<=", 100*time.Millisecond))
	})

	// Guards against programs that are given up before anything is known of their route.
	It("is in time if nothing is known but the time that is left", func() {
		call := turn(4, 100*time.Millisecond)
		call.Route = "unknown"
		Expect(e.Assess(call, now).ClassAt(now)).To(Equal(urgency.InTime))
		call.FinishWithin = 0
		a := e.Assess(call, now)
		Expect(a.Stated).To(BeFalse())
		Expect(a.StartBy).To(Equal(call.Deadline))
	})

	// Guards against estimates that stay what they were after the work has changed.
	It("follows programs that become shorter", func() {
		for i := range 2000 {
			at := now.Add(time.Duration(i) * 50 * time.Millisecond)
			e.Ended(urgency.Call{Route: "agent", Turn: i % 2, Arrived: at}, at, at.Add(200*time.Millisecond))
		}
		Expect(e.Assess(turn(0, 3*time.Second), now).FurtherTurns).To(BeNumerically("~", 1, 0.7))
	})
})

func BenchmarkAssess(b *testing.B) {
	e := urgency.New()
	now := learn(e, "agent", 7, 0.2, rand.New(rand.NewPCG(1, 2)))
	call := urgency.Call{Route: "agent", Program: "new", Session: "s", Arrived: now, FinishWithin: time.Second}
	for b.Loop() {
		e.Assess(call, now)
	}
}
