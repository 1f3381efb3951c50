package engine

import (
	"slices"
	"time"
)

// reportSpacing is the shortest time between two stored load reports, as a
// fraction of the report lag. It bounds their number.
const reportSpacing = 1.0 / 32

// Totals are counters since the last start of the engine.
type Totals struct {
	Started         int64 `json:"started"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
}

// LoadReport is the response to GET /load. All fields except StartID show the
// state Config.ReportLag ago.
type LoadReport struct {
	Name        string   `json:"name"`
	StartID     string   `json:"start_id"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Slots       int      `json:"slots"`
	HeldTokens  int64    `json:"held_tokens"`
	Leaving     bool     `json:"leaving"`
	Role        string   `json:"role"`
	Models      []string `json:"models"`
	Totals      Totals   `json:"totals"`
	TakenUnixMS int64    `json:"taken_unix_ms"`
	takenAt     time.Time
}

// CacheEvents is the response to GET /cache/events.
type CacheEvents struct {
	StartID string       `json:"start_id"`
	Events  []CacheEvent `json:"events"`
}

// ProgramMemory is the response to GET /held: the memory per program, in tokens.
type ProgramMemory struct {
	StartID  string           `json:"start_id"`
	Programs map[string]int64 `json:"programs"`
}

// recordReport stores a load report of the current state, which readers get
// after the report lag.
func (c *core) recordReport(now time.Time) {
	report := LoadReport{
		Name:        c.config.Name,
		Running:     len(c.running),
		Waiting:     len(c.waiting),
		Slots:       c.config.Slots,
		HeldTokens:  c.heldTokens(),
		Leaving:     c.leaving,
		Role:        c.role,
		Models:      slices.Clone(c.models),
		Totals:      c.totals,
		TakenUnixMS: now.UnixMilli(),
		takenAt:     now,
	}
	lag := c.config.wallTime(c.config.ReportLag)
	spacing := time.Duration(float64(lag) * reportSpacing)
	n := len(c.reports)
	if n > 1 && now.Sub(c.reports[n-2].takenAt) < spacing {
		c.reports[n-1] = report
	} else {
		c.reports = append(c.reports, report)
	}
	c.pruneReports(now)
}

// pruneReports removes the reports that a newer visible one replaces.
func (c *core) pruneReports(now time.Time) {
	visible := now.Add(-c.config.wallTime(c.config.ReportLag))
	for len(c.reports) > 1 && !c.reports[1].takenAt.After(visible) {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
}

// visibleReport returns the load report that readers get now.
func (c *core) visibleReport(now time.Time) LoadReport {
	c.pruneReports(now)
	report := c.reports[0]
	report.StartID = c.startID
	return report
}

// heldTokensByProgram returns the memory per program in tokens: its cached
// blocks and the tokens of its running requests that are not cached yet.
func (c *core) heldTokensByProgram() map[string]int64 {
	held := make(map[string]int64, len(c.cache.heldBlocks))
	for program, blocks := range c.cache.heldBlocks {
		held[program] = int64(blocks * c.config.BlockTokens)
	}
	for _, r := range c.running {
		held[r.program] += r.uncachedTokens()
	}
	return held
}

// heldTokens returns the memory in use in tokens. A block that several programs
// hold counts once.
func (c *core) heldTokens() int64 {
	total := int64(c.cache.lru.Len() * c.config.BlockTokens)
	for _, r := range c.running {
		total += r.uncachedTokens()
	}
	return total
}

// uncachedTokens returns the memory in tokens that a running request holds
// outside the prefix cache.
func (r *request) uncachedTokens() int64 {
	if r.phase == prefill {
		return int64(TokenCount(r.prompt) - r.cachedTokens)
	}
	return int64(r.generated)
}
