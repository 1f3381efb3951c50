package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"dogwoodline.example/settings"
	"dogwoodline.example/soak"
)

// soakFlags are the flags that make the load command start a deployment of its
// own and inject faults into it.
type soakFlags struct {
	Faults      []soak.FaultKind `help:"Start node processes and inject these kinds of faults at random: ${soakKinds}."`
	Script      []string         `help:"Inject these faults in order before any random ones; plus signs join faults that are injected together. Example: kill,slow+kill"`
	Check       bool             `help:"Check the observed history. Without --faults or --script, no faults are injected."`
	Nodes       int              `default:"7" help:"Number of nodes in a run with faults or with --target nodes."`
	Programs    int              `default:"24" help:"Number of concurrent programs in a run with faults."`
	Together    int              `default:"2" help:"Maximum number of concurrent faults."`
	Binary      string           `help:"Binary of the nodes. Default: this binary."`
	LedgerDelay time.Duration    `name:"ledger-delay" default:"30ms" help:"Time that the ledger service takes for a posting."`
	JSON        string           `name:"json" placeholder:"FILE" help:"Also write the measurements, or the report of a run with faults, as JSON to this file."`
}

// defaultSoakDuration is how long a run with faults starts programs if no
// duration is given.
const defaultSoakDuration = 10 * time.Second

// soakKinds defines the variable with the kinds of faults that the help text
// uses.
func soakKinds() kong.Option {
	return kong.Vars{"soakKinds": strings.Trim(fmt.Sprint(soak.FaultKinds), "[]")}
}

// requested reports whether the flags ask for a run with faults or for a check
// of the history.
func (f soakFlags) requested() bool { return f.Check || len(f.Faults)+len(f.Script) > 0 }

// faultSteps parses the script flag: the steps in order, each with the faults
// that are injected together.
func (f soakFlags) faultSteps() [][]soak.FaultKind {
	steps := make([][]soak.FaultKind, len(f.Script))
	for i, step := range f.Script {
		for kind := range strings.SplitSeq(step, "+") {
			steps[i] = append(steps[i], soak.FaultKind(kind))
		}
	}
	return steps
}

// runSoak runs a deployment under faults and fails if the check of its history
// finds violations.
func runSoak(ctx context.Context, l loadCommand, c *console) error {
	report, err := soak.Run(ctx, soak.Config{
		Binary: l.Binary, Nodes: l.Nodes, Programs: l.Programs, MaxFaultsPerStep: l.Together, Duration: l.Duration, Seed: l.Seed,
		Faults: l.Faults, ScriptedSteps: l.faultSteps(), LedgerDelay: l.LedgerDelay, Log: newLogger(c.stderr, settings.Default().Log),
	})
	if err != nil {
		return err
	}
	report.Write(c.stdout)
	if l.JSON != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(l.JSON, data, 0o600); err != nil {
			return errs.Combine(errUsage, err)
		}
	}
	if len(report.Violations) > 0 {
		c.printStderr(fmt.Sprintf("dogwoodline: %d violations", len(report.Violations)))
		return errReported
	}
	return nil
}
