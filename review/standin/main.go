package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	maxLength = 115 * time.Second // a script may run for 120 s
)

// playedCase plays a case. It reports whether the rule held.
type playedCase func(rec *record, binary string, trouble bool) (bool, error)

// cases holds the cases by their name.
var cases = map[string]playedCase{
	"rolling-stores": playRollingStores,
	"large-bodies":   playLargeBodies,
	"taken-up":       playTakenUp,
	"runaway":        playRunaway,
	"same-input":     playSameInput,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER REPOSITORY")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(one playedCase, folder, repository string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	time.AfterFunc(maxLength, func() {
		rec.event("the case took too long")
		_ = rec.close() // the exit code tells that it could not run
		os.Exit(couldNot)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.event("starts, with disruption: %v", trouble)
	kept, err := one(rec, filepath.Join(repository, "target", "dogwoodline"), trouble)
	code := held
	switch {
	case err != nil:
		rec.event("the case could not run: %v", err)
		code = couldNot
	case !kept:
		rec.event("the rule was BROKEN")
		code = broken
	default:
		rec.event("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	return code
}
