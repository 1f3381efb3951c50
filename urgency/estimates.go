package urgency

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which an observation counts half. Loads swing within
	// about ten seconds, and a front that sees a call each second still has some tens
	// of observations.
	halfLife = 30 * time.Second
	// decayInterval is how often observations are given less weight.
	decayInterval = time.Second
	// maxTurns is the number of turns that are counted one by one.
	maxTurns = 64
	// maxRoutes bounds the routes with estimates; further ones share one estimate.
	maxRoutes = 1024
)

// Estimates is what a front has learned of the programs of each route. Each front sees
// a random sample of all calls, so the turns that it counts by their number show how
// many programs go on after each turn. It is not safe for concurrent use.
type Estimates struct {
	routes   map[string]*routeEstimate
	programs programs
}

// New returns estimates that have learned nothing.
func New() *Estimates {
	return &Estimates{routes: map[string]*routeEstimate{}, programs: programs{newer: map[string]lastTurn{}}}
}

// Ended learns from a call that was answered completely. Started is when it was sent
// to the backend server that answered it.
func (e *Estimates) Ended(call Call, started, ended time.Time) {
	r := e.route(call.Route)
	r.decay(ended)
	r.turn.add(ended.Sub(started).Seconds())
	if call.LengthHint > 0 {
		r.hint.add(float64(call.LengthHint))
	}
	before, known := e.programs.get(call.Program, ended)
	if call.Turn == NotTurn {
		if known {
			r.calledFrom = before.route
		}
		return
	}
	r.reached[min(call.Turn, maxTurns-1)]++
	if call.Turn == 0 && call.FinishWithin > 0 {
		r.objective.add(call.FinishWithin.Seconds())
	}
	if known && before.session != call.Session {
		return // of a sub-agent, or the turns of its parent go on
	}
	if known && before.route == call.Route && before.turn == call.Turn-1 && call.Arrived.After(before.ended) {
		r.between.add(call.Arrived.Sub(before.ended).Seconds())
	}
	e.programs.put(call.Program, lastTurn{route: call.Route, session: call.Session, turn: call.Turn, ended: ended}, ended)
}

// route returns the estimate of a route and creates it when it is new.
func (e *Estimates) route(name string) *routeEstimate {
	if r := e.routes[name]; r != nil {
		return r
	}
	if len(e.routes) >= maxRoutes {
		name = ""
	}
	r := e.routes[name]
	if r == nil {
		r = &routeEstimate{}
		e.routes[name] = r
	}
	return r
}

// look returns the estimate of a route, which must not be changed. One of a new route has
// no observations.
func (e *Estimates) look(name string) *routeEstimate {
	if r := e.routes[name]; r != nil {
		return r
	}
	if r := e.routes[""]; r != nil && len(e.routes) >= maxRoutes {
		return r
	}
	return &routeEstimate{}
}

// routeEstimate is what is known of the calls of one route.
type routeEstimate struct {
	reached    [maxTurns]float64 // turns by the number of turns before them
	turn       sample            // seconds that a call takes at its backend server
	between    sample            // seconds from the end of a turn to the next one: pauses and tools
	objective  sample            // seconds that programs have left at their first turn
	hint       sample            // clients' estimates of the output
	calledFrom string            // for calls that are no turns: the route of the turns of their programs
	decayed    time.Time
}

// decay gives the observations less weight for the time that has passed.
func (r *routeEstimate) decay(now time.Time) {
	passed := now.Sub(r.decayed)
	if passed < decayInterval {
		return
	}
	if !r.decayed.IsZero() {
		factor := math.Exp2(-float64(passed) / float64(halfLife))
		for i := range r.reached {
			r.reached[i] *= factor
		}
		for _, s := range []*sample{&r.turn, &r.between, &r.objective, &r.hint} {
			s.decay(factor)
		}
	}
	r.decayed = now
}

// expectedTime returns the seconds that a call takes with the client's estimate of its
// output.
func (r *routeEstimate) expectedTime(hint int) float64 {
	mean := r.turn.mean()
	if usual := r.hint.mean(); hint > 0 && usual > 0 {
		ratio := min(maxHintRatio, max(1/maxHintRatio, float64(hint)/usual))
		mean *= 1 + hintWeight*(ratio-1)
	}
	return mean
}

// turnCount is the expected number of turns and its variance.
type turnCount struct{ mean, variance float64 }

// furtherTurns returns how many turns follow a turn with the given number before it.
func (r *routeEstimate) furtherTurns(turn int) turnCount {
	turn = min(turn, maxTurns-1)
	var mean, squares float64
	share := 1.0 // of the programs that go on to turn i; it never grows
	for i := turn + 1; i < maxTurns; i++ {
		share = min(share, r.reached[i]/max(1, r.reached[turn]))
		mean += share
		squares += float64(2*(i-turn)-1) * share
	}
	return turnCount{mean: mean, variance: max(0, squares-mean*mean)}
}

// furtherOfAny returns how many turns follow a turn of unknown number.
func (r *routeEstimate) furtherOfAny() turnCount {
	var all, mean, squares float64
	for i, count := range r.reached {
		if count == 0 {
			continue
		}
		n := r.furtherTurns(i)
		all += count
		mean += count * n.mean
		squares += count * (n.variance + n.mean*n.mean)
	}
	if all == 0 {
		return turnCount{}
	}
	mean /= all
	return turnCount{mean: mean, variance: max(0, squares/all-mean*mean)}
}

// sample is the weighted mean and variance of observations.
type sample struct{ weight, sum, squares float64 }

func (s *sample) add(value float64) {
	s.weight++
	s.sum += value
	s.squares += value * value
}

func (s *sample) decay(factor float64) {
	s.weight, s.sum, s.squares = s.weight*factor, s.sum*factor, s.squares*factor
}

// mean returns the mean, or 0 if nothing was observed.
func (s *sample) mean() float64 {
	if s.weight == 0 {
		return 0
	}
	return s.sum / s.weight
}

func (s *sample) variance() float64 {
	if s.weight == 0 {
		return 0
	}
	mean := s.mean()
	return max(0, s.squares/s.weight-mean*mean)
}

// errorVariance returns the variance of the mean. One observation is taken to be off
// by as much as its value.
func (s *sample) errorVariance() float64 {
	if s.weight == 0 {
		return 0
	}
	mean := s.mean()
	return max(s.variance(), mean*mean/max(1, s.weight)) / max(1, s.weight)
}
