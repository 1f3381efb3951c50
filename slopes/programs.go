package slopes

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

const (
	// defaultTurns and turnBytes determine the history of a program unless they
	// are varied. The prompt and the answer of a turn have turnBytes each.
	defaultTurns = 3
	turnBytes    = 1024
	// targetPrograms is the number of programs per node at 570,000 programs on
	// 420 nodes.
	targetPrograms = 1357
	// targetTurns and targetKB are the size of the longest history: 260 turns
	// and 590,000 tokens, at 4 bytes per token.
	targetTurns = 260
	targetKB    = 2304
)

// text returns a newly allocated string of the given length.
func text(size int) string { return strings.Repeat("x", size) }

// tableDriver drives a program table as a node does: it reports appended records
// as durable and answers the calls that the table dispatches.
type tableDriver struct {
	table       *program.Table
	now         time.Time
	out         program.Effects
	waiter      program.WaiterID
	records     []fencedlog.Record // encoded records, if keepRecords is set
	keepRecords bool
}

func newTableDriver(keepRecords bool) *tableDriver {
	d := &tableDriver{table: program.NewTable(func(string) int { return 0 }, allowAll{}), now: time.Unix(1_000_000, 0), keepRecords: keepRecords}
	d.table.Serve(d.now, 0, &d.out)
	return d
}

// allowAll is a program.Rules that allows every call.
type allowAll struct{}

// Apply implements program.Rules.
func (allowAll) Apply(program.Spec, []program.Message, *program.Call) *outcome.Outcome { return nil }

// applyEffects carries out the effects of the table until none are left. It
// reports appends as durable and finishes dispatched calls with an answer of the
// given size.
func (d *tableDriver) applyEffects(answerBytes int) {
	for len(d.out.Appends)+len(d.out.Dispatches) > 0 {
		appends := append([]program.Append(nil), d.out.Appends...)
		dispatches := append([]program.Dispatch(nil), d.out.Dispatches...)
		d.out.Reset()
		for _, a := range appends {
			for _, r := range a.Records {
				if d.keepRecords {
					d.records = append(d.records, fencedlog.Record{Program: r.Program, Seq: r.Seq, Data: r.Encode()})
				}
			}
			d.table.Committed(d.now, a.Tag, &d.out)
		}
		for _, dispatch := range dispatches {
			d.table.Finished(d.now, dispatch.ID, program.Result{
				Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: []byte(text(answerBytes)), Cost: 1,
			}, &d.out)
		}
	}
	d.out.Reset()
}

// add starts a program and completes its turns. The prompt and the answer of each
// turn have the given number of bytes.
func (d *tableDriver) add(number, turns, bytes int) {
	id := fmt.Sprintf("program-%d", number)
	d.waiter++
	d.table.Start(d.now, program.Spec{ID: id, Tenant: "tenant", Class: "class", Limit: 1 << 40, TurnLimit: 1000, IdleLease: time.Hour}, d.waiter, &d.out)
	d.applyEffects(0)
	for turn := 1; turn <= turns; turn++ {
		d.waiter++
		d.table.Call(d.now, program.Call{
			Program: id, Tenant: "tenant", RequestID: fmt.Sprintf("%s-call-%d", id, turn), Order: turn, Kind: program.Model,
			Messages: []program.Message{{Role: "user", Content: text(bytes)}}, MaxTokens: 1024, Idempotent: true, WorstCost: 1,
			Digest: fmt.Sprintf("%032d", turn), Deadline: d.now.Add(time.Hour),
		}, true, d.waiter, &d.out)
		d.applyEffects(bytes)
	}
}

// tableBytes returns the heap memory of a table of programs.
func tableBytes(programs, turns, bytes int) float64 {
	before := heapBytes()
	d := newTableDriver(false)
	for i := range programs {
		d.add(i, turns, bytes)
	}
	used := heapBytes() - before
	runtime.KeepAlive(d)
	return used
}

// measurePrograms measures the memory of programs by their number, by turns and
// by size of the history, and the time of the periodic check of all programs.
func measurePrograms(ctx context.Context, _ Options) ([]Slope, error) {
	number := sweep{size: "programs", target: targetPrograms, sizes: []int{1000, 5000, 20_000, 50_000},
		series: []series{{"memory of programs of 3 turns of 2 KB", "B"}, {"periodic look at all programs", "us"}},
		measure: func(size int) ([]float64, error) {
			used := tableBytes(size, defaultTurns, turnBytes)
			return []float64{used, periodicCheckTime(size)}, nil
		}}
	perTurn := sweep{size: "turns", target: targetTurns, sizes: []int{4, 16, 64, 260},
		series: []series{{"memory of a program by turns of 2 KB", "B"}},
		measure: func(size int) ([]float64, error) {
			return []float64{tableBytes(200, size, turnBytes) / 200}, nil
		}}
	perKB := sweep{size: "KB of history", target: targetKB, sizes: []int{8, 32, 128, 512},
		series: []series{{"memory of a program by size of 8 turns", "B"}},
		measure: func(size int) ([]float64, error) {
			return []float64{tableBytes(50, 8, size*1024/16) / 50}, nil
		}}
	return runAll(ctx, number, perTurn, perKB)
}

// periodicCheckTime returns the time of Tick and LivePrograms in microseconds.
// A node calls them periodically, and both go through all its programs.
func periodicCheckTime(programs int) float64 {
	d := newTableDriver(false)
	for i := range programs {
		d.add(i, 1, 16)
	}
	const times = 20
	begin := time.Now()
	for range times {
		d.table.Tick(d.now, &d.out)
		d.table.LivePrograms()
	}
	return microseconds(time.Since(begin), times)
}

// runAll runs the sweeps one after the other and returns their slopes.
func runAll(ctx context.Context, sweeps ...sweep) ([]Slope, error) {
	var all []Slope
	for _, s := range sweeps {
		slopes, err := s.run(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}
