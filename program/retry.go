package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// refused offers a call that did not run to another backend server.
func (t *Table) refused(now time.Time, c *call, result Result, out *Effects) {
	c.refusals++
	final := result.Backend == "" || c.refusals > maxRefusals || !now.Before(c.Deadline)
	if !final {
		c.exclude = append(c.exclude, result.Backend)
		t.dispatch(c, false, out)
		return
	}
	c.settle(0)
	t.recordNotRun(c, result.Outcome, out)
	t.drop(c, result.Outcome, out)
}

// recordNotRun notes that an intent did not run, so that replay frees its
// order number. The answer need not wait for it, because an intent alone
// never makes a later owner run the call.
func (t *Table) recordNotRun(c *call, o outcome.Outcome, out *Effects) {
	note := c.program.record()
	note.Ended = &CallEnded{RequestID: c.RequestID, Outcome: o, Attempt: c.attempt}
	t.append(out, appended{kind: noteAppend, program: c.program}, note)
}

// lost handles an idempotent call whose backend server went away. The crash
// is made durable before the call is sent again.
func (t *Table) lost(now time.Time, c *call, result Result, out *Effects) {
	c.exclude = append(c.exclude, result.Backend)
	c.settle(c.Worst) // what the lost attempt generated is unknown
	crashes := t.countCrash(c, result, out)
	final := crashes >= maxCrashes || c.sent >= maxAttempts || !now.Before(c.Deadline)
	if final || c.program.account.Reserve(c.Worst) != nil {
		if crashes >= maxCrashes {
			result.Outcome.Reason = outcome.CrashesBackend
		}
		t.end(now, c, result, out)
		return
	}
	c.reserved = c.Worst
	c.phase = callRecovering
	crash := c.program.record()
	crash.Crash = &Crash{Digest: c.Digest, Count: crashes}
	t.append(out, appended{kind: crashAppend, program: c.program, call: c}, crash)
}

// countCrash returns how many backend servers the request is held to have
// crashed. Only a crash without neighbours counts as the second one, so that
// a backend server that crashes for its own reasons condemns no request that
// merely ran there.
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

// NoteCrash takes the crash count of a request from another node.
func (t *Table) NoteCrash(crash Crash) {
	t.crashes[crash.Digest] = max(t.crashes[crash.Digest], crash.Count)
}

// Hedge reserves the worst case of a second copy of a running call.
// Effects.Hedges names the call once that is durable. It returns false when
// the call must not be sent twice: it is not idempotent, part of its answer is
// out already, or the budget does not allow it.
func (t *Table) Hedge(id CallID, out *Effects) bool {
	c, ok := t.running[id]
	if !ok || !c.Idempotent || c.alone || len(c.partial) > 0 || c.reserved > c.Worst {
		return false
	}
	if c.program.account.Reserve(c.Worst) != nil {
		return false
	}
	c.reserved += c.Worst
	hedged := c.program.record()
	hedged.Hedge = &Hedged{RequestID: c.RequestID}
	t.append(out, appended{kind: hedgeAppend, program: c.program, call: c, attempt: c.attempt}, hedged)
	return true
}

// settle replaces what is reserved for the call by its cost. It does nothing
// for a call of a former owner, whose reservation counts as spent already.
func (c *call) settle(cost budget.Units) {
	cost = min(max(cost, 0), c.reserved)
	c.program.account.Settle(c.reserved, cost)
	c.reserved = 0
	c.spent += cost
}
