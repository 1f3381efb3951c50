package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. The field names of its JSON form are
// stable.
type Result struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Nodes      int     `json:"nodes"`
	Seed       uint64  `json:"seed"`
	TimeScale  float64 `json:"time_scale"` // elapsed time divided by scenario time
	// Programs counts the programs that started after the warm-up. Each of them
	// completed, was refused at its first call, or failed.
	Programs  int `json:"programs"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	// Goodput is the work of completed programs as a share of the capacity of
	// the model workers within Scenario.Window: the crest if there is one, the
	// run after the warm-up otherwise.
	Goodput float64 `json:"goodput"`
	// RecomputedTokens counts the prompt tokens that were computed again
	// although another live backend server had them cached. PromptTokens counts
	// all prompt tokens.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	PromptTokens     int64 `json:"prompt_tokens"`
	// ReusableTokens counts the prompt tokens that some backend server had read
	// or generated before. A run on real nodes subtracts the cached tokens that
	// the engines report to get RecomputedTokens; the simulation in package
	// model does not use it.
	ReusableTokens int64 `json:"reusable_tokens,omitempty"`
	// Hedges counts the hedges: second copies of running calls that were started
	// on another backend server.
	Hedges int `json:"hedges"`
	// HedgeShare is the work of hedges as a share of all work.
	HedgeShare float64 `json:"hedge_share"`
	Quantiles
	Groups []Group `json:"groups"`
}

// Group holds the latencies of the completed programs of one class, tenant and
// phase. An empty tenant or phase stands for all of them. Stragglers form groups
// of their own.
type Group struct {
	Class     string `json:"class"`
	Tenant    string `json:"tenant"`
	Phase     string `json:"phase"`
	Straggler bool   `json:"straggler"`
	Programs  int64  `json:"programs"`
	Quantiles
}

// Find returns the group with the given class, tenant and phase, or an empty
// Group.
func (r *Result) Find(class, tenant, phase string, straggler bool) Group {
	for _, g := range r.Groups {
		if g.Class == class && g.Tenant == tenant && g.Phase == phase && g.Straggler == straggler {
			return g
		}
	}
	return Group{}
}

// Recorder collects the latencies of programs. It is not safe for concurrent
// use.
type Recorder struct {
	all    *hdrhistogram.Histogram
	groups map[Group]*hdrhistogram.Histogram
}

// Histograms have a resolution of a tenth of a millisecond and a range of one
// hour.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3 // significant decimal digits
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{all: newHistogram(), groups: map[Group]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// Record adds the latency of a completed program, counted from its intended
// start, to the histograms of its groups.
func (r *Recorder) Record(p *Program, phase string, latency time.Duration) {
	value := min(max(int64(latency/histogramUnit), 1), histogramMax)
	if !p.Straggler {
		_ = r.all.RecordValue(value)
	}
	for _, tenant := range []string{"", p.Tenant} {
		for _, phase := range []string{"", phase} {
			key := Group{Class: p.Class, Tenant: tenant, Phase: phase, Straggler: p.Straggler}
			if r.groups[key] == nil {
				r.groups[key] = newHistogram()
			}
			_ = r.groups[key].RecordValue(value)
		}
	}
}

// SetQuantiles sets the quantiles of result and its groups. The quantiles over all
// programs leave stragglers out.
func (r *Recorder) SetQuantiles(result *Result) {
	result.Quantiles = quantiles(r.all)
	result.Groups = nil
	for key, histogram := range r.groups {
		key.Programs = histogram.TotalCount()
		key.Quantiles = quantiles(histogram)
		result.Groups = append(result.Groups, key)
	}
	sort.Slice(result.Groups, func(i, j int) bool {
		return result.Groups[i].sortKey() < result.Groups[j].sortKey()
	})
}

func (g Group) sortKey() string {
	return fmt.Sprintf("%s/%s/%s/%v", g.Class, g.Tenant, g.Phase, g.Straggler)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) * histogramUnit.Seconds() * 1000
	}
	return Quantiles{P50MS: ms(50), P95MS: ms(95), P99MS: ms(99)}
}

// WriteJSON writes the results as a JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return Error.Wrap(encoder.Encode(results))
}

// WriteTable writes the results as a text table with one line per run.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\tnodes\tseed\tprograms\trefused\tfailed\tp50 s\tp95 s\tp99 s\tgoodput\trecomputed\thedges\thedge work\ttime scale\t")
	for i := range results {
		r := &results[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%d\t%.1f%%\t%.4f\t\n",
			r.Scenario, r.Policy, r.Nodes, r.Seed, r.Programs, r.Refused, r.Failed,
			r.P50MS/1000, r.P95MS/1000, r.P99MS/1000, r.Goodput,
			100*r.RecomputedShare(), r.Hedges, 100*r.HedgeShare, r.TimeScale)
	}
	return Error.Wrap(t.Flush())
}

// RecomputedShare returns RecomputedTokens as a share of all prompt tokens.
func (r *Result) RecomputedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.RecomputedTokens) / float64(r.PromptTokens)
}
