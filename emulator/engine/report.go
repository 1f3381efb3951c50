package engine

import (
	"slices"
	"time"
)

// reportSpacing is the shortest time between two kept load reports, as a
// share of the lag. It bounds their number.
const reportSpacing = 1.0 / 32

// Totals counts since the start of the engine.
type Totals struct {
	Started         int64 `json:"started"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
}

// LoadReport is the answer to GET /load. All fields but StartID are as old as
// the lag.
type LoadReport struct {
	Name    string   `json:"name"`
	StartID string   `json:"start_id"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Slots   int      `json:"slots"`
	Held    int64    `json:"held_tokens"`
	Leaving bool     `json:"leaving"`
	Role    string   `json:"role"`
	Models  []string `json:"models"`
	Totals  Totals   `json:"totals"`
	TakenMS int64    `json:"taken_unix_ms"`
	takenAt time.Time
}

// CacheEvents is the answer to GET /cache/events.
type CacheEvents struct {
	StartID string       `json:"start_id"`
	Events  []CacheEvent `json:"events"`
}

// Held is the answer to GET /held: tokens of memory per program.
type Held struct {
	StartID  string           `json:"start_id"`
	Programs map[string]int64 `json:"programs"`
}

// note keeps the current state for readers that see it later.
func (c *core) note(now time.Time) {
	report := LoadReport{
		Name:    c.config.Name,
		Running: len(c.running),
		Waiting: len(c.waiting),
		Slots:   c.config.Slots,
		Held:    c.heldTokens(),
		Leaving: c.leaving,
		Role:    c.role,
		Models:  slices.Clone(c.models),
		Totals:  c.totals,
		TakenMS: now.UnixMilli(),
		takenAt: now,
	}
	lag := c.config.real(c.config.ReportLag)
	spacing := time.Duration(float64(lag) * reportSpacing)
	n := len(c.reports)
	if n > 1 && now.Sub(c.reports[n-2].takenAt) < spacing {
		c.reports[n-1] = report
	} else {
		c.reports = append(c.reports, report)
	}
	c.pruneReports(now)
}

// pruneReports drops the reports that a younger visible one replaces.
func (c *core) pruneReports(now time.Time) {
	visible := now.Add(-c.config.real(c.config.ReportLag))
	for len(c.reports) > 1 && !c.reports[1].takenAt.After(visible) {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
}

// load returns the load report that readers see now.
func (c *core) load(now time.Time) LoadReport {
	c.pruneReports(now)
	report := c.reports[0]
	report.StartID = c.startID
	return report
}

// held returns the memory per program: its cached blocks and the tokens of
// its running requests that are in no block yet.
func (c *core) heldPrograms() map[string]int64 {
	held := make(map[string]int64, len(c.cache.held))
	for program, blocks := range c.cache.held {
		held[program] = int64(blocks * c.config.BlockTokens)
	}
	for _, r := range c.running {
		held[r.program] += r.tokens()
	}
	return held
}

func (c *core) heldTokens() int64 {
	total := int64(c.cache.recent.Len() * c.config.BlockTokens)
	for _, r := range c.running {
		total += r.tokens()
	}
	return total
}

// tokens returns the memory that a running request holds outside the cache.
func (r *request) tokens() int64 {
	if r.phase == prefill {
		return int64(Tokens(r.prompt) - r.cached)
	}
	return int64(r.produced)
}
