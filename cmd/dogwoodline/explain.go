package main

import (
	"errors"
	"io"
	"os"

	"github.com/zeebo/errs"

	"dogwoodline.example/explain"
)

type explainCommand struct {
	ID    string   `arg:"" optional:"" help:"Id of a request or program; with --table, the first log."`
	Logs  []string `arg:"" optional:"" help:"Logs of fronts and stores, in any order; - or none: standard input, but not with --table."`
	Table bool     `help:"Count the requests, waits, refusals and calls of all requests in logs of fronts, by route, priority and organisation. Each log is read twice."`
	JSON  bool     `help:"With --table: print JSON."`
}

// Run prints the lines of the request or program and the cause of each request's
// end, or a table of all requests.
func (c explainCommand) Run(out *console) error {
	switch {
	case c.ID == "":
		return errs.Combine(errUsage, errors.New("an id is needed, or --table and logs"))
	case c.Table:
		return printExplainTable(out, append([]string{c.ID}, c.Logs...), c.JSON)
	case c.JSON:
		return errs.Combine(errUsage, errors.New("--json needs --table"))
	}
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
	return readFile(name, collector.Read)
}

func readFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	return errs.Combine(read(file), file.Close())
}
