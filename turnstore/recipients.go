package turnstore

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/copyset"
)

const (
	// spareMembers is how many members beyond a majority receive the records of
	// a budget at once, so that one slow disk does not delay the operation.
	spareMembers = 1
	// fallbackDelay is how long an operation waits for the members that it was
	// sent to before it is sent to the remaining ones. It is several times what
	// a sync and a round trip between availability zones take.
	fallbackDelay = 40 * time.Millisecond
)

// selectMembers splits the members into those that receive an operation at
// once and those that receive it only if the first do not suffice. A
// conversation goes to all members, so that each availability zone has a copy, and
// so does a crash, which each member passes on.
// The short records of a budget go to a majority and a spare member, which
// differ from program to program. Members that are joining receive every
// record, because what they pull may lack it.
func (c *Client) selectMembers(op Operation, nearest string) (first, remaining []copyset.Member) {
	program := ""
	for _, record := range op.Records {
		switch {
		case record.GetTurn() != nil, record.GetCrash() != nil:
			return c.set.Members, nil
		case record.GetReservation() != nil:
			program = record.GetReservation().Program
		case record.GetSettlement() != nil:
			program = record.GetSettlement().Program
		case record.GetFact() != nil:
			program = record.GetFact().Key // spreads facts as it does the records of budgets
		}
	}
	wanted := c.set.Majority() + spareMembers
	offset := int(xxhash.Sum64String(program) % uint64(max(1, len(c.set.Members))))
	for i := range c.set.Members {
		m := c.set.Members[(offset+i)%len(c.set.Members)]
		slot, known := c.slotByDisk[m.Disk]
		switch {
		case !m.Ready, m.Disk == nearest:
			first = append(first, m)
		case wanted > 1 && known && !c.senders[slot].failing.Load(): // the last place is left for the nearest member
			first = append(first, m)
			wanted--
		default:
			remaining = append(remaining, m)
		}
	}
	return first, remaining
}

// fallback is an operation that was not sent to all members, and the time at
// which it is sent to the remaining ones unless it is decided by then.
type fallback struct {
	id  uint64
	due time.Time
}

// scheduleFallback has the operation sent to the remaining members if it is not
// decided within fallbackDelay.
func (c *Client) scheduleFallback(id uint64, now time.Time) {
	if len(c.fallbacks) == 0 {
		c.fallbackTimer.Reset(fallbackDelay)
	}
	c.fallbacks = append(c.fallbacks, fallback{id: id, due: now.Add(fallbackDelay)})
}

// runDueFallbacks sends undecided operations whose delay has passed to their
// remaining members.
func (c *Client) runDueFallbacks(now time.Time) {
	for len(c.fallbacks) > 0 {
		due := c.fallbacks[0].due
		if now.Before(due) {
			c.fallbackTimer.Reset(due.Sub(now))
			return
		}
		if p := c.pending[c.fallbacks[0].id]; p != nil && !p.replied {
			c.sendToRemaining(c.fallbacks[0].id, p)
			c.decide(c.fallbacks[0].id, p)
		}
		c.fallbacks = c.fallbacks[1:]
	}
	c.fallbacks = nil
}

// sendToRemaining sends the records of an operation to the members that have
// not received it.
func (c *Client) sendToRemaining(id uint64, p *pending) {
	remaining := p.remaining
	p.remaining = nil
	for _, m := range remaining {
		c.send(id, p, m, message{records: p.op.Records, fact: p.op.FactKey})
	}
}
