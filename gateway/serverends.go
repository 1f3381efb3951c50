package gateway

import (
	"fmt"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/upstream"
)

const (
	// interruptionWindow is how long after a call was interrupted the end of its
	// backend server may become known. The registration of a server that ends in
	// silence lapses after about four seconds.
	interruptionWindow = 6 * time.Second
	// lateInterruption is how long after a server's end became known a call that
	// it ran may still be interrupted. A server that leaves without notice is
	// removed while it serves for two seconds or more.
	lateInterruption = 1500 * time.Millisecond
)

// interruptedCall is a call that a backend server may have begun to run and whose
// response did not arrive completely.
type interruptedCall struct {
	requestID  string
	route      string
	identities []call.Identity
	backend    fleet.Backend
	sent       time.Time
	at         time.Time // when it was interrupted
}

// serverEnds finds the calls under which backend servers have ended. An end may
// become known before or after the calls are interrupted. Only the scheduler
// goroutine may use it.
type serverEnds struct {
	interrupted []interruptedCall     // oldest first
	noticed     map[string]noticedEnd // by ID of the backend server, the latest one
}

type noticedEnd struct {
	incarnation int64
	count       int // ends of this incarnation, whose registration may be old
	at          time.Time
}

// name identifies the end among all fronts.
func (n noticedEnd) name(id string) string {
	return fmt.Sprintf("%s/%d/%d", id, n.incarnation, n.count)
}

func newServerEnds() *serverEnds { return &serverEnds{noticed: map[string]noticedEnd{}} }

// interrupt records an interrupted call. It returns the name of the server's end if
// that is already known, and otherwise an empty text.
func (e *serverEnds) interrupt(c interruptedCall) string {
	known, ended := e.noticed[c.backend.ID]
	switch {
	case ended && c.sent.Before(known.at) && c.at.Sub(known.at) < lateInterruption:
		return known.name(c.backend.ID)
	case ended && !c.sent.Before(known.at) && c.sent.Sub(known.at) < upstream.MinRestartTime:
		return "" // the call found the server ended
	}
	e.interrupted = append(e.interrupted, c)
	return ""
}

// refused records that a backend server refuses connections. It returns the name of
// its end and the calls that it may have ended under. Refusals with some time
// between them are different ends of a server whose registration is old.
func (e *serverEnds) refused(backend fleet.Backend, now time.Time) (string, []interruptedCall) {
	known, ended := e.noticed[backend.ID]
	if ended && known.incarnation == backend.Incarnation && now.Sub(known.at) >= upstream.MinRestartTime {
		known.count, known.at = known.count+1, now
		e.noticed[backend.ID] = known
	}
	return e.unregistered(backend, now)
}

// unregistered is refused for a server whose registration is gone or has been
// replaced, which concerns the last end that is known.
func (e *serverEnds) unregistered(backend fleet.Backend, now time.Time) (string, []interruptedCall) {
	known, ended := e.noticed[backend.ID]
	if !ended || known.incarnation != backend.Incarnation {
		known = noticedEnd{incarnation: backend.Incarnation, count: 1, at: now}
	}
	e.noticed[backend.ID] = known
	var blamed, others []interruptedCall
	for _, c := range e.interrupted {
		if c.backend.ID == backend.ID {
			blamed = append(blamed, c)
		} else {
			others = append(others, c)
		}
	}
	e.interrupted = others
	return known.name(backend.ID), blamed
}

// expire removes the calls whose window has passed, and old ends.
func (e *serverEnds) expire(now time.Time) {
	for len(e.interrupted) > 0 && now.Sub(e.interrupted[0].at) > interruptionWindow {
		e.interrupted = e.interrupted[1:]
	}
	for id, known := range e.noticed {
		if now.Sub(known.at) > crashTTL {
			delete(e.noticed, id)
		}
	}
}
