package turnstore

import (
	"fmt"
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
	// ServerEnd names the end of a backend server, so that an end that several
	// fronts notice counts once for a call.
	ServerEnd string
	// Expires is when stores drop the report.
	Expires time.Time
}

// crashes holds the reports that a store passes on between front servers.
// Reports are numbered, so that each front server receives each of them once.
// The store-writer goroutine owns it.
type crashes struct {
	list        []*turnpb.Crash
	firstNumber uint64          // number of list[0]
	seen        map[string]bool // the keys of those in list
}

func newCrashes() *crashes { return &crashes{firstNumber: 1, seen: map[string]bool{}} }

// add drops expired and surplus reports and appends those that are not in the
// list.
func (c *crashes) add(reported []*turnpb.Crash, now time.Time) {
	for len(c.list) > 0 && (len(c.list) > maxCrashes || c.list[0].ExpiresUnixMs < now.UnixMilli()) {
		delete(c.seen, crashKey(c.list[0]))
		c.list = c.list[1:]
		c.firstNumber++
	}
	for _, crash := range reported {
		if key := crashKey(crash); !c.seen[key] {
			c.seen[key] = true
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

// crashKey returns what tells a crash from others: the end of the backend server,
// and the call, since a server may run several when it ends.
func crashKey(c *turnpb.Crash) string { return fmt.Sprint(c.ServerEnd, c.Calls) }

func encodeCrash(c Crash) *turnpb.Crash {
	encoded := &turnpb.Crash{ServerEnd: c.ServerEnd, ExpiresUnixMs: c.Expires.UnixMilli()}
	for _, identity := range c.Calls {
		encoded.Calls = append(encoded.Calls, uint64(identity))
	}
	return encoded
}

func decodeCrash(c *turnpb.Crash) Crash {
	decoded := Crash{ServerEnd: c.ServerEnd, Expires: time.UnixMilli(c.ExpiresUnixMs)}
	for _, identity := range c.Calls {
		decoded.Calls = append(decoded.Calls, call.Identity(identity))
	}
	return decoded
}
