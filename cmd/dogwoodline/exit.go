package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/outcome"
)

// Exit codes of the command.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitNotFound
	exitConflict
	exitUnavailable
)

var (
	// errUsage marks wrong usage or invalid input: a retry cannot succeed.
	errUsage = errs.New("bad input")
	// errReported makes a command fail that has already printed the reason.
	errReported = errs.New("failed")
)

// console holds the output streams of a command.
type console struct {
	stdout, stderr io.Writer
}

// printf writes to the standard output. Write errors are ignored: there is
// nowhere to report that the output is closed.
func (c *console) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(c.stdout, format, values...)
}

// printStderr writes a line to the standard error output.
func (c *console) printStderr(line string) {
	_, _ = fmt.Fprintln(c.stderr, line)
}

// outcomeError is the outcome of a request that failed, as an error.
type outcomeError struct {
	outcome.Outcome
}

func (e outcomeError) Error() string {
	text := string(e.Code)
	if e.Reason != "" {
		text += ", " + string(e.Reason)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// errorFromOutcome returns an outcomeError, or nil for a completed outcome.
func errorFromOutcome(o outcome.Outcome) error {
	if o.Code == outcome.Completed {
		return nil
	}
	return outcomeError{o}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var outcomeErr outcomeError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &outcomeErr):
		return outcomeExitCode(outcomeErr.Outcome)
	case errors.Is(err, errUsage), errors.Is(err, errNoAnswer), errors.Is(err, api.ErrInvalid):
		return exitUsage
	case errors.Is(err, api.ErrNotFound):
		return exitNotFound
	case errors.Is(err, api.ErrConflict):
		return exitConflict
	case errors.Is(err, api.ErrUnavailable), errors.Is(err, client.ErrUnreachable):
		return exitUnavailable
	}
	return exitFailed
}

func outcomeExitCode(o outcome.Outcome) int {
	switch {
	case o.Reason == outcome.UnknownProgram:
		return exitNotFound
	case o.Reason == outcome.Conflict:
		return exitConflict
	case o.Code == outcome.NotRun:
		return exitUnavailable
	case o.Code == outcome.Invalid:
		return exitUsage
	}
	return exitFailed
}
