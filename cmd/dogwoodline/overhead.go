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
		row := func(name string, q load.Quantile) []string {
			return []string{name, fmt.Sprintf("%.2f", q.P50MS), fmt.Sprintf("%.2f", q.P95MS), fmt.Sprintf("%.2f", q.P99MS)}
		}
		table(c, []string{"CALLS", "P50 MS", "P95 MS", "P99 MS"}, row("direct", result.Direct), row("through a node", result.Node))
		c.say("%d calls/s, %d calls, %d failed; p99 added %.2f ms, target %.2f ms, met: %v\n",
			result.Rate, result.Calls, result.Failed, result.AddedMS, result.LimitMS, result.Met)
	}
	return load.ToFile(l.JSON, func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(result)
	})
}
