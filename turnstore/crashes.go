package turnstore

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/turnstore/turnpb"
)

// maxCrashes bounds the crashes that a store keeps; beyond it, the oldest are
// dropped. A server that ends interrupts some tens of calls, each of which is
// reported.
const maxCrashes = 4096

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
	list        []*crashEntry
	firstNumber uint64                 // number of list[0]
	byKey       map[string]*crashEntry // those in list
	numbering   uint64                 // differs after each start
}

type crashEntry struct {
	crash   *turnpb.Crash
	segment uint64 // the newest log segment that has it
}

func newCrashes() *crashes {
	return &crashes{firstNumber: 1, byKey: map[string]*crashEntry{}, numbering: rand.Uint64()}
}

// add adds a report and returns whether it is new.
func (c *crashes) add(crash *turnpb.Crash, segment uint64) bool {
	key := crashKey(crash)
	if c.byKey[key] != nil {
		return false
	}
	entry := &crashEntry{crash: crash, segment: segment}
	c.byKey[key] = entry
	c.list = append(c.list, entry)
	return true
}

// expire drops expired and surplus reports and returns their number.
func (c *crashes) expire(now time.Time) int {
	dropped := 0
	for len(c.list) > 0 && (len(c.list) > maxCrashes || c.list[0].crash.ExpiresUnixMs < now.UnixMilli()) {
		delete(c.byKey, crashKey(c.list[0].crash))
		c.list = c.list[1:]
		c.firstNumber++
		dropped++
	}
	return dropped
}

// after returns the reports whose number is above the given one, and the number
// of the newest report. A number of another numbering counts as 0.
func (c *crashes) after(number, numbering uint64) ([]*turnpb.Crash, uint64) {
	if numbering != c.numbering {
		number = 0
	}
	last := c.firstNumber + uint64(len(c.list)) - 1
	var reports []*turnpb.Crash
	for next := max(number+1, c.firstNumber); next <= last; next++ {
		reports = append(reports, c.list[next-c.firstNumber].crash)
	}
	return reports, last
}

// crashKey returns what tells a crash from others: the end of the backend server,
// and the call, since a server may run several when it ends.
func crashKey(c *turnpb.Crash) string { return fmt.Sprint(c.ServerEnd, c.Calls) }

func encodeCrash(c Crash) *turnpb.Record {
	encoded := &turnpb.Crash{ServerEnd: c.ServerEnd, ExpiresUnixMs: c.Expires.UnixMilli()}
	for _, identity := range c.Calls {
		encoded.Calls = append(encoded.Calls, uint64(identity))
	}
	return crashRecord(encoded)
}

func crashRecord(c *turnpb.Crash) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Crash{Crash: c}}
}

func decodeCrash(c *turnpb.Crash) Crash {
	decoded := Crash{ServerEnd: c.ServerEnd, Expires: time.UnixMilli(c.ExpiresUnixMs)}
	for _, identity := range c.Calls {
		decoded.Calls = append(decoded.Calls, call.Identity(identity))
	}
	return decoded
}
