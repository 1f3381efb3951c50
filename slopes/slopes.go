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

// Slope is a cost that was measured at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Size and Unit name what X and Y count.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Line is the fit and Target the size to design for. AtTarget is the
	// line's value there and Factor is Target by the largest measured size.
	Line     Line    `json:"line"`
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
	Factor   float64 `json:"factor"`
	// Spread is the largest spread of the repeats at one size.
	Spread float64 `json:"spread"`
}

// Results holds all slopes of a run.
type Results struct {
	Cores  int     `json:"cores"`
	Go     string  `json:"go"`
	Slopes []Slope `json:"slopes"`
}

// Options of a run.
type Options struct {
	// Only names the groups to measure; empty means all, see Groups.
	Only []string
	// Window is the time of one measurement of a running deployment.
	Window time.Duration
	// Log gets the log of the nodes, Progress one line per group.
	Log      *slog.Logger
	Progress func(line string)
}

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

// Groups returns the names of what can be measured.
func Groups() []string {
	var names []string
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures the chosen groups one after the other. It returns the error of
// the first measurement that fails, or of ctx.
func Run(ctx context.Context, options Options) (Results, error) {
	report := Results{Cores: runtime.NumCPU(), Go: runtime.Version()}
	for _, g := range groups {
		if len(options.Only) > 0 && !slices.Contains(options.Only, g.name) {
			continue
		}
		begin := time.Now()
		found, err := g.run(ctx, options)
		if err != nil {
			return report, Error.New("%s: %w", g.name, err)
		}
		report.Slopes = append(report.Slopes, found...)
		options.Progress(fmt.Sprintf("%s: measured in %.0f s", g.name, time.Since(begin).Seconds()))
	}
	return report, nil
}

// WriteTable writes the report for people.
func (r Results) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%d cores, %s, %d repeats of each point\n", r.Cores, r.Go, Repeats) // see Flush
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

// series names one of the values that a measurement returns.
type series struct {
	name, unit string
}

// sweep is a measurement of several costs at several sizes.
type sweep struct {
	size    string
	target  float64
	sizes   []int
	series  []series
	measure func(size int) ([]float64, error)
}

// run measures each size Repeats times.
func (s sweep) run(ctx context.Context) ([]Slope, error) {
	collected := s.empty()
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

// collection gathers the repeats of a sweep.
type collection struct {
	sweep  sweep
	points [][]Point // by series
}

func (s sweep) empty() *collection {
	return &collection{sweep: s, points: make([][]Point, len(s.series))}
}

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

func (c *collection) slopes() []Slope {
	var found []Slope
	for i, named := range c.sweep.series {
		s := Slope{Name: named.name, Unit: named.unit, Size: c.sweep.size, Points: c.points[i], Target: c.sweep.target}
		s.Line = Fit(s.Points)
		s.AtTarget = s.Line.At(s.Target)
		s.Factor = s.Target / s.Points[len(s.Points)-1].X
		for _, p := range s.Points {
			s.Spread = max(s.Spread, p.Spread())
		}
		found = append(found, s)
	}
	return found
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes of live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the first one only queues some objects for finalizers
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// microseconds returns the time of one of n steps.
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
