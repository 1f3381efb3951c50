package turnstore

import (
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/turnstore/turnpb"
)

// maxCrashes bounds the crashes that a store keeps for front servers; beyond
// it, the oldest are dropped.
const maxCrashes = 1024

// Crash reports that a backend server ended while it ran a call.
type Crash struct {
	// Calls holds the identities of the call, of which further attempts at it have
	// some or all.
	Calls []call.Identity
	// Attempt is the id of the attempt that ran on the backend server.
	Attempt string
	// Expires is when stores drop the report.
	Expires time.Time
}

// crashes holds the reports that a store passes on between front servers.
// Reports are numbered, so that each front server receives each of them once.
// The store-writer goroutine owns it.
type crashes struct {
	list         []*turnpb.Crash
	firstNumber  uint64          // number of list[0]
	seenAttempts map[string]bool // attempts in list
}

func newCrashes() *crashes { return &crashes{firstNumber: 1, seenAttempts: map[string]bool{}} }

// add drops expired and surplus reports and appends those of attempts that are
// not in the list.
func (c *crashes) add(reported []*turnpb.Crash, now time.Time) {
	for len(c.list) > 0 && (len(c.list) > maxCrashes || c.list[0].ExpiresUnixMs < now.UnixMilli()) {
		delete(c.seenAttempts, c.list[0].Attempt)
		c.list = c.list[1:]
		c.firstNumber++
	}
	for _, crash := range reported {
		if !c.seenAttempts[crash.Attempt] {
			c.seenAttempts[crash.Attempt] = true
			c.list = append(c.list, crash)
		}
	}
}

// after returns the reports whose number is above the given one, and the number
// of the newest report.
func (c *crashes) after(number uint64) ([]*turnpb.Crash, uint64) {
	last := c.firstNumber + uint64(len(c.list)) - 1
	if number >= last {
		return nil, last
	}
	start := max(number+1, c.firstNumber)
	return c.list[start-c.firstNumber:], last
}

func encodeCrash(c Crash) *turnpb.Crash {
	encoded := &turnpb.Crash{Attempt: c.Attempt, ExpiresUnixMs: c.Expires.UnixMilli()}
	for _, identity := range c.Calls {
		encoded.Calls = append(encoded.Calls, uint64(identity))
	}
	return encoded
}

func decodeCrash(c *turnpb.Crash) Crash {
	decoded := Crash{Attempt: c.Attempt, Expires: time.UnixMilli(c.ExpiresUnixMs)}
	for _, identity := range c.Calls {
		decoded.Calls = append(decoded.Calls, call.Identity(identity))
	}
	return decoded
}
