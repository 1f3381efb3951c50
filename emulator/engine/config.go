// Package engine is a stand-in for a model engine, the server that runs
// inference. It serves a chat-completion API over HTTP, simulates continuous
// batching and a prefix cache of limited size, and injects faults on request.
//
// One worker goroutine owns the whole state of an engine. An HTTP handler
// decodes its request, queues it for that worker and waits for progress on a
// ring, a bounded queue, of its own. A second worker owns the listener, so that
// a simulated crash can drop all connections.
package engine

import "time"

// Config holds the settings of an engine. Durations and rates are in simulated
// time, which TimeScale relates to wall-clock time.
type Config struct {
	// Name identifies the engine in log lines, load reports and start ids.
	Name string
	// Address is the host and port to listen on. When it is empty, a free
	// port of 127.0.0.1 is used.
	Address string
	// Seed seeds the random numbers for start ids and lost cache events.
	Seed uint64
	// TimeScale is the number of simulated seconds per wall-clock second.
	TimeScale float64

	// Slots is the maximum number of requests in the batch.
	Slots int
	// MaxWaiting is the maximum number of requests that wait for a slot. The
	// engine refuses further ones as overloaded.
	MaxWaiting int
	// PrefillTokensPerS is the prefill rate of the engine in tokens per second.
	// All requests in prefill share it.
	PrefillTokensPerS float64
	// DecodeTokensPerS is the decode rate in tokens per second of a request
	// that is alone in the batch.
	DecodeTokensPerS float64
	// BatchSlowdown is the fraction by which each further request in the batch
	// increases the time per generated token.
	BatchSlowdown float64
	// ChunkTokens is the number of tokens per streamed chunk. The first chunk
	// has only one token.
	ChunkTokens int
	// MaxTokens is the longest answer, in tokens, that a request may ask for.
	MaxTokens int

	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int

	// ReportLag is the age of the load report that readers get.
	ReportLag time.Duration
	// EventLag is the delay after which readers get a cache event.
	EventLag time.Duration
	// EventLoss is the fraction, 0 to 1, of cache events that are never
	// published.
	EventLoss float64

	// ObeyFencing makes the engine refuse orders and requests with a fencing
	// number lower than the highest one it has accepted.
	ObeyFencing bool
	// Credential is the bearer token that callers must send, empty for none.
	Credential string
	// Models lists the loaded models and adapters. When it is empty, any
	// model is served.
	Models []string
	// LoadTime is the time it takes to load a model or adapter.
	LoadTime time.Duration

	// ResumeWindow is how long a request keeps running after its client
	// disconnected, so that the client can resume the stream. Zero cancels the
	// request immediately.
	ResumeWindow time.Duration
	// RetainedAnswers is the number of complete answers that are kept so that
	// their streams can be resumed.
	RetainedAnswers int

	// CrashMarker is a text that makes the engine crash when a request with
	// it in the prompt gets a slot. Empty disables it.
	CrashMarker string
	// RestartDelay is the time between a crash and the restart.
	RestartDelay time.Duration
}

// DefaultConfig returns the settings of a medium-sized engine without faults
// and without delayed reports.
func DefaultConfig() Config {
	return Config{
		Name:              "engine",
		Seed:              1,
		TimeScale:         1,
		Slots:             8,
		MaxWaiting:        64,
		PrefillTokensPerS: 8000,
		DecodeTokensPerS:  60,
		BatchSlowdown:     0.04,
		ChunkTokens:       8,
		MaxTokens:         16384,
		BlockTokens:       16,
		CacheBlocks:       8192,
		ObeyFencing:       true,
		RetainedAnswers:   256,
		RestartDelay:      500 * time.Millisecond,
	}
}

// Switches are the fault settings that POST /admin changes at run time. Nil
// fields leave a setting unchanged.
type Switches struct {
	// SlowFactor divides all rates; 1 is full speed. Values that are not
	// positive are ignored.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// CrashMarker replaces Config.CrashMarker.
	CrashMarker *string `json:"crash_marker,omitempty"`
	// Leaving makes the engine drain: it refuses new requests with reason
	// "leaving".
	Leaving *bool `json:"leaving,omitempty"`
	// Hang stops all progress and all responses except those of POST /admin.
	Hang *bool `json:"hang,omitempty"`
	// CrashNow crashes the engine.
	CrashNow bool `json:"crash_now,omitempty"`
}

// wallTime converts a duration from simulated to wall-clock time.
func (c Config) wallTime(simulated time.Duration) time.Duration {
	return time.Duration(float64(simulated) / c.TimeScale)
}
