// Command dogwoodline is the only binary of the system. Its subcommands run a
// node, a front or a turn store, emulators of the external systems, the load
// and fault-injection tools, and the tools for operators and callers.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or invalid input,
// 3 not found, 4 conflict, 5 unavailable.
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

Exit codes: 0 success, 1 failure, 2 wrong usage or invalid input, 3 not found, 4 conflict, 5 unavailable.

Examples:
  dogwoodline check-config settings/example.toml
  dogwoodline node --settings settings/example.toml
  dogwoodline apply --node http://127.0.0.1:7101 -f examples/satamavirta/resources.toml
  dogwoodline get backend --node http://127.0.0.1:7101
  dogwoodline run --node http://127.0.0.1:7101 --key KEY --class reconcile "Reconcile tank 7"`

type commandLine struct {
	Node        nodeCommand        `cmd:"" help:"Run a node. SIGTERM drains it and exits with 0; a second signal stops it without draining."`
	Front       frontCommand       `cmd:"" help:"Run a front on the users' platform. The environment variable DOGWOODLINE_BOOT names the settings file. SIGTERM drains it."`
	Store       storeCommand       `cmd:"" help:"Run a turn store on a host with a disk on the users' platform. The environment variable DOGWOODLINE_BOOT names the settings file."`
	Emulate     emulateCommand     `cmd:"" help:"Run an emulator of an external system."`
	Demo        demoCommand        `cmd:"" help:"Run example programs on a small deployment in one process, with one node killed and one drained."`
	Load        loadCommand        `cmd:"" help:"Generate load on a deployment and measure it, or check a deployment under injected faults."`
	Soak        soakCommand        `cmd:"" help:"Run fronts and stores as processes under random faults and check their guarantees."`
	SoakStops   soakStopsCommand   `cmd:"" help:"Stop fronts as planned under a load that never pauses, and check that each request is answered."`
	Explain     explainCommand     `cmd:"" help:"Show the log lines of a request or program on the users' platform, and why each request ended as it did. Exit code 1 if the logs do not say."`
	Where       whereCommand       `cmd:"" help:"Ask a front of the users' platform where a request would go now, and why. Nothing is sent. Exit code 1 if it would be refused, 2 for bad input or no answer."`
	Apply       applyCommand       `cmd:"" help:"Create or update the resources in a TOML file."`
	Get         getCommand         `cmd:"" help:"Show resources. Example: dogwoodline get backend engine-1"`
	Watch       watchCommand       `cmd:"" help:"Show changes to resources as they happen. Example: dogwoodline watch pool"`
	Delete      deleteCommand      `cmd:"" help:"Delete a resource. Example: dogwoodline delete backend engine-1"`
	Route       routeCommand       `cmd:"" help:"Show which node serves a program. Example: dogwoodline route invoice-7"`
	Run         runCommand         `cmd:"" help:"Run a small program: start it, make a model call for each prompt, end it."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a settings file and report every problem. Example: dogwoodline check-config node.toml"`
	Version     versionCommand     `cmd:"" help:"Show the version of this binary."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the command and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	c := &console{stdout: stdout, stderr: stderr}
	var cli commandLine
	helpExitCode := -1
	parser, err := kong.New(&cli,
		kong.Name("dogwoodline"), kong.Description(description), kong.Writers(stdout, stderr), soakKinds(),
		kong.Exit(func(code int) { helpExitCode = code }),
	)
	if err != nil {
		panic("cmd: invalid command-line declaration: " + err.Error())
	}
	command, err := parser.Parse(args)
	if helpExitCode >= 0 { // kong has printed the help text
		return helpExitCode
	}
	if err != nil {
		c.printStderr("dogwoodline: " + err.Error())
		return exitUsage
	}
	err = command.Run(c)
	if err != nil && !errors.Is(err, errReported) {
		c.printStderr("dogwoodline: " + err.Error())
	}
	return exitCode(err)
}

type versionCommand struct{}

// Run prints the module version and the VCS revision of the build.
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
	_, err := fmt.Fprintln(c.stdout, "dogwoodline", version)
	return err
}
