package turnstore

import (
	"fmt"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/turnstore/turnpb"
)

// Crash reports that a backend server ended while it ran a call.
type Crash struct {
	// Calls holds the identities of the call, of which further attempts at it have
	// some or all.
	Calls []call.Identity
	// ServerEnd names the end of a backend server, so that an end that several
	// fronts notice counts once for a call.
	ServerEnd string
	// Sent is when the backend server got the call, and Interrupted when the front
	// noticed that no complete answer would come. Both are zero if the front that
	// reported the crash did not say.
	Sent, Interrupted time.Time
	// Expires is when stores drop the report.
	Expires time.Time
}

// crashKey returns what tells a crash from others: the end of the backend server,
// and the call, since a server may run several when it ends.
func crashKey(c *turnpb.Crash) string { return fmt.Sprint(c.ServerEnd, c.Calls) }

func encodeCrash(c Crash) *turnpb.Record {
	encoded := &turnpb.Crash{ServerEnd: c.ServerEnd, ExpiresUnixMs: c.Expires.UnixMilli()}
	if !c.Sent.IsZero() {
		encoded.SentUnixMs, encoded.InterruptedUnixMs = c.Sent.UnixMilli(), c.Interrupted.UnixMilli()
	}
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
	if c.SentUnixMs != 0 {
		decoded.Sent, decoded.Interrupted = time.UnixMilli(c.SentUnixMs), time.UnixMilli(c.InterruptedUnixMs)
	}
	for _, identity := range c.Calls {
		decoded.Calls = append(decoded.Calls, call.Identity(identity))
	}
	return decoded
}
