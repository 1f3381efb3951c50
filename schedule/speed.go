package schedule

import "slices"

// The estimates in this file come from the node's own timings. They reveal a
// slowed backend server after a few tokens, long before its load report does.
const (
	// tokenSampleWeight is the weight of a new sample in a backend server's
	// tokenRatio. Three samples of a slowed backend server exceed
	// slowThreshold.
	tokenSampleWeight = 0.4
	// firstTokenSampleWeight is the weight of a new sample in firstTokenRatio.
	// It is smaller because these samples are noisier: the number of prompt
	// tokens that the backend server computes first is only an estimate.
	firstTokenSampleWeight = 0.2
	// minSampleWeight is the smallest weight of a new sample in a
	// movingAverage.
	minSampleWeight = 0.01
	// maxSampleRatio caps one sample relative to the expectation, so that one
	// stalled token does not exclude a backend server for long.
	maxSampleRatio = 8
	// slowThreshold is the slowness, relative to the median of the cell, above
	// which a backend server gets only one probing call at a time.
	slowThreshold = 2.0
	// recoveredThreshold is the slowness at which a slowed backend server gets
	// ordinary calls again. It is lower than slowThreshold, so that a backend
	// server near the limit does not alternate.
	recoveredThreshold = 1.4
	// firstTokenDiscount divides the slowness measured on first tokens, which
	// also depends on the calls that other nodes sent.
	firstTokenDiscount = 1.5
	// outlierFactor clips a sample to this multiple of the expectation, so
	// that a slowed backend server hardly changes the expectation that it is
	// compared with.
	outlierFactor = 2
)

// Expectations before the first measurement, typical for one accelerator.
const (
	initialBaseSeconds    = 0.03
	initialPrefillSeconds = 0.0002
	initialTokenSeconds   = 0.02
	initialRunSeconds     = 1
)

// movingAverage is an exponential moving average that starts as the plain mean
// of its samples.
type movingAverage struct {
	value   float64
	samples float64
}

func (a *movingAverage) add(sample float64) {
	a.samples++
	a.value += max(1/a.samples, minSampleWeight) * (sample - a.value)
}

func (a *movingAverage) valueOr(initial float64) float64 {
	if a.samples == 0 {
		return initial
	}
	return a.value
}

// addClipped adds a sample and clips outliers.
func (a *movingAverage) addClipped(sample float64) {
	if a.samples > 0 {
		sample = min(sample, outlierFactor*a.value)
	}
	a.add(sample)
}

// latencyModel holds the expected latencies in a cell, in seconds.
type latencyModel struct {
	base    movingAverage // time to the first token of an empty prompt
	prefill movingAverage // per uncached prompt token
	run     movingAverage // time a call occupies a slot
	// The time between tokens grows with the batch size. These means, of both,
	// of the squared batch size and of their product, determine the linear
	// regression.
	batch, token, batchSquared, product movingAverage
}

// slowness holds how much slower than expected a backend server is.
type slowness struct {
	tokenRatio, firstTokenRatio float64 // moving averages of measured over expected time
	factor                      float64 // relative to the median of the cell
	slowed                      bool    // gets only one probing call at a time
}

// expectedTokenInterval returns the expected seconds between tokens at a batch
// size.
func (m *latencyModel) expectedTokenInterval(batch int) float64 {
	if m.token.samples == 0 {
		return initialTokenSeconds
	}
	slope := 0.0
	variance := m.batchSquared.value - m.batch.value*m.batch.value
	if variance > 0.5 { // otherwise the batch sizes vary too little to show a slope
		slope = max(0, (m.product.value-m.batch.value*m.token.value)/variance)
	}
	line := m.token.value + slope*(float64(batch)-m.batch.value)
	return max(line, m.token.value/4)
}

// expectedFirstToken returns the expected seconds to the first token when the
// given number of prompt tokens must be computed before it.
func (m *latencyModel) expectedFirstToken(prefillTokens int) float64 {
	return m.base.valueOr(initialBaseSeconds) + float64(prefillTokens)*m.prefill.valueOr(initialPrefillSeconds)
}

// observeTokenInterval adds a measured time between tokens at a batch size.
func (m *latencyModel) observeTokenInterval(estimate *slowness, batch int, seconds float64) {
	expected := m.expectedTokenInterval(batch)
	estimate.tokenRatio += tokenSampleWeight * (min(seconds/expected, maxSampleRatio) - estimate.tokenRatio)
	clipped, size := min(seconds, outlierFactor*expected), float64(batch)
	if m.token.samples == 0 {
		clipped = seconds
	}
	m.batch.add(size)
	m.token.add(clipped)
	m.batchSquared.add(size * size)
	m.product.add(size * clipped)
}

// observeFirstToken adds a measured time to the first token. prefillTokens is
// the number of uncached prompt tokens of the call and of those sent before it.
func (m *latencyModel) observeFirstToken(estimate *slowness, prefillTokens int, seconds float64) {
	ratio := min(seconds/m.expectedFirstToken(prefillTokens), maxSampleRatio)
	estimate.firstTokenRatio += firstTokenSampleWeight * (ratio - estimate.firstTokenRatio)
	if prefillTokens < smallPrefillTokens {
		m.base.addClipped(seconds)
		return
	}
	m.prefill.addClipped(max(seconds-m.base.valueOr(initialBaseSeconds), 0) / float64(prefillTokens))
}

// smallPrefillTokens is the number of prompt tokens below which the time to the
// first token says more about the fixed part than about the time per token.
const smallPrefillTokens = 64

// raiseEstimate raises an estimate towards the ratio of the time waited so far
// to the expected time. The final ratio can only be larger, because the token
// has not arrived yet. It reports whether the estimate was raised.
func raiseEstimate(estimate *float64, weight, seconds, expected float64) bool {
	ratio := min(seconds/expected, maxSampleRatio)
	if ratio <= *estimate {
		return false
	}
	*estimate += weight * (ratio - *estimate)
	return true
}

// detectSlowServers compares all backend servers with the median of the cell.
// When most are slow, the median is slow too and none counts as slowed, so that
// an overload does not exclude one backend server after the other.
func (c *cell) detectSlowServers() {
	c.hasNewTimings = false
	tokens, firsts := c.ratios[0][:0], c.ratios[1][:0]
	for _, s := range c.servers {
		if s != nil && s.listed && !s.Leaving {
			tokens = append(tokens, s.slowness.tokenRatio)
			firsts = append(firsts, s.slowness.firstTokenRatio)
		}
	}
	c.ratios = [2][]float64{tokens, firsts}
	if len(tokens) == 0 {
		return
	}
	medianToken, medianFirst := median(tokens), median(firsts)
	for _, s := range c.servers {
		if s == nil {
			continue
		}
		estimate := &s.slowness
		estimate.factor = max(estimate.tokenRatio/medianToken, estimate.firstTokenRatio/medianFirst/firstTokenDiscount, minFactor)
		estimate.slowed = estimate.factor > slowThreshold || estimate.slowed && estimate.factor > recoveredThreshold
	}
}

// minFactor bounds how much faster than the median a backend server can count
// as.
const minFactor = 0.7

// median sorts the values in place. The lower bound keeps the ratios to the
// median finite.
func median(values []float64) float64 {
	slices.Sort(values)
	return max(values[(len(values)-1)/2], 0.05)
}
