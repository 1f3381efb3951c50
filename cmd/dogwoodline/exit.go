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

const (
	exitDone = iota
	exitFailed
	exitUsage
	exitNotFound
	exitConflict
	exitUnavailable
)

var (
	// errUsage reports input that no repetition makes right.
	errUsage = errs.New("bad input")
	// errReported ends a command that has already said what went wrong.
	errReported = errs.New("failed")
)

// console is where a command writes to.
type console struct {
	out, errOut io.Writer
}

// say writes to the output. A closed output cannot be told.
func (c *console) say(format string, values ...any) {
	_, _ = fmt.Fprintf(c.out, format, values...)
}

// warn writes a line to the error output.
func (c *console) warn(line string) {
	_, _ = fmt.Fprintln(c.errOut, line)
}

// outcomeError is an outcome that ends a command.
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

// failureOf returns nil for a completed outcome.
func failureOf(o outcome.Outcome) error {
	if o.Code == outcome.Completed {
		return nil
	}
	return outcomeError{o}
}

func exitCode(err error) int {
	var ended outcomeError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &ended):
		return outcomeExitCode(ended.Outcome)
	case errors.Is(err, errUsage), errors.Is(err, api.ErrInvalid):
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
