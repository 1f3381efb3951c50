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
	overheadRate   = 1000 // calls per second, the rate of the target
	overheadLength = 10 * time.Second
)

// runOverhead measures what one node adds to the latency of a call. A missed
// target is a figure and no failure of the run.
func runOverhead(ctx context.Context, l loadCommand, c *console) error {
	length := l.Duration
	if length <= 0 {
		length = overheadLength
	}
	result, err := nodes.MeasureOverhead(ctx, nodes.OverheadConfig{Rate: overheadRate, Length: length, Log: loadLog(l, c)})
	if err != nil {
		return err
	}
	if !l.json(c, result) {
		rows := [][]string{{"CALLS", "P50 MS", "P95 MS", "P99 MS", "ADDED P99", "TARGET", "FAILED"}}
		for _, kind := range []struct {
			name string
			load.Quantile
			added *nodes.Added
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
		table(c, rows...)
	}
	return load.ToFile(l.JSON, func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(result)
	})
}
