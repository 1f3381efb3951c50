package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/coordination"
	"dogwoodline.example/quota"
)

// messageOverhead is what a report and its reply add to their payloads on a connection
// that is open, in bytes of HTTP/2 and of coordinationpb, without TCP and IP; measured over
// 1,000 reports on loopback.
const messageOverhead = 230

// cost is what one front and one coordinator exchange per second.
type cost struct {
	frontMessages, frontBytes, busiestMessages, busiestBytes, asked float64
}

// measureCost lets fronts spend the requests of organisations of equal size for some
// simulated seconds. Answers take no time.
func measureCost(fronts, organisations int, perSecond float64) cost {
	const step = 10 * time.Millisecond
	seconds := 3
	if fronts > 100 {
		seconds = 1 // takes long to simulate
	}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	limits := map[string]quota.Limit{}
	var names []string
	for i := range organisations {
		names = append(names, fmt.Sprint("organisation-", i))
		limits[names[i]] = quota.Limit{RatePerSecond: 1.6 * perSecond / float64(organisations)}
	}
	var members []quota.Member
	var list []coordination.Front
	for i := range fronts {
		members = append(members, quota.Member{Address: fmt.Sprint("front-", i), Listed: true})
		list = append(list, coordination.Front{Address: members[i].Address, PeerAddress: "p", Listed: true})
	}
	chosen := coordination.Coordinators(list, func(string) bool { return true })
	var owners [quota.Partitions]string
	for i := range owners {
		owners[i] = coordination.Owner(chosen, fmt.Sprint("quota/", i))
	}
	all := make([]*quota.Front, fronts)
	for i := range all {
		all[i] = quota.NewFront(members[i].Address, bounds, uint64(i)<<32, now)
		all[i].SetLimits(limits)
		all[i].SetFronts(members, &owners, now)
	}
	coordinators := map[string]*quota.Coordinator{}
	for _, c := range chosen {
		coordinators[c] = quota.NewCoordinator(bounds)
		coordinators[c].SetLimits(limits, now)
	}
	messages, size := map[string]int{}, map[string]int{}
	report := func(i int, c string) {
		r, ok := all[i].Report(c, now)
		if !ok {
			return
		}
		reply, _ := coordinators[c].Answer(members[i].Address, r, now)
		all[i].Learn(c, reply, now)
		messages[c]++
		size[c] += len(encodeReport(r)) + len(encodeReply(reply)) + messageOverhead
	}
	asked, requests := 0, 0
	for tick := range 3 * seconds * 100 {
		if tick == 2*seconds*100 { // the demand is known by then
			clear(messages)
			clear(size)
			asked, requests = 0, 0
		}
		now = now.Add(step)
		for range int(perSecond * step.Seconds()) {
			i, name := random.IntN(fronts), names[random.IntN(organisations)]
			requests++
			if decision, _ := all[i].Take(name, now); decision == quota.Ask {
				asked++
				for _, c := range chosen {
					if all[i].Urgent(c) {
						report(i, c)
					}
				}
				all[i].TakeAgain(name, now)
			}
		}
		for i := range all {
			for j, c := range chosen {
				if all[i].Urgent(c) || (tick+i+j)%25 == 0 {
					report(i, c)
				}
			}
			if tick%25 == 0 {
				all[i].SetFronts(members, &owners, now)
			}
		}
	}
	result := cost{asked: float64(asked) / float64(requests)}
	for _, c := range chosen {
		result.frontMessages += float64(messages[c]) / float64(seconds) / float64(fronts)
		result.frontBytes += float64(size[c]) / float64(seconds) / float64(fronts)
		result.busiestMessages = max(result.busiestMessages, float64(messages[c])/float64(seconds))
		result.busiestBytes = max(result.busiestBytes, float64(size[c])/float64(seconds))
	}
	return result
}

var bounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

var _ = Describe("The cost of quotas", func() {
	// Guards against messages of a front that grow with the fleet. The figures of
	// docs/CAPACITY.md come from this table.
	DescribeTable("for a front does not depend on the number of fronts", func(fronts, organisations int, perSecond float64) {
		c := measureCost(fronts, organisations, perSecond)
		GinkgoWriter.Printf("| %d | %d | %.0f | %.1f | %.1f | %.0f | %.0f | %.2f |\n", fronts, organisations, perSecond, c.frontMessages, c.frontBytes/1000,
			c.busiestMessages, c.busiestBytes/1000, c.asked)
		// Four regular reports a second to each coordinator, at the most one for each request
		// that asks, and a tenth for stock that runs out before the next regular report.
		Expect(c.frontMessages).To(BeNumerically("<=", 1.1*(4*coordination.MaxCoordinators+perSecond/float64(fronts))))
	},
		Entry(nil, 8, 83, 1000.0), Entry(nil, 72, 83, 1000.0), Entry(nil, 420, 83, 60_000.0),
		Entry(nil, 8, 39_000, 1000.0), Entry(nil, 72, 39_000, 1000.0), Entry(nil, 420, 39_000, 60_000.0),
	)
})

func BenchmarkTake(b *testing.B) {
	l := New("front", quota.Bounds{Window: time.Second, Slack: 1e12}, 1, time.Unix(0, 0))
	limits := map[string]quota.Limit{}
	for i := range 39_000 {
		limits[fmt.Sprint("organisation-", i)] = quota.Limit{RatePerSecond: 1e9}
	}
	l.SetLimits(limits)
	l.SetFronts([]coordination.Front{{Address: "front", Listed: true}}, nil, time.Unix(0, 0))
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Take("organisation-7", now)
	}
}

func BenchmarkAnswer(b *testing.B) {
	l := New("front", bounds, 1, time.Unix(0, 0))
	l.SetLimits(map[string]quota.Limit{"acme": {RatePerSecond: 100}})
	now := time.Unix(1000, 0)
	var payloads [420][]byte
	for n := uint64(1); b.Loop(); n++ {
		i := n % 420
		front := quota.Report{Epoch: i, Number: n, Delegated: 0xff, Share: 1.0 / 420, Uses: make([]quota.Use, 10)}
		payloads[i] = encodeReport(front)
		now = now.Add(595 * time.Microsecond) // 420 fronts, four reports a second
		l.Answer(fmt.Sprint("front-", i), payloads[i], now)
	}
}
