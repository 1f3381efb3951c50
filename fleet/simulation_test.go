package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"dogwoodline.example/fleet"
	"dogwoodline.example/serverstats"
)

// simulation plays turns of conversations at servers of three speeds through many fronts,
// in steps of 1 ms. Each server runs slots turns at a time; others wait in its queue.
type simulation struct {
	fronts, servers, slots int
	contended              bool
	share                  time.Duration // how often fronts learn what the others run; 0 for never
	perSecond              float64
	random                 *rand.Rand
	seconds                int
	slowFrom, slowUntil    time.Duration // when server b0 is five times as slow
}

type simulatedTurn struct {
	front, server int
	left          float64 // ms of work at the median server
	began         time.Duration
}

// run returns the times of the turns in ms, sorted, and how many turns server b0 got while
// it was slow.
func (p simulation) run() (times []float64, slowTurns int) {
	epoch := time.Unix(1_000_000, 0)
	fleets := make([]*fleet.Fleet, p.fronts)
	var addresses []string
	for i := range fleets {
		addresses = append(addresses, fmt.Sprint("f", i))
	}
	speed := make([]float64, p.servers)
	for i := range fleets {
		fleets[i] = newFleet(0)
		for j := range p.servers {
			b := backend(fmt.Sprint("b", j))
			b.Slots = p.slots
			fleets[i].Put(b)
		}
	}
	for i := range fleets {
		fleets[i].SetFronts(addresses[i], addresses, nil, epoch)
	}
	for j := range speed {
		speed[j] = []float64{1.6, 1, 0.6}[j%3]
	}
	coordinator := serverstats.NewCoordinator()
	running := make([][]*simulatedTurn, p.servers)
	for at := time.Duration(0); at < time.Duration(p.seconds)*time.Second; at += time.Millisecond {
		now := epoch.Add(at)
		slow := at >= p.slowFrom && at < p.slowUntil
		for arrivals := p.poisson(p.perSecond / 1000); arrivals > 0; arrivals-- {
			front := p.random.IntN(p.fronts)
			b, _, _ := fleets[front].Choose(fleet.Request{Service: "s", Contended: p.contended, TieBreak: p.random.Uint64()}, now)
			fleets[front].CallStarted(b.ID, now)
			turn := &simulatedTurn{front: front, left: 100 + 200*p.random.Float64(), began: at}
			fmt.Sscanf(b.ID, "b%d", &turn.server)
			running[turn.server] = append(running[turn.server], turn)
			if slow && turn.server == 0 && at > p.slowFrom+time.Second {
				slowTurns++
			}
		}
		for j := range running {
			batch := min(p.slots, len(running[j]))
			rate := speed[j] / (1 + 0.25*float64(batch)/float64(p.slots))
			if slow && j == 0 {
				rate /= 5
			}
			for _, turn := range running[j][:batch] {
				if turn.left -= rate; turn.left > 0 {
					continue
				}
				took := at - turn.began
				times = append(times, float64(took.Milliseconds()))
				fleets[turn.front].CallEnded(fleet.CallResult{BackendID: fmt.Sprint("b", j), Duration: took, Comparable: true,
					EventGap: time.Duration(20 / rate * float64(time.Millisecond))}, now)
			}
			left := running[j][:0]
			for _, turn := range running[j] {
				if turn.left > 0 {
					left = append(left, turn)
				}
			}
			running[j] = left
		}
		if at%(250*time.Millisecond) == 0 {
			for _, f := range fleets {
				f.Expire(now)
			}
		}
		if p.share > 0 && at%p.share == 0 {
			exchange(coordinator, fleets, now)
		}
	}
	sort.Float64s(times)
	return times, slowTurns
}

func (p simulation) poisson(mean float64) int {
	count, product := 0, p.random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= p.random.Float64()
	}
	return count
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// exchange lets the fronts report to a coordinator and learn what it answers.
func exchange(c *serverstats.Coordinator, fleets []*fleet.Fleet, now time.Time) {
	for i, f := range fleets {
		report := serverstats.Report{Service: "s"}
		for _, m := range f.TakeMeasured("s", now) {
			report.Running += m.Running
			report.Servers = append(report.Servers, serverstats.Server{Key: m.Key, Load: m.Load, Ended: m.Ended, Failed: m.Failed, Slowness: m.Slowness})
		}
		table := c.Answer(fmt.Sprint("f", i), "a", report, now)
		known := fleet.OthersTable{Service: "s", Running: table.Running, Servers: map[uint32]fleet.Others{}}
		for key, k := range table.Servers {
			known.Servers[key] = fleet.Others{Load: k.Load, Slowness: k.Slowness, FailureRate: k.FailureRate}
		}
		f.LearnOthers(known, now)
	}
}
