package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// handleNotRun offers a call that was refused without being run to another
// backend server. It drops the call if there was no backend server, or after
// too many refusals or the deadline.
func (t *Table) handleNotRun(now time.Time, c *call, result Result, out *Effects) {
	c.refusals++
	final := result.Backend == "" || c.refusals > maxRefusals || !now.Before(c.Deadline)
	if !final {
		c.exclude = append(c.exclude, result.Backend)
		t.dispatch(c, false, out)
		return
	}
	c.settle(0)
	t.recordNotRun(c, result.Outcome, out)
	t.dropCall(c, result.Outcome, out)
}

// recordNotRun records that the call of an intent did not run, so that replay
// frees its order number. The answer need not wait for the record, because an
// intent alone never makes a later owner run the call.
func (t *Table) recordNotRun(c *call, o outcome.Outcome, out *Effects) {
	record := c.program.nextRecord()
	record.Ended = &CallEnded{RequestID: c.RequestID, Outcome: o, Attempt: c.attempt}
	t.appendRecords(out, pendingAppend{kind: notRunAppend, program: c.program}, record)
}

// handleConnectionLost retries an idempotent call whose backend server was lost
// while it ran the call, or ends the call if no retry is allowed. The crash
// count is made durable before the call is sent again.
func (t *Table) handleConnectionLost(now time.Time, c *call, result Result, out *Effects) {
	c.exclude = append(c.exclude, result.Backend)
	c.settle(c.WorstCost) // the cost of the lost attempt is unknown
	crashes := t.countCrash(c, result, out)
	final := crashes >= maxCrashes || c.sent >= maxAttempts || !now.Before(c.Deadline)
	if final || c.program.account.Reserve(c.WorstCost) != nil {
		if crashes >= maxCrashes {
			result.Outcome.Reason = outcome.CrashesBackend
		}
		t.finishCall(now, c, result, out)
		return
	}
	c.reserved = c.WorstCost
	c.phase = callRecovering
	record := c.program.nextRecord()
	record.Crash = &Crash{Digest: c.Digest, Count: crashes}
	t.appendRecords(out, pendingAppend{kind: crashAppend, program: c.program, call: c}, record)
}

// countCrash updates and returns the number of backend servers that the request
// is held to have crashed. The count reaches maxCrashes only if the request ran
// alone on the backend server, so that a request is not refused because it
// happened to run on a backend server that crashed for another reason.
func (t *Table) countCrash(c *call, result Result, out *Effects) int {
	count := t.crashes[c.Digest]
	if !result.Crashed {
		return count
	}
	if c.alone {
		count = maxCrashes
	} else {
		count = max(count, 1)
	}
	t.crashes[c.Digest] = count
	out.Crashes = append(out.Crashes, Crash{Digest: c.Digest, Count: count})
	return count
}

// NoteCrash merges the crash count of a request from another node or from a
// replayed record. The larger count wins.
func (t *Table) NoteCrash(crash Crash) {
	t.crashes[crash.Digest] = max(t.crashes[crash.Digest], crash.Count)
}

// Hedge reserves the worst-case cost of a second copy of a running call. Once
// the reservation is durable, the call is listed in Effects.Hedges. Hedge
// returns false if the call must not be sent twice: it is not running or not
// idempotent, it must run alone, part of its answer was already received, it
// has a second copy already, or the budget does not allow it.
func (t *Table) Hedge(id CallID, out *Effects) bool {
	c, ok := t.running[id]
	if !ok || !c.Idempotent || c.alone || len(c.partial) > 0 || c.reserved > c.WorstCost {
		return false
	}
	if c.program.account.Reserve(c.WorstCost) != nil {
		return false
	}
	c.reserved += c.WorstCost
	record := c.program.nextRecord()
	record.Hedge = &Hedged{RequestID: c.RequestID}
	t.appendRecords(out, pendingAppend{kind: hedgeAppend, program: c.program, call: c, attempt: c.attempt}, record)
	return true
}

// settle replaces the reservation of the call by its cost. It does nothing for
// a call that was dispatched by a former owner, because Adopt has already
// counted its reservation as spent.
func (c *call) settle(cost budget.Units) {
	cost = min(max(cost, 0), c.reserved)
	c.program.account.Settle(c.reserved, cost)
	c.reserved = 0
	c.spent += cost
}
