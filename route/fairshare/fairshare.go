// Package fairshare decides, while capacity is scarce, which organisations have had more
// than their share of the programs that were started, and which are served much less often
// than all together.
//
// The load that it handles: one organisation that sends many times its usual load for some
// seconds, among organisations of very different sizes, at a front that sees a random
// sample of all requests. It does no I/O; time is an argument.
package fairshare

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which requests are forgotten. A burst of an
	// organisation lasts 6 to 8 s; a front of 72 sees about two starts per second.
	memory = 10 * time.Second
	// forgetAfter is when nothing is left of an organisation's requests that matters.
	forgetAfter = 5 * memory
	// sweepInterval is how often organisations that are forgotten are removed, which takes
	// 6 ms for 39,000.
	sweepInterval = memory
	// overFactor is the multiple of its share that an organisation may have had before it
	// goes after the others, and overNoise the number of standard deviations by which a
	// small sample may exceed the share by chance.
	overFactor = 1.5
	overNoise  = 2.0
	// underRatio is the part of the served fraction of all organisations together below
	// which an organisation goes first. No organisation may fall below a quarter.
	underRatio = 0.5
	// minOffered is the number of recent requests below which nothing is said of an
	// organisation's served fraction.
	minOffered = 1.0
)

// Standing says how an organisation is served compared with the others.
type Standing int

const (
	// Within means that the organisation has had about its share.
	Within Standing = iota
	// Over means that it has had more than its share; others go first.
	Over
	// Under means that it is served much less often than all together; it goes first.
	Under
)

// String returns the name of the standing for logs.
func (s Standing) String() string { return [...]string{"within", "over", "under"}[s] }

// decaying is a count that decreases exponentially with time.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) read(now time.Time) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.value *= math.Exp(-float64(elapsed) / float64(memory))
		d.at = now
	}
	return d.value
}

func (d *decaying) increment(now time.Time) {
	d.read(now)
	d.value++
}

// account is what is known of one organisation or of all together.
type account struct {
	offered, admitted decaying
	weight            float64
	last              time.Time // of the last request
}

func newAccount(now time.Time) *account {
	return &account{offered: decaying{at: now}, admitted: decaying{at: now}, last: now}
}

// Shares counts the requests of organisations to start programs. Only one goroutine may
// use it.
type Shares struct {
	accounts map[string]*account
	all      *account // its weight is the sum of all
	limited  int      // accounts whose organisation has a limit
	swept    time.Time
}

// New returns an empty account of the requests from the given time on.
func New(now time.Time) *Shares {
	return &Shares{accounts: map[string]*account{}, all: newAccount(now), swept: now}
}

// Offer counts a request of an organisation and returns how the organisation is served.
// Shares are in proportion to the limits of those that have sent requests lately. Those
// without a limit (0) get the mean of the others.
func (s *Shares) Offer(organisation string, limit float64, now time.Time) Standing {
	s.sweep(now)
	return s.offer(organisation, limit, now)
}

// Peek returns what Offer would return now, and counts nothing.
func (s *Shares) Peek(organisation string, limit float64, now time.Time) Standing {
	all, limited := *s.all, s.limited
	known := s.accounts[organisation]
	if known == nil {
		defer delete(s.accounts, organisation)
	} else {
		before := *known
		defer func() { *known = before }()
	}
	defer func() { *s.all, s.limited = all, limited }()
	return s.offer(organisation, limit, now)
}

func (s *Shares) offer(organisation string, limit float64, now time.Time) Standing {
	a := s.accounts[organisation]
	if a == nil {
		a = newAccount(now)
		s.accounts[organisation] = a
	}
	s.setWeight(a, max(0, limit))
	a.last = now
	a.offered.increment(now)
	s.all.offered.increment(now)
	return s.standing(a, now)
}

// Admit counts an offered request that was admitted.
func (s *Shares) Admit(organisation string, now time.Time) {
	if a := s.accounts[organisation]; a != nil {
		a.admitted.increment(now)
		s.all.admitted.increment(now)
	}
}

// setWeight sets the weight of an account; 0 if its organisation has no limit.
func (s *Shares) setWeight(a *account, weight float64) {
	s.all.weight += weight - a.weight
	if weight > 0 && a.weight == 0 {
		s.limited++
	} else if weight == 0 && a.weight > 0 {
		s.limited--
	}
	a.weight = weight
}

// standing compares an account with those of all organisations together.
func (s *Shares) standing(a *account, now time.Time) Standing {
	offered, admitted := a.offered.read(now), a.admitted.read(now)
	allOffered, allAdmitted := s.all.offered.read(now), s.all.admitted.read(now)
	if offered > minOffered && admitted/offered < underRatio*allAdmitted/allOffered {
		return Under
	}
	fair := allAdmitted * s.share(a)
	if admitted > overFactor*fair && admitted > fair+overNoise*math.Sqrt(fair)+1 {
		return Over
	}
	return Within
}

// share returns the part of all requests that an organisation may have.
func (s *Shares) share(a *account) float64 {
	if s.limited == 0 {
		return 1 / float64(len(s.accounts))
	}
	mean := s.all.weight / float64(s.limited)
	weight := a.weight
	if weight == 0 {
		weight = mean
	}
	return weight / (s.all.weight + mean*float64(len(s.accounts)-s.limited))
}

// sweep removes the accounts of organisations that have sent nothing for a while.
func (s *Shares) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for name, a := range s.accounts {
		if now.Sub(a.last) > forgetAfter {
			s.setWeight(a, 0)
			delete(s.accounts, name)
		}
	}
	if s.limited == 0 {
		s.all.weight = 0 // removes what rounding has left
	}
}

// Len returns the number of organisations that have sent requests lately.
func (s *Shares) Len() int { return len(s.accounts) }
