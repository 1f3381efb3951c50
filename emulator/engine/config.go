// Package engine is a small stand-in of a model engine. It serves the
// chat-completion form over HTTP on loopback, batches continuously, caches
// prompt prefixes in limited memory, and has switches for faults.
//
// One duty owns the whole state of an engine. Handlers decode a request, push
// a message onto a ring and wait for progress on a ring of their own. A second
// duty owns the listener, so that a crash can drop all connections.
package engine

import "time"

// Config holds the settings of an engine. Durations and rates are in model
// time, which TimeScale compresses.
type Config struct {
	Name string
	// Address is the loopback address, empty for a free port.
	Address string
	// Seed determines start ids and which cache events are lost.
	Seed uint64
	// TimeScale is the number of model seconds in one real second.
	TimeScale float64

	// Slots is the number of requests in the batch.
	Slots int
	// MaxWaiting is the number of requests that may wait for a slot. Further
	// ones are refused as overloaded.
	MaxWaiting int
	// PrefillTokensPerS is shared by all requests that are in prefill.
	PrefillTokensPerS float64
	// DecodeTokensPerS is the rate of one request that is alone in the batch.
	DecodeTokensPerS float64
	// BatchSlowdown is the share by which each further request in the batch
	// lengthens the time per token.
	BatchSlowdown float64
	// ChunkTokens is the number of tokens in a streamed chunk after the first
	// token, which is sent alone.
	ChunkTokens int
	// MaxTokens is the largest answer in tokens.
	MaxTokens int

	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the number of blocks that the prefix cache holds.
	CacheBlocks int

	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// EventLag is the time after which a cache event becomes visible.
	EventLag time.Duration
	// EventLoss is the share of cache events that are never published.
	EventLoss float64

	// ObeyFencing makes the engine refuse orders and requests that carry a
	// lower fencing number than one it has seen.
	ObeyFencing bool
	// Credential is the bearer token that callers must send, empty for none.
	Credential string
	// Models lists the loaded models and adapters. When it is empty, any
	// model is served.
	Models []string
	// LoadTime is the time that loading a model or adapter takes.
	LoadTime time.Duration

	// ResumeWindow is the time that a request runs on after its client
	// disconnected, so that the stream can be resumed. Zero cancels at once.
	ResumeWindow time.Duration
	// RetainedAnswers is the number of complete answers kept for resuming.
	RetainedAnswers int

	// CrashMarker is the text in a prompt that makes the engine crash when
	// the request starts to run. Empty disables it.
	CrashMarker string
	// RestartDelay is the time between a crash and the next start.
	RestartDelay time.Duration
}

// DefaultConfig returns settings of a medium engine without faults and without lag.
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

// Switches are the settings that the admin endpoint changes at run time. Nil
// fields stay as they are.
type Switches struct {
	// SlowFactor divides all rates, 1 for full speed.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// CrashMarker replaces Config.CrashMarker.
	CrashMarker *string `json:"crash_marker,omitempty"`
	// Leaving makes the engine refuse new work with reason "leaving".
	Leaving *bool `json:"leaving,omitempty"`
	// Hang stops all progress and all answers but those to switches.
	Hang *bool `json:"hang,omitempty"`
	// CrashNow crashes the engine.
	CrashNow bool `json:"crash_now,omitempty"`
}

func (c Config) real(model time.Duration) time.Duration {
	return time.Duration(float64(model) / c.TimeScale)
}
