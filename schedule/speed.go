package schedule

import "slices"

// The estimates of this file come from the node's own timings. They show a
// slowed backend server after a few tokens, long before its load report does.
const (
	// fastWeight is the weight of a new sample in a backend server's own
	// estimate: three samples of a slowed backend server exceed slowFactor.
	fastWeight = 0.4
	// firstWeight is the same for first tokens, which are noisier: the prompt
	// tokens that are ahead on the backend server are only guessed.
	firstWeight = 0.2
	// poolWeight is the least weight of a new sample in the cell's estimates.
	poolWeight = 0.01
	// sampleCap bounds one sample relative to the expectation, so that one
	// stalled token does not exclude a backend server for long.
	sampleCap = 8
	// slowFactor is the slowness, relative to the median of the cell, above
	// which a backend server gets single probing calls only.
	slowFactor = 2.0
	// normalFactor ends the exclusion; lower than slowFactor, so that a
	// backend server near the limit does not alternate.
	normalFactor = 1.4
	// firstTokenDiscount divides the slowness seen in first tokens, which
	// also depends on what other nodes sent.
	firstTokenDiscount = 1.5
	// outlierCut bounds what one sample adds to an expectation, so that a
	// slowed backend server hardly moves what it is judged by.
	outlierCut = 2
)

// Expectations before the first measurement, typical for one accelerator.
const (
	baseSecondsInit    = 0.03
	prefillSecondsInit = 0.0002
	tokenSecondsInit   = 0.02
	runSecondsInit     = 1
)

// average is a moving mean that starts as a plain mean.
type average struct {
	value   float64
	samples float64
}

func (a *average) add(sample float64) {
	a.samples++
	a.value += max(1/a.samples, poolWeight) * (sample - a.value)
}

func (a *average) or(initial float64) float64 {
	if a.samples == 0 {
		return initial
	}
	return a.value
}

// addCut adds a sample and cuts outliers.
func (a *average) addCut(sample float64) {
	if a.samples > 0 {
		sample = min(sample, outlierCut*a.value)
	}
	a.add(sample)
}

// speeds holds the cell's expectations, in seconds.
type speeds struct {
	base    average // time to the first token without prompt
	prefill average // per uncached prompt token
	run     average // time a call occupies a slot
	// The time between tokens grows with the batch; these means give the
	// regression line.
	batch, token, batchSquared, product average
}

// pace holds how much slower than expected a backend server is.
type pace struct {
	token, first float64
	factor       float64 // relative to the median of the cell
	slow         bool
}

// expectedToken returns the seconds between tokens at a batch size.
func (s *speeds) expectedToken(batch int) float64 {
	if s.token.samples == 0 {
		return tokenSecondsInit
	}
	slope := 0.0
	variance := s.batchSquared.value - s.batch.value*s.batch.value
	if variance > 0.5 {
		slope = max(0, (s.product.value-s.batch.value*s.token.value)/variance)
	}
	line := s.token.value + slope*(float64(batch)-s.batch.value)
	return max(line, s.token.value/4)
}

func (s *speeds) expectedFirst(work int) float64 {
	return s.base.or(baseSecondsInit) + float64(work)*s.prefill.or(prefillSecondsInit)
}

// observeToken takes a measured time between tokens at a batch size.
func (s *speeds) observeToken(p *pace, batch int, seconds float64) {
	expected := s.expectedToken(batch)
	p.token += fastWeight * (min(seconds/expected, sampleCap) - p.token)
	cut, size := min(seconds, outlierCut*expected), float64(batch)
	if s.token.samples == 0 {
		cut = seconds
	}
	s.batch.add(size)
	s.token.add(cut)
	s.batchSquared.add(size * size)
	s.product.add(size * cut)
}

// observeFirst takes a measured time to the first token. Work is the number
// of uncached prompt tokens of the call and of those sent before it.
func (s *speeds) observeFirst(p *pace, work int, seconds float64) {
	ratio := min(seconds/s.expectedFirst(work), sampleCap)
	p.first += firstWeight * (ratio - p.first)
	if work < smallPrefill {
		s.base.addCut(seconds)
		return
	}
	s.prefill.addCut(max(seconds-s.base.or(baseSecondsInit), 0) / float64(work))
}

// smallPrefill is the number of prompt tokens below which the first token
// says more about the fixed time than about the time per token.
const smallPrefill = 64

// atLeast raises an estimate towards a ratio that is already certain, because
// the awaited token has not come yet. It reports whether it did.
func atLeast(estimate *float64, weight, seconds, expected float64) bool {
	ratio := min(seconds/expected, sampleCap)
	if ratio <= *estimate {
		return false
	}
	*estimate += weight * (ratio - *estimate)
	return true
}

// judge compares all backend servers with the median of the cell. When most
// are slow the median is slow too and none counts as slowed, so that no
// overload excludes backend servers one after the other.
func (c *cell) judge() {
	c.dirty = false
	tokens, firsts := c.sorted[0][:0], c.sorted[1][:0]
	for _, s := range c.servers {
		if s != nil && s.listed && !s.Leaving {
			tokens = append(tokens, s.pace.token)
			firsts = append(firsts, s.pace.first)
		}
	}
	c.sorted = [2][]float64{tokens, firsts}
	if len(tokens) == 0 {
		return
	}
	token, first := median(tokens), median(firsts)
	for _, s := range c.servers {
		if s == nil {
			continue
		}
		p := &s.pace
		p.factor = max(p.token/token, p.first/first/firstTokenDiscount, minFactor)
		p.slow = p.factor > slowFactor || p.slow && p.factor > normalFactor
	}
}

// minFactor bounds how much faster than the median a backend server counts.
const minFactor = 0.7

func median(values []float64) float64 {
	slices.Sort(values)
	return max(values[(len(values)-1)/2], 0.05)
}
