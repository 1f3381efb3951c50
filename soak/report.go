package soak

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"dogwoodline.example/soak/check"
)

// RecoverySummary summarizes the times in which programs were served again after
// their node was killed. Count counts the programs that were, Failed those that
// were not served in time. The percentiles and the maximum are in milliseconds.
type RecoverySummary struct {
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
	Recovery   RecoverySummary   `json:"recovery"`
	Violations []check.Violation `json:"violations"`
	// Folder is the folder with the settings and logs of the nodes. It is empty
	// if they were removed.
	Folder string `json:"folder,omitempty"`
}

func newReport(config Config, h check.History, elapsed time.Duration) Report {
	r := Report{
		Seed: config.Seed, Seconds: elapsed.Seconds(), Nodes: config.Nodes, Programs: len(h.Programs), Calls: len(h.Calls),
		Effects: len(h.Effects), Writes: len(h.ConfigWrites), Outcomes: map[string]int{}, Faults: map[string]int{},
		Recovery:   recoveryDistribution(h.Recoveries),
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

// recoveryDistribution summarizes the times from a kill until a timed program of
// the killed node was served again, over the programs of all kills.
func recoveryDistribution(recoveries []check.Recovery) RecoverySummary {
	var d RecoverySummary
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

// Write writes the report as a table, followed by each violation with the part
// of the history that shows it. Errors of w are ignored.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", name, value) // an error of the output cannot be reported anywhere
	}
	row("seed", r.Seed)
	row("seconds", fmt.Sprintf("%.1f", r.Seconds))
	row("nodes", r.Nodes)
	row("programs", r.Programs)
	row("calls observed", r.Calls)
	row("ledger effects", r.Effects)
	row("resource writes", r.Writes)
	for _, name := range sortedKeys(r.Outcomes) {
		row("outcome "+name, r.Outcomes[name])
	}
	for _, name := range sortedKeys(r.Faults) {
		row("fault "+name, r.Faults[name])
	}
	if r.Recovery.Count+r.Recovery.Failed > 0 {
		row("recovery ms", fmt.Sprintf("programs %d, failed %d, p50 %d, p90 %d, max %d",
			r.Recovery.Count, r.Recovery.Failed, r.Recovery.P50MS, r.Recovery.P90MS, r.Recovery.MaxMS))
	}
	row("violations", len(r.Violations))
	_ = table.Flush() // see row
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, v) // see row
	}
	if r.Folder != "" {
		_, _ = fmt.Fprintln(w, "settings and logs of the nodes:", r.Folder) // see row
	}
}

func sortedKeys(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
