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

// slopesOptions are the flags of the load command that measure how costs grow
// with the size of the system.
type slopesOptions struct {
	Slopes       bool          `help:"Measure how costs grow with the size of the system, in this process. Takes about ten minutes."`
	SlopesOnly   []string      `placeholder:"GROUP" help:"Measure only these groups of costs: control, polling, calls, programs, journal, replay, schedule, config, placement."`
	SlopesWindow time.Duration `default:"10s" help:"Duration of each measurement on a running deployment."`
}

// runSlopes runs the measurements and writes the report to the console, and as
// JSON to file unless that is empty.
func runSlopes(ctx context.Context, o slopesOptions, file string, c *console) error {
	report, err := slopes.Run(ctx, slopes.Options{
		Only: o.SlopesOnly, Window: o.SlopesWindow, Progress: c.printStderr,
		Log: newLogger(io.Discard, settings.Log{Level: "error"}),
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
	return report.WriteTable(c.stdout)
}
