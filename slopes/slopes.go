package slopes

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"
)

// Repeats is the number of measurements at each size.
const Repeats = 3

// Slope is the growth of one cost, measured at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Size names what X of the points counts, Unit is the unit of Y.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Line is the fit and Target the size that the system is designed for.
	// AtTarget is the value of the line at Target, and Factor is Target divided
	// by the largest measured size.
	Line     Line    `json:"line"`
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
	Factor   float64 `json:"factor"`
	// Spread is the largest Point.Spread of the points.
	Spread float64 `json:"spread"`
}

// Results holds all slopes of a run.
type Results struct {
	Cores  int     `json:"cores"`
	Go     string  `json:"go"`
	Slopes []Slope `json:"slopes"`
}

// Options configures a run.
type Options struct {
	// Only names the groups to measure, see Groups. Empty means all.
	Only []string
	// Window is the duration of one measurement of a running deployment.
	Window time.Duration
	// Log receives the log of the nodes, and Progress one line per group.
	Log      *slog.Logger
	Progress func(line string)
}

// group is a set of slopes that are measured together.
type group struct {
	name string
	run  func(context.Context, Options) ([]Slope, error)
}

var groups = []group{
	{"control", measureControl},
	{"polling", measurePolling},
	{"calls", measureCalls},
	{"programs", measurePrograms},
	{"journal", measureJournal},
	{"replay", measureReplay},
	{"schedule", measureSchedule},
	{"config", measureConfig},
	{"placement", measurePlacement},
}

// Groups returns the names of all groups.
func Groups() []string {
	var names []string
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures the selected groups one after the other. It stops at the first
// measurement that fails, and when ctx ends, and returns the error with the
// results so far.
func Run(ctx context.Context, options Options) (Results, error) {
	results := Results{Cores: runtime.NumCPU(), Go: runtime.Version()}
	for _, g := range groups {
		if len(options.Only) > 0 && !slices.Contains(options.Only, g.name) {
			continue
		}
		startedAt := time.Now()
		slopes, err := g.run(ctx, options)
		if err != nil {
			return results, Error.New("%s: %w", g.name, err)
		}
		results.Slopes = append(results.Slopes, slopes...)
		options.Progress(fmt.Sprintf("%s: measured in %.0f s", g.name, time.Since(startedAt).Seconds()))
	}
	return results, nil
}

// WriteTable writes the results as a human-readable table.
func (r Results) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%d cores, %s, %d repeats of each point\n", r.Cores, r.Go, Repeats) // a lasting write error shows up in Flush
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SLOPE\tUNIT\tSIZE\tPOINTS (SIZE=MEAN)\tBASE\tPER UNIT\tRESIDUAL\tSPREAD\tTARGET\tFACTOR\tAT TARGET")
	for _, s := range r.Slopes {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%g=%.4g ", p.X, p.Mean())
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%.0f%%\t%g\t%.3g\t%.4g\n", s.Name, s.Unit, s.Size, points,
			s.Line.Base, s.Line.Slope, 100*s.Line.Residual, 100*s.Spread, s.Target, s.Factor, s.AtTarget)
	}
	return Error.Wrap(t.Flush())
}

// series describes one of the values that a measurement returns.
type series struct {
	name, unit string
}

// sweep is a measurement of several costs at several sizes. measure returns one
// value for each series.
type sweep struct {
	size    string
	target  float64
	sizes   []int
	series  []series
	measure func(size int) ([]float64, error)
}

// run measures each size Repeats times and returns one slope for each series.
func (s sweep) run(ctx context.Context) ([]Slope, error) {
	collected := s.newCollection()
	for _, size := range s.sizes {
		for range Repeats {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			values, err := s.measure(size)
			if err != nil {
				return nil, err
			}
			collected.add(size, values)
		}
	}
	return collected.slopes(), nil
}

// collection gathers the measurements of a sweep.
type collection struct {
	sweep  sweep
	points [][]Point // by series
}

func (s sweep) newCollection() *collection {
	return &collection{sweep: s, points: make([][]Point, len(s.series))}
}

// add adds one measurement at a size. Measurements of the same size must follow
// each other.
func (c *collection) add(size int, values []float64) {
	for i, value := range values {
		list := c.points[i]
		if len(list) == 0 || list[len(list)-1].X != float64(size) {
			list = append(list, Point{X: float64(size)})
		}
		last := &list[len(list)-1]
		last.Y = append(last.Y, value)
		c.points[i] = list
	}
}

// slopes returns the slope of each series.
func (c *collection) slopes() []Slope {
	var slopes []Slope
	for i, named := range c.sweep.series {
		s := Slope{Name: named.name, Unit: named.unit, Size: c.sweep.size, Points: c.points[i], Target: c.sweep.target}
		s.Line = Fit(s.Points)
		s.AtTarget = s.Line.At(s.Target)
		s.Factor = s.Target / s.Points[len(s.Points)-1].X
		for _, p := range s.Points {
			s.Spread = max(s.Spread, p.Spread())
		}
		slopes = append(slopes, s)
	}
	return slopes
}

// cpuTime returns the CPU time, user and system, that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // objects with finalizers are freed in the second collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// microseconds returns the time of one of n steps in microseconds.
func microseconds(total time.Duration, n int) float64 {
	return total.Seconds() * 1e6 / float64(n)
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
