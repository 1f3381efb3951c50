package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// ObjectiveResult compares one result with a performance target of the design page.
type ObjectiveResult struct {
	Measure string  `json:"measure"`
	Policy  string  `json:"policy"`
	Seed    uint64  `json:"seed"`
	Value   float64 `json:"value"`
	Limit   float64 `json:"limit"`
	Met     bool    `json:"met"`
}

type resultKey struct {
	scenario, policy string
	seed             uint64
}

// CompareObjectives compares the results with the performance targets that can be checked
// on one seed. Comparisons that lack one of their runs are left out.
func CompareObjectives(results []Result) []ObjectiveResult {
	byKey := map[resultKey]*Result{}
	for i := range results {
		r := &results[i]
		byKey[resultKey{r.Scenario, r.Policy, r.Seed}] = r
	}
	var lines []ObjectiveResult
	for i := range results {
		r := &results[i]
		short := shortClass(r.Deployment)
		sameSeed := func(scenario, policy string) *Result {
			return byKey[resultKey{scenario, policy, r.Seed}]
		}
		add := func(measure string, value, limit float64, atLeast bool) {
			met := value <= limit
			if atLeast {
				met = value >= limit
			}
			lines = append(lines, ObjectiveResult{measure, r.Policy, r.Seed, value, limit, met})
		}
		steady := sameSeed("steady", r.Policy)
		switch r.Scenario {
		case "steady":
			if o := sameSeed("steady", "least-reported-load-fcfs"); o != nil {
				add("steady p95 / least-reported p95", r.P95MS/o.P95MS, 0.6, false)
			}
			if o := sameSeed("steady", "random-fcfs"); o != nil {
				add("steady p95 / random p95", r.P95MS/o.P95MS, 0.4, false)
			}
			add("steady recomputed", r.RecomputedShare(), 0.05, false)
		case "slowed":
			if steady != nil {
				add("slowed p99 / steady p99", r.P99MS/steady.P99MS, 1.3, false)
			}
			add("slowed hedge work", r.HedgeShare, 0.05, false)
		case "crest":
			calm, crest := r.Find(short, "", PhaseCalm, false), r.Find(short, "", PhaseCrest, false)
			add("crest short p95 / calm", crest.P95MS/calm.P95MS, 2, false)
			add("crest goodput", r.Goodput, 0.95, true)
			add("crest recomputed", r.RecomputedShare(), 0.05, false)
		case "stragglers":
			if steady != nil {
				current, reference := r.Find(short, "", "", false), steady.Find(short, "", "", false)
				add("stragglers short p95 / steady", current.P95MS/reference.P95MS, 1.2, false)
			}
			add("stragglers failed", float64(r.Failed), 0, false)
		}
	}
	return lines
}

// shortClass returns the name of the deployment's class of short programs, or an
// empty name if there is none.
func shortClass(deployment string) string {
	d, err := DeploymentByName(deployment)
	if err != nil {
		return ""
	}
	for _, c := range d.Classes {
		if c.Short {
			return c.Name
		}
	}
	return ""
}

// WriteObjectives writes the comparison with the performance targets as a text
// table: one line per measure and policy, with the values of all seeds.
func WriteObjectives(w io.Writer, results []Result) error {
	type rowKey struct{ measure, policy string }
	var order []rowKey
	values := map[rowKey]string{}
	met := map[rowKey]int{}
	count := map[rowKey]int{}
	limits := map[rowKey]float64{}
	for _, line := range CompareObjectives(results) {
		key := rowKey{line.Measure, line.Policy}
		if count[key] == 0 {
			order = append(order, key)
		}
		count[key]++
		limits[key] = line.Limit
		values[key] += fmt.Sprintf("%.3f ", line.Value)
		if line.Met {
			met[key]++
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "measure\tpolicy\tvalue per seed\ttarget\tmet")
	for _, key := range order {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%d/%d\n", key.measure, key.policy, values[key], limits[key], met[key], count[key])
	}
	return Error.Wrap(t.Flush())
}
