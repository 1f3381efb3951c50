// Package where defines the question where a request would go now, and its answer, as
// operators exchange them with a front. It decides nothing.
package where

import (
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Path is where fronts answer on the operators' address.
const Path = "/where"

// Query describes a request that is not sent.
type Query struct {
	Host, Path, Method string
	// Organisation is the name of the organisation that would send it; empty for none.
	Organisation     string
	Session, Program string
	// Previous is the ID of the turn that the request would continue.
	Previous      string
	StartsProgram bool
	// FinishWithin is the time until the program should be finished; negative if that has
	// passed, 0 if it is not stated.
	FinishWithin time.Duration
	// Deadline is the time within which the response is needed; 0 for that of the route.
	Deadline time.Duration
	// Bytes is the length of the body, and Tokens the KV cache that the call takes.
	Bytes, Tokens int
}

// Encode returns the query as URL parameters.
func (q Query) Encode() url.Values {
	values := url.Values{}
	for name, text := range q.texts() {
		if *text != "" {
			values.Set(name, *text)
		}
	}
	for name, number := range q.numbers() {
		if *number != 0 {
			values.Set(name, strconv.Itoa(*number))
		}
	}
	for name, d := range q.durations() {
		if *d != 0 {
			values.Set(name, d.String())
		}
	}
	if q.StartsProgram {
		values.Set("starts_program", "true")
	}
	return values
}

// Decode returns the query of URL parameters. Unknown parameters are errors.
func Decode(values url.Values) (Query, error) {
	var q Query
	texts, numbers, durations := q.texts(), q.numbers(), q.durations()
	for name := range values {
		value, err := values.Get(name), error(nil)
		switch {
		case texts[name] != nil:
			*texts[name] = value
		case numbers[name] != nil:
			*numbers[name], err = strconv.Atoi(value)
		case durations[name] != nil:
			*durations[name], err = time.ParseDuration(value)
		case name == "starts_program":
			q.StartsProgram, err = strconv.ParseBool(value)
		default:
			err = errs.New("unknown parameter")
		}
		if err != nil {
			return Query{}, errs.New("%s: %v", name, err)
		}
	}
	return q, q.check()
}

// check reports what makes the query invalid.
func (q Query) check() error {
	switch {
	case q.Host == "" || q.Path == "":
		return errs.New("host and path are required")
	case q.Path[0] != '/':
		return errs.New("path: does not begin with /")
	case q.Bytes < 0 || q.Tokens < 0 || q.Deadline < 0:
		return errs.New("bytes, tokens and deadline must not be negative")
	case q.StartsProgram && q.Previous != "":
		return errs.New("a request that continues a turn does not start a program")
	}
	return nil
}

func (q *Query) texts() map[string]*string {
	return map[string]*string{
		"host": &q.Host, "path": &q.Path, "method": &q.Method, "organisation": &q.Organisation, "session": &q.Session, "program": &q.Program,
		"previous": &q.Previous,
	}
}

func (q *Query) numbers() map[string]*int {
	return map[string]*int{"bytes": &q.Bytes, "tokens": &q.Tokens}
}

func (q *Query) durations() map[string]*time.Duration {
	return map[string]*time.Duration{"finish_within": &q.FinishWithin, "deadline": &q.Deadline}
}
