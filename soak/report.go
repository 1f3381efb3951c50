package soak

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"dogwoodline.example/soak/check"
)

// Distribution describes durations, in milliseconds.
type Distribution struct {
	Count  int   `json:"count"`
	Failed int   `json:"failed"`
	P50MS  int64 `json:"p50_ms"`
	P90MS  int64 `json:"p90_ms"`
	MaxMS  int64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed       uint64            `json:"seed"`
	Seconds    float64           `json:"seconds"`
	Nodes      int               `json:"nodes"`
	Programs   int               `json:"programs"`
	Calls      int               `json:"calls"`
	Effects    int               `json:"effects"`
	Writes     int               `json:"writes"`
	Outcomes   map[string]int    `json:"outcomes"`
	Faults     map[string]int    `json:"faults"`
	Recovery   Distribution      `json:"recovery"`
	Violations []check.Violation `json:"violations"`
	// Folder holds the settings and logs of the nodes, when they are kept.
	Folder string `json:"folder,omitempty"`
}

func newReport(config Config, h check.History, took time.Duration) Report {
	r := Report{
		Seed: config.Seed, Seconds: took.Seconds(), Nodes: config.Nodes, Programs: len(h.Programs), Calls: len(h.Calls),
		Effects: len(h.Effects), Writes: len(h.Writes), Outcomes: map[string]int{}, Faults: map[string]int{},
		Recovery:   distribution(h.Recoveries),
		Violations: check.Check(h, check.DefaultBounds(config.Lease)),
	}
	for _, c := range h.Calls {
		name := string(c.Code)
		if c.Reason != "" {
			name += " " + string(c.Reason)
		}
		r.Outcomes[name]++
	}
	for _, f := range h.Faults {
		r.Faults[f.Kind]++
	}
	return r
}

// distribution describes, for each kill, the time until the first of the
// victim's programs was served, and until the last of the timed ones.
func distribution(recoveries []check.Recovery) Distribution {
	var d Distribution
	var times []time.Duration
	for _, r := range recoveries {
		if r.Failed {
			d.Failed++
			continue
		}
		times = append(times, r.Served-r.Killed)
	}
	slices.Sort(times)
	d.Count = len(times)
	if d.Count == 0 {
		return d
	}
	d.P50MS = times[(d.Count-1)/2].Milliseconds()
	d.P90MS = times[(d.Count*9-1)/10].Milliseconds()
	d.MaxMS = times[d.Count-1].Milliseconds()
	return d
}

// Write writes the report as a table, and each violation with its history.
func (r Report) Write(to io.Writer) {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(name string, value any) {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", name, value) // a closed output cannot be told
	}
	row("seed", r.Seed)
	row("seconds", fmt.Sprintf("%.1f", r.Seconds))
	row("nodes", r.Nodes)
	row("programs", r.Programs)
	row("calls told", r.Calls)
	row("ledger effects", r.Effects)
	row("resource writes", r.Writes)
	for _, name := range sorted(r.Outcomes) {
		row("outcome "+name, r.Outcomes[name])
	}
	for _, name := range sorted(r.Faults) {
		row("fault "+name, r.Faults[name])
	}
	if r.Recovery.Count+r.Recovery.Failed > 0 {
		row("recovery ms", fmt.Sprintf("programs %d, failed %d, p50 %d, p90 %d, max %d",
			r.Recovery.Count, r.Recovery.Failed, r.Recovery.P50MS, r.Recovery.P90MS, r.Recovery.MaxMS))
	}
	row("violations", len(r.Violations))
	_ = table.Flush() // as above
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(to, v) // as above
	}
	if r.Folder != "" {
		_, _ = fmt.Fprintln(to, "settings and logs of the nodes:", r.Folder) // as above
	}
}

func sorted(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
