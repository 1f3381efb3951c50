// Package limiter applies the decisions of package quota to the requests of a front, and
// exchanges them with the other fronts as a topic of package coordination.
package limiter

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodline.example/coordination"
	"dogwoodline.example/quota"
)

const (
	// askTimeout is how long a request waits for the answer of a coordinator: long enough
	// for one that has little processor time, and short against the time of any request.
	askTimeout = 120 * time.Millisecond
	// maxWaiting bounds the requests that wait at a time.
	maxWaiting = 1024
)

// Limiter decides about the requests of a front. Its users are the goroutines of
// net/http, so they share a lock, which is held for one decision; what coordinators say
// comes from the coordination duty.
type Limiter struct {
	wake atomic.Pointer[func()]

	mu      sync.Mutex
	front   *quota.Front
	learnt  chan struct{} // closed and replaced when requests that wait should look again
	waiting int

	// limits is set by the goroutine that reads the configuration; the coordination duty
	// applies it to the coordinator before its next answer.
	limits atomic.Pointer[map[string]quota.Limit]

	// The fields below are used only by the coordination duty.
	coordinator *quota.Coordinator
	applied     *map[string]quota.Limit
	chosen      []string
	owners      [quota.Partitions]string

	admitted, refused, asked atomic.Int64
	fronts, pools            atomic.Int64 // that the coordinator serves
}

// New returns a limiter without limits. The epoch must differ from those of earlier
// processes of the front.
func New(self string, bounds quota.Bounds, epoch uint64, now time.Time) *Limiter {
	return &Limiter{front: quota.NewFront(self, bounds, epoch, now), coordinator: quota.NewCoordinator(bounds), learnt: make(chan struct{})}
}

// SetWake sets the function that makes the exchange send what is urgent.
func (l *Limiter) SetWake(wake func()) { l.wake.Store(&wake) }

// SetLimits replaces the limits of the organisations, by name.
func (l *Limiter) SetLimits(limits map[string]quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.front.SetLimits(limits)
	l.limits.Store(&limits)
}

// Take counts a request of an organisation. If the organisation has none left, it returns
// after which time there is room again. It waits only for the first requests of an
// organisation, or when more come than the front has tokens for, and at most askTimeout.
func (l *Limiter) Take(organisation string, now time.Time) (admitted bool, retryAfter time.Duration) {
	return l.take(organisation, l.front.Take, func(_ int64, now time.Time) (quota.Decision, time.Duration) {
		return l.front.TakeAgain(organisation, now)
	}, now)
}

// TakeStart is Take for a request that starts a program while StartsScarce.
func (l *Limiter) TakeStart(organisation string, now time.Time) (admitted bool, retryAfter time.Duration) {
	return l.take(organisation, l.front.TakeStart, func(ticket int64, now time.Time) (quota.Decision, time.Duration) {
		return l.front.TakeStartAgain(organisation, ticket, now)
	}, now)
}

// StartsScarce reports whether the quota of an organisation hardly suffices for its
// programs in progress, so that requests that start programs go to TakeStart.
func (l *Limiter) StartsScarce(organisation string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.front.StartsScarce(organisation, now)
}

// Peek tells what Take would decide now, and counts nothing. If asks is set, the request
// would wait for the answer of a coordinator.
func (l *Limiter) Peek(organisation string, now time.Time) (admitted, asks bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision, after := l.front.Peek(organisation, now)
	return decision == quota.Admitted, decision == quota.Ask, after
}

// Started takes in that a request for which Take had a token has started a program.
func (l *Limiter) Started(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.front.Started(organisation)
}

// take lets a request wait for the coordinator if the first decision is to ask it. Both
// decisions are made under l.mu.
func (l *Limiter) take(organisation string, first func(string, time.Time) (quota.Decision, time.Duration),
	again func(ticket int64, now time.Time) (quota.Decision, time.Duration), now time.Time,
) (admitted bool, retryAfter time.Duration) {
	l.mu.Lock()
	decision, after := first(organisation, now)
	ticket, urgent := int64(0), l.front.AnyUrgent()
	if decision == quota.Ask {
		ticket = l.front.Ticket(organisation)
		l.waiting++
	}
	crowded := l.waiting > maxWaiting
	l.mu.Unlock()
	if urgent {
		l.wakeExchange()
	}
	if decision == quota.Ask {
		l.asked.Add(1)
		if !crowded {
			l.await(organisation, ticket)
		}
		l.mu.Lock()
		l.waiting--
		decision, after = again(ticket, time.Now())
		l.mu.Unlock()
	}
	if decision != quota.Admitted {
		l.refused.Add(1)
		return false, after
	}
	l.admitted.Add(1)
	return true, 0
}

// await waits until the coordinator has answered about a request, or for askTimeout.
func (l *Limiter) await(organisation string, ticket int64) {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	for {
		l.mu.Lock()
		answered, learnt := l.front.Answered(organisation, ticket), l.learnt
		l.mu.Unlock()
		if answered {
			return
		}
		select {
		case <-learnt:
		case <-timer.C:
			return
		}
	}
}

// GiveBack takes back a counted request that was refused and has not run.
func (l *Limiter) GiveBack(organisation string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.front.GiveBack(organisation, now)
}

func (l *Limiter) wakeExchange() {
	if wake := l.wake.Load(); wake != nil {
		(*wake)()
	}
}

// Name implements coordination.Topic.
func (l *Limiter) Name() string { return "quota" }

// Report implements coordination.Topic.
func (l *Limiter) Report(coordinator string, now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if report, ok := l.front.Report(coordinator, now); ok {
		return encodeReport(report)
	}
	return nil
}

// Answer implements coordination.Topic.
func (l *Limiter) Answer(front string, payload []byte, now time.Time) []byte {
	if limits := l.limits.Load(); limits != l.applied {
		l.applied = limits
		l.coordinator.SetLimits(*limits, now)
	}
	report, ok := decodeReport(payload)
	if !ok {
		return nil
	}
	reply, ok := l.coordinator.Answer(front, report, now)
	fronts, pools := l.coordinator.Counts()
	l.fronts.Store(int64(fronts))
	l.pools.Store(int64(pools))
	if !ok {
		return nil
	}
	return encodeReply(reply)
}

// Learn implements coordination.Topic.
func (l *Limiter) Learn(coordinator string, payload []byte, now time.Time) {
	reply, ok := decodeReply(payload)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.front.Learn(coordinator, reply, now)
	l.wakeWaiting()
}

// Urgent implements coordination.Urgent.
func (l *Limiter) Urgent(coordinator string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.front.Urgent(coordinator)
}

// SetFronts implements coordination.FrontsFollower.
func (l *Limiter) SetFronts(fronts []coordination.Front, coordinators []string, now time.Time) {
	if !slices.Equal(l.chosen, coordinators) {
		l.chosen = coordinators
		for i := range l.owners {
			l.owners[i] = coordination.Owner(coordinators, fmt.Sprint("quota/", i))
		}
	}
	members := make([]quota.Member, 0, len(fronts))
	for _, f := range fronts {
		members = append(members, quota.Member{Address: f.Address, Listed: f.Listed, Draining: f.Draining})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.front.SetFronts(members, &l.owners, now)
	l.wakeWaiting()
}

// wakeWaiting lets the requests that wait look whether they were answered. The caller
// holds l.mu.
func (l *Limiter) wakeWaiting() {
	if l.waiting > 0 {
		close(l.learnt)
		l.learnt = make(chan struct{})
	}
}

// Gauges returns the values that operators watch, by name.
func (l *Limiter) Gauges() map[string]func() int {
	count := func(value func() int) func() int {
		return func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return value()
		}
	}
	return map[string]func() int{
		"dogwoodline_quota_admitted_total": func() int { return int(l.admitted.Load()) },
		"dogwoodline_quota_refused_total":  func() int { return int(l.refused.Load()) },
		"dogwoodline_quota_asked_total":    func() int { return int(l.asked.Load()) },
		"dogwoodline_quota_fronts":         func() int { return int(l.fronts.Load()) },
		"dogwoodline_quota_pools":          func() int { return int(l.pools.Load()) },
		"dogwoodline_quota_organisations":  count(func() int { known, _ := l.front.Counts(); return known }),
		"dogwoodline_quota_delegated":      count(func() int { _, delegated := l.front.Counts(); return delegated }),
		"dogwoodline_quota_waiting":        count(func() int { return l.waiting }),
	}
}
