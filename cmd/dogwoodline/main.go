// Command dogwoodline is the one binary of the system: a node, the stand-ins
// of the outside systems, the load tool, and the tools of operators.
//
// Exit codes: 0 done, 1 failed, 2 usage or bad input, 3 not found,
// 4 conflict, 5 unavailable.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

const description = `Dogwoodline schedules agent programs on rented backend servers.

Exit codes: 0 done, 1 failed, 2 usage or bad input, 3 not found, 4 conflict, 5 unavailable.

Examples:
  dogwoodline check-config settings/example.toml
  dogwoodline node --settings settings/example.toml
  dogwoodline apply --node http://127.0.0.1:7101 -f examples/satamavirta/resources.toml
  dogwoodline get backend --node http://127.0.0.1:7101
  dogwoodline run --node http://127.0.0.1:7101 --key KEY --class reconcile "Reconcile tank 7"`

type commandLine struct {
	Node        nodeCommand        `cmd:"" help:"Run a node. SIGTERM drains it and exits with 0; a second signal ends it at once."`
	Front       frontCommand       `cmd:"" help:"Run a front on the users' platform. DOGWOODLINE_BOOT names the settings file. SIGTERM drains it."`
	Store       storeCommand       `cmd:"" help:"Run a turn store on a platform host with a disk. DOGWOODLINE_BOOT names the settings file."`
	Emulate     emulateCommand     `cmd:"" help:"Run a stand-in for an outside system."`
	Demo        demoCommand        `cmd:"" help:"Run a small deployment in one process and one program on it."`
	Load        loadCommand        `cmd:"" help:"Load a deployment and check what it answers."`
	Soak        soakCommand        `cmd:"" help:"Run fronts and stores as processes under random faults and check the promises."`
	Apply       applyCommand       `cmd:"" help:"Write the resources in a TOML file."`
	Get         getCommand         `cmd:"" help:"Show resources. Example: dogwoodline get backend engine-1"`
	Watch       watchCommand       `cmd:"" help:"Show changes of resources as they happen. Example: dogwoodline watch pool"`
	Delete      deleteCommand      `cmd:"" help:"Delete a resource. Example: dogwoodline delete backend engine-1"`
	Route       routeCommand       `cmd:"" help:"Ask which node serves a program. Example: dogwoodline route invoice-7"`
	Run         runCommand         `cmd:"" help:"Run a small program: start it, make a model call for each prompt, end it."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a settings file and report all problems. Example: dogwoodline check-config node.toml"`
	Version     versionCommand     `cmd:"" help:"Show the version of this binary."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and runs a command and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	c := &console{out: out, errOut: errOut}
	var line commandLine
	parsed := -1
	parser, err := kong.New(&line,
		kong.Name("dogwoodline"), kong.Description(description), kong.Writers(out, errOut), soakKinds(),
		kong.Exit(func(code int) { parsed = code }),
	)
	if err != nil {
		panic("cmd: command line is declared wrongly: " + err.Error())
	}
	context, err := parser.Parse(args)
	if parsed >= 0 { // the help text was shown
		return parsed
	}
	if err != nil {
		c.warn("dogwoodline: " + err.Error())
		return exitUsage
	}
	err = context.Run(c)
	if err != nil && !errors.Is(err, errReported) {
		c.warn("dogwoodline: " + err.Error())
	}
	return exitCode(err)
}

type versionCommand struct{}

// Run shows the module version and the revision that the binary was built of.
func (versionCommand) Run(c *console) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version += " " + setting.Value
			}
		}
	}
	_, err := fmt.Fprintln(c.out, "dogwoodline", version)
	return err
}
