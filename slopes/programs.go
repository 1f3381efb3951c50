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
	// fewTurns and turnBytes are the history of a program where another size
	// is varied: turnBytes each for the prompt and for the answer of a turn.
	fewTurns  = 3
	turnBytes = 1024
	// targetPrograms is the share of one of 420 nodes in 570,000 programs.
	targetPrograms = 1357
	// targetTurns and targetKB describe the longest history: 260 turns and
	// 590,000 tokens, taken as 4 bytes each.
	targetTurns = 260
	targetKB    = 2304
)

// text returns a new string of that length.
func text(size int) string { return strings.Repeat("x", size) }

// population drives a table as the duties of a node do, and keeps the records.
type population struct {
	table   *program.Table
	now     time.Time
	out     program.Effects
	waiter  program.WaiterID
	records []fencedlog.Record // kept when keep is set
	keep    bool
}

func newPopulation(keep bool) *population {
	p := &population{table: program.NewTable(func(string) int { return 0 }, allowAll{}), now: time.Unix(1_000_000, 0), keep: keep}
	p.table.Serve(p.now, 0, &p.out)
	return p
}

type allowAll struct{}

// Apply implements program.Rules.
func (allowAll) Apply(program.Spec, []program.Message, *program.Call) *outcome.Outcome { return nil }

// commit makes what was appended durable and answers what was dispatched.
func (p *population) commit(answerBytes int) {
	for len(p.out.Appends)+len(p.out.Dispatches) > 0 {
		appends := append([]program.Append(nil), p.out.Appends...)
		dispatches := append([]program.Dispatch(nil), p.out.Dispatches...)
		p.out.Reset()
		for _, a := range appends {
			for _, r := range a.Records {
				if p.keep {
					p.records = append(p.records, fencedlog.Record{Program: r.Program, Seq: r.Seq, Data: r.Encode()})
				}
			}
			p.table.Committed(p.now, a.Tag, &p.out)
		}
		for _, d := range dispatches {
			p.table.Finished(p.now, d.ID, program.Result{
				Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: []byte(text(answerBytes)), Cost: 1,
			}, &p.out)
		}
	}
	p.out.Reset()
}

func (p *population) add(number, turns, bytes int) {
	id := fmt.Sprintf("program-%d", number)
	p.waiter++
	p.table.Start(p.now, program.Spec{ID: id, Tenant: "tenant", Class: "class", Limit: 1 << 40, TurnLimit: 1000, IdleLease: time.Hour}, p.waiter, &p.out)
	p.commit(0)
	for turn := 1; turn <= turns; turn++ {
		p.waiter++
		p.table.Call(p.now, program.Call{
			Program: id, Tenant: "tenant", RequestID: fmt.Sprintf("%s-call-%d", id, turn), Order: turn, Kind: program.Model,
			Messages: []program.Message{{Role: "user", Content: text(bytes)}}, MaxTokens: 1024, Idempotent: true, WorstCost: 1,
			Digest: fmt.Sprintf("%032d", turn), Deadline: p.now.Add(time.Hour),
		}, true, p.waiter, &p.out)
		p.commit(bytes)
	}
}

// tableBytes returns the memory of a table.
func tableBytes(programs, turns, bytes int) float64 {
	before := heapBytes()
	p := newPopulation(false)
	for i := range programs {
		p.add(i, turns, bytes)
	}
	used := heapBytes() - before
	runtime.KeepAlive(p)
	return used
}

// measurePrograms measures the memory of programs by number, turns and size of
// the history, and the time of the periodic look at all of them.
func measurePrograms(ctx context.Context, _ Options) ([]Slope, error) {
	number := sweep{size: "programs", target: targetPrograms, sizes: []int{1000, 5000, 20_000, 50_000},
		series: []series{{"memory of programs of 3 turns of 2 KB", "B"}, {"periodic look at all programs", "us"}},
		measure: func(size int) ([]float64, error) {
			used := tableBytes(size, fewTurns, turnBytes)
			return []float64{used, lookTime(size)}, nil
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

// lookTime measures Tick and Living, which a node does for all its programs.
func lookTime(programs int) float64 {
	p := newPopulation(false)
	for i := range programs {
		p.add(i, 1, 16)
	}
	const times = 20
	begin := time.Now()
	for range times {
		p.table.Tick(p.now, &p.out)
		p.table.LivePrograms()
	}
	return microseconds(time.Since(begin), times)
}

func runAll(ctx context.Context, sweeps ...sweep) ([]Slope, error) {
	var found []Slope
	for _, s := range sweeps {
		slopes, err := s.run(ctx)
		if err != nil {
			return nil, err
		}
		found = append(found, slopes...)
	}
	return found, nil
}
