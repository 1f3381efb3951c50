// Package clientlimits bounds what clients of a process can hold: connections,
// descriptors and memory. It handles clients that open many connections, send request
// heads that are too long, too slow or without end, send empty lines instead of requests,
// or do not read their responses.
//
// The decisions have no network and no clock: Head judges the bytes of a request head, and
// Victims and Overdue say which connections are closed. Listener applies them to the
// connections of an address.
package clientlimits

import (
	"cmp"
	"slices"
	"time"
)

// Limits is what a client may send and how long it may take.
type Limits struct {
	// HeadBytes is the greatest length of a request head.
	HeadBytes int
	// HeadLines is the greatest number of lines of a request head.
	HeadLines int
	// EmptyLines is the greatest number of empty lines before a request.
	EmptyLines int
	// HeadTimeout is the time for a request head from its first byte.
	HeadTimeout time.Duration
	// IdleTimeout is the time that a connection may stay without a request.
	IdleTimeout time.Duration
	// UnreadTimeout is the time for which one write of a response may wait for the
	// client to read; 0 for no limit.
	UnreadTimeout time.Duration
}

// Defaults are the limits while the operator's are not known. Common servers allow 100
// lines; with 1,024 lines, 200 clients exceeded the memory of a front of 64 MB.
var Defaults = Limits{
	HeadBytes: 64 << 10, HeadLines: 256, EmptyLines: 2, HeadTimeout: 10 * time.Second,
	IdleTimeout: time.Minute, UnreadTimeout: time.Minute,
}

// Operator returns the limits with those of the operator's configuration, of which 0
// means that the configuration does not set it. An idle time that is shorter than the
// one in force before is not enforced: clients hear of it later than this process and
// would send requests on connections that are being closed, and one that reads slowly
// would lose its response. A budget closes idle connections when it needs their room.
func (l Limits) Operator(headBytes int, headTimeout, idleTimeout time.Duration) Limits {
	if headBytes > 0 {
		l.HeadBytes = headBytes
	}
	if headTimeout > 0 {
		l.HeadTimeout = headTimeout
	}
	l.IdleTimeout, l.UnreadTimeout = max(l.IdleTimeout, idleTimeout), max(l.UnreadTimeout, idleTimeout)
	return l
}

// Cause says why a connection was closed or refused.
type Cause int

// The causes. None means that the connection stays.
const (
	None Cause = iota
	HeadTooLong
	TooManyLines
	TooManyEmptyLines
	HeadTooSlow
	Idle
	Unread
	MadeRoom
	Refused
	causes
)

var causeNames = [causes]string{
	"none", "head_too_long", "head_too_many_lines", "empty_lines", "head_too_slow", "idle", "response_unread", "made_room", "refused",
}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	Opened  Phase = iota // without a complete request so far
	Waiting              // for the next request after a complete one
	Serving              // a request
)

// State is what is known of a connection.
type State struct {
	Phase Phase
	// Since is when the phase began or, in a phase without a request, when the first
	// byte of a head arrived.
	Since time.Time
	// HeadBytes is how much memory an incomplete head takes.
	HeadBytes int
	// WritingSince is when the write began that waits; zero if none does.
	WritingSince time.Time
}

// Overdue returns the cause for which the connection is to be closed at the time, or
// None.
func (l Limits) Overdue(s State, now time.Time) Cause {
	age := now.Sub(s.Since)
	switch {
	case l.UnreadTimeout > 0 && !s.WritingSince.IsZero() && now.Sub(s.WritingSince) > l.UnreadTimeout:
		return Unread
	case s.Phase != Serving && s.HeadBytes > 0 && age > l.HeadTimeout:
		return HeadTooSlow
	case s.Phase != Serving && s.HeadBytes == 0 && age > l.IdleTimeout:
		return Idle
	}
	return None
}

// NextOverdue returns the earliest time at which the connection may be overdue, whatever
// its client does from now on. It is for connections that are not overdue at the time.
func (l Limits) NextOverdue(s State, now time.Time) time.Time {
	next := now.Add(min(l.HeadTimeout, l.IdleTimeout))
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	if l.UnreadTimeout > 0 {
		sooner(now.Add(l.UnreadTimeout))
		if !s.WritingSince.IsZero() {
			sooner(s.WritingSince.Add(l.UnreadTimeout))
		}
	}
	switch {
	case s.Phase == Serving:
	case s.HeadBytes > 0:
		sooner(s.Since.Add(l.HeadTimeout))
	default:
		sooner(s.Since.Add(l.IdleTimeout))
	}
	return next
}

// openedBytes is what a connection without a head counts for when connections are
// compared: the buffers that each one has.
const openedBytes = 8 << 10

// Victims returns the indexes of at most the given number of connections that are closed
// to make room: those first that never sent a complete request, and of these the ones
// that hold the most for the longest. Connections that serve a request are never among
// them.
func Victims(states []State, now time.Time, most int) []int {
	candidates := make([]int, 0, len(states))
	for i, s := range states {
		if s.Phase != Serving {
			candidates = append(candidates, i)
		}
	}
	weight := func(s State) float64 { return float64(openedBytes+s.HeadBytes) * now.Sub(s.Since).Seconds() }
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(states[a].Phase, states[b].Phase), cmp.Compare(weight(states[b]), weight(states[a])))
	})
	return candidates[:min(most, len(candidates))]
}
