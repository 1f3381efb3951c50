package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/load/nodes"
)

const (
	overheadRate     = 1000 // calls per second, the rate that the latency target is stated for
	overheadDuration = 10 * time.Second
)

// runOverhead measures how much latency one node adds to a call. It reports a
// missed target but does not fail because of it.
func runOverhead(ctx context.Context, l loadCommand, c *console) error {
	duration := l.Duration
	if duration <= 0 {
		duration = overheadDuration
	}
	result, err := nodes.MeasureOverhead(ctx, nodes.OverheadConfig{Rate: overheadRate, Length: duration, Log: loadLogger(l, c)})
	if err != nil {
		return err
	}
	if !l.printJSON(c, result) {
		rows := [][]string{{"CALLS", "P50 MS", "P95 MS", "P99 MS", "ADDED P99", "TARGET", "FAILED"}}
		for _, kind := range []struct {
			name string
			load.Quantiles
			added *nodes.LatencyComparison
		}{
			{"first part, direct", result.FirstPart.Direct, nil}, {"first part, node", result.FirstPart.Node, &result.FirstPart},
			{"recorded answer, direct", result.Recorded.Direct, nil}, {"recorded answer, node", result.Recorded.Node, &result.Recorded},
		} {
			row := []string{kind.name, fmt.Sprintf("%.2f", kind.P50MS), fmt.Sprintf("%.2f", kind.P95MS), fmt.Sprintf("%.2f", kind.P99MS)}
			if kind.added != nil {
				met := "missed"
				if kind.added.Met {
					met = "met"
				}
				row = append(row, fmt.Sprintf("%.2f", kind.added.AddedMS), fmt.Sprintf("%.2f %s", result.LimitMS, met), fmt.Sprint(kind.added.Failed))
			}
			rows = append(rows, row)
		}
		printTable(c, rows...)
	}
	return load.WriteFile(l.JSON, func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(result)
	})
}
