package explain

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// MinWait is the shortest time at a front that counts as a wait. Shorter times are those of
	// reading the body and of starting the turn; it is also the interval at which fronts look
	// at waiting calls again.
	MinWait = 20 * time.Millisecond
	// The range and the significant digits of the histograms of waits.
	maxWaitMs  = int64(time.Hour / time.Millisecond)
	waitDigits = 2
	median     = 50
	p99        = 99
)

// rowCounts counts the lines of a row.
type rowCounts struct {
	counted Row // without waits and calls
	waits   *hdrhistogram.Histogram
	calls   [kindCount]callCounts
}

// callCounts counts calls offered to servers.
type callCounts struct {
	calls    Calls
	byServer []uint32 // by the index of the server
}

func newRowCounts() *rowCounts {
	return &rowCounts{waits: hdrhistogram.New(1, maxWaitMs, waitDigits)}
}

// count counts a line about the end of a request or about a call offered to a server.
func (r *rowCounts) count(b *TableBuilder, l *tableLine) {
	if l.Message == offeredMessage {
		r.countOffered(b, l)
		return
	}
	row := &r.counted
	switch l.outcome() {
	case notEnded:
		return
	case answered:
		row.Answered++
	case failed:
		row.Failed++
	case cutOff:
		row.CutOff++
	case clientLeft:
		row.ClientLeft++
	case refused:
		row.Refused.add(l.Status, l.Reason)
		if l.StartsProgram {
			row.ProgramsRefused++
		}
	}
	row.Requests++
}

func (r *rowCounts) countOffered(b *TableBuilder, l *tableLine) {
	switch {
	case l.Try > 1 && l.SameServer:
		r.counted.RetriesSame++
	case l.Try > 1:
		r.counted.RetriesOther++
	default:
		if l.StartsProgram {
			r.counted.ProgramsStarted++
		}
		if l.WaitedMs >= MinWait.Milliseconds() {
			_ = r.waits.RecordValue(min(l.WaitedMs, maxWaitMs)) // fails only outside the range
		}
	}
	frontZone := l.FrontZone
	if frontZone == "" {
		frontZone = b.hostZones[l.Host]
	}
	c := &r.calls[l.kind()]
	c.calls.Calls++
	c.calls.Choices = max(c.calls.Choices, l.Choices)
	if l.Zone != "" && frontZone != "" {
		if l.Zone == frontZone {
			c.calls.OwnZone++
		} else {
			c.calls.OtherZone++
		}
	}
	c.countZone(l.Zone)
	if index, known := b.serverIndex(l.Backend); known {
		if index >= len(c.byServer) {
			c.byServer = append(c.byServer, make([]uint32, index+1-len(c.byServer))...)
		}
		c.byServer[index]++
	} else {
		c.calls.Unplaced++
	}
}

func (c *callCounts) countZone(zone string) {
	if c.calls.Zones == nil {
		c.calls.Zones = map[string]int64{}
	}
	if zone == "" {
		zone = "(none)"
	}
	if _, known := c.calls.Zones[zone]; !known && len(c.calls.Zones) >= maxZones {
		zone = Others
	}
	c.calls.Zones[zone]++
}

// row returns what was counted. The IDs of servers are given by index.
func (r *rowCounts) row(serverIDs []string) Row {
	row := r.counted
	if row.Waited.Count = r.waits.TotalCount(); row.Waited.Count > 0 {
		row.Waited.MedianMs, row.Waited.P99Ms = r.waits.ValueAtQuantile(median), r.waits.ValueAtQuantile(p99)
	}
	for kind, c := range r.calls {
		if c.calls.Calls == 0 {
			continue
		}
		calls := c.calls
		calls.Kind = kindNames[kind]
		total := int64(0)
		for index, count := range c.byServer {
			if count == 0 {
				continue
			}
			calls.Servers++
			total += int64(count)
			if int64(count) > calls.BusiestCalls {
				calls.BusiestID, calls.BusiestCalls = serverIDs[index], int64(count)
			}
		}
		if total > 0 {
			calls.Busiest = float64(calls.BusiestCalls) * float64(calls.Servers) / float64(total)
		}
		row.Calls = append(row.Calls, calls)
	}
	return row
}
