package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// mostCrashes bounds the crashes that a store passes on; the oldest yield.
const mostCrashes = 1024

// Crash says that a backend server ended while it ran a call.
type Crash struct {
	// Call is the same for all attempts of a client.
	Call string
	// Attempt is the id of the attempt that ran.
	Attempt string
	Expires time.Time
}

// crashes is what a store passes on between fronts. Each crash has a number,
// so that a front is told of each once. One duty owns it.
type crashes struct {
	list  []*turnpb.Crash
	first uint64 // the number of the first in the list
	known map[string]bool
}

func newCrashes() *crashes { return &crashes{first: 1, known: map[string]bool{}} }

func (c *crashes) add(reported []*turnpb.Crash, now time.Time) {
	for len(c.list) > 0 && (len(c.list) > mostCrashes || c.list[0].ExpiresUnixMs < now.UnixMilli()) {
		delete(c.known, c.list[0].Attempt)
		c.list = c.list[1:]
		c.first++
	}
	for _, crash := range reported {
		if !c.known[crash.Attempt] {
			c.known[crash.Attempt] = true
			c.list = append(c.list, crash)
		}
	}
}

// after returns the crashes after a number, and the number of the last one.
func (c *crashes) after(number uint64) ([]*turnpb.Crash, uint64) {
	last := c.first + uint64(len(c.list)) - 1
	if number >= last {
		return nil, last
	}
	from := max(number+1, c.first)
	return c.list[from-c.first:], last
}

func encodeCrash(c Crash) *turnpb.Crash {
	return &turnpb.Crash{Call: c.Call, Attempt: c.Attempt, ExpiresUnixMs: c.Expires.UnixMilli()}
}

func decodeCrash(c *turnpb.Crash) Crash {
	return Crash{Call: c.Call, Attempt: c.Attempt, Expires: time.UnixMilli(c.ExpiresUnixMs)}
}
