package main

import (
	"os"

	"github.com/zeebo/errs"

	"dogwoodline.example/explain"
)

type explainCommand struct {
	ID   string   `arg:"" help:"Id of a request or program."`
	Logs []string `arg:"" optional:"" help:"Logs of fronts and stores, in any order; - or none: standard input."`
}

// Run prints the lines of the request or program and the cause of each request's
// end.
func (c explainCommand) Run(out *console) error {
	collector := explain.NewCollector(c.ID)
	if len(c.Logs) == 0 {
		c.Logs = []string{"-"}
	}
	for _, name := range c.Logs {
		if err := readLog(collector, name); err != nil {
			return errs.Combine(errUsage, err)
		}
	}
	report := collector.Report()
	for _, line := range report.Lines {
		out.printf("%s\n", line.Text)
	}
	for _, e := range report.Explanations {
		out.printf("%s: %s\n", e.Request, e.Cause)
	}
	if len(report.Lines) == 0 {
		out.printf("%s: no line in these logs; look for \"lines left out\" in them\n", c.ID)
	}
	if !report.Found() {
		return errReported
	}
	return nil
}

func readLog(collector *explain.Collector, name string) error {
	if name == "-" {
		return collector.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	return errs.Combine(collector.Read(file), file.Close())
}
