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

// soakFlags make the load command run a deployment of its own under faults.
type soakFlags struct {
	Faults   []soak.Kind   `help:"Start node processes and inject these kinds of faults: ${soakKinds}."`
	Script   []string      `help:"Inject these steps of faults one after the other in place of random ones. Example: kill,slow+kill"`
	Check    bool          `help:"Check the observed history. Alone it runs without faults."`
	Nodes    int           `default:"7" help:"Nodes of a run with faults, or with target nodes."`
	Programs int           `default:"24" help:"Programs side by side in a run with faults."`
	Together int           `default:"2" help:"Largest number of faults at once."`
	Binary   string        `help:"Binary of the nodes. This one when missing."`
	Ledger   time.Duration `name:"ledger-delay" default:"30ms" help:"Time that a posting takes."`
	JSON     string        `name:"json" placeholder:"FILE" help:"Also write the figures or the report of a run with faults as JSON."`
}

// soakDuration is how long a run with faults starts programs when the flags do
// not say it.
const soakDuration = 10 * time.Second

// soakKinds gives the help text the kinds of faults.
func soakKinds() kong.Option {
	return kong.Vars{"soakKinds": strings.Trim(fmt.Sprint(soak.Kinds), "[]")}
}

// asked reports whether the flags ask for a run with faults or checks.
func (f soakFlags) asked() bool { return f.Check || len(f.Faults)+len(f.Script) > 0 }

// script returns the steps of faults.
func (f soakFlags) script() [][]soak.Kind {
	steps := make([][]soak.Kind, len(f.Script))
	for i, step := range f.Script {
		for kind := range strings.SplitSeq(step, "+") {
			steps[i] = append(steps[i], soak.Kind(kind))
		}
	}
	return steps
}

// runSoak runs the deployment and reports violations as a failure.
func runSoak(ctx context.Context, l loadCommand, c *console) error {
	report, err := soak.Run(ctx, soak.Config{
		Binary: l.Binary, Nodes: l.Nodes, Programs: l.Programs, Together: l.Together, Duration: l.Duration, Seed: l.Seed,
		Faults: l.Faults, Scripted: l.script(), LedgerDelay: l.Ledger, Log: newLog(c.errOut, settings.Default().Log),
	})
	if err != nil {
		return err
	}
	report.Write(c.out)
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
		c.warn(fmt.Sprintf("dogwoodline: %d violations", len(report.Violations)))
		return errReported
	}
	return nil
}
