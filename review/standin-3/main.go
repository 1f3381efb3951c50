// Command standin3 runs the cases of the third review that are scripts. It starts the
// system as processes on loopback addresses, with stand-ins of the platform, of backend
// servers and of clients in this process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

// runLimit is the time after which a case gives up.
const runLimit = 115 * time.Second

// setup is what a case gets.
type setup struct {
	binary, folder string
	trouble        bool
	record         *record
}

var cases = map[string]func(setup) error{"dead-member": deadMember, "slow-reader": slowReader, "slow-bodies": slowBodies, "long-ids": longIDs, "software-versions": softwareVersions}

func main() {
	signal.Ignore(syscall.SIGPIPE) // if nobody reads the output, the roles still have to be ended
	os.Exit(run())
}

// run returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.
func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/dogwoodline", "program of the system")
	recordPath := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	r, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := setup{binary: *binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: r}
	switch err := play(s); {
	case err == nil:
		r.say("held")
		return 0
	case errors.Is(err, errBroken):
		r.say("%v", err)
		return 1
	default:
		r.say("could not run: %v", err)
		return 2
	}
}
