package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"dogwoodline.example/settings"
	"dogwoodline.example/slopes"
)

// slopesOptions are the options of the load command that measure how costs
// grow with the size of the system.
type slopesOptions struct {
	Slopes       bool          `help:"Measure how costs grow with size, in this process. Takes about ten minutes."`
	SlopesOnly   []string      `placeholder:"GROUP" help:"Measure only these groups: control, polling, calls, programs, journal, replay, schedule, config, placement."`
	SlopesWindow time.Duration `default:"10s" help:"Time of one measurement of a running deployment."`
}

// runSlopes measures, writes the report to the console, and also to a file if
// one is named.
func runSlopes(ctx context.Context, o slopesOptions, file string, c *console) error {
	report, err := slopes.Run(ctx, slopes.Options{
		Only: o.SlopesOnly, Window: o.SlopesWindow, Progress: c.warn,
		Log: newLog(io.Discard, settings.Log{Level: "error"}),
	})
	if err != nil {
		return err
	}
	if file != "" {
		data, err := json.MarshalIndent(report, "", " ")
		if err == nil {
			err = os.WriteFile(file, append(data, '\n'), 0o600)
		}
		if err != nil {
			return err
		}
	}
	return report.WriteTable(c.out)
}
