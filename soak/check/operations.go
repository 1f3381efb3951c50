package check

import (
	"fmt"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// checkRecoveries checks that programs of a killed node are served again.
func (c *checker) checkRecoveries() {
	for _, r := range c.history.Recoveries {
		if c.excused(r) || !r.Failed && r.Served-r.Killed <= c.bounds.Recovery {
			continue
		}
		detail := fmt.Sprintf("%s of %s was served again %.3fs after the kill, bound %.3fs", r.Program, r.Node, (r.Served - r.Killed).Seconds(), c.bounds.Recovery.Seconds())
		c.report("recovery", detail, c.callsOf(r.Program)...)
	}
}

// excused reports whether a fault overlaps during which the bound does not
// hold: it is stated for a store that answers and for callers, nodes and
// engines that can reach each other.
func (c *checker) excused(r Recovery) bool {
	end := r.Killed + c.bounds.Recovery
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		harmless := []string{"kill", "slow", "lost", "race", "leave", "engine-slow", "stop", "roll"}
		return !slices.Contains(harmless, f.Kind) && f.Begin <= end && r.Killed <= f.End+c.bounds.Recovery
	})
}

func (c *checker) callsOf(program string) []string {
	var result []string
	for _, call := range c.history.Calls {
		if call.Program == program {
			result = append(result, call.String())
		}
	}
	return result
}

// checkStops checks that planned stops fail no call: G9. A call that another
// fault overlaps proves nothing.
func (c *checker) checkStops() {
	for _, stop := range c.history.Stops {
		if c.overlapped(stop.Begin, stop.End) {
			continue
		}
		if stop.ExitCode != 0 {
			c.report("G9", fmt.Sprintf("planned stop of %s ended with code %d", stop.Node, stop.ExitCode))
		}
		for _, call := range c.history.Calls {
			during := call.Invoked <= stop.End && stop.Begin <= call.Returned
			if during && interrupted(call) && !c.overlapped(call.Invoked, call.Returned) {
				c.report("G9", fmt.Sprintf("the planned stop of %s from %.3fs to %.3fs failed a call", stop.Node, stop.Begin.Seconds(), stop.End.Seconds()), call.String())
			}
		}
	}
}

// interrupted reports whether a call ended in a way that its caller did not
// cause.
func interrupted(call Call) bool {
	if call.Via != "main" && call.Via != "streamed" {
		return false
	}
	return call.Code == outcome.NotRun || call.Code == outcome.Unknown || call.Code == outcome.Failed
}

// overlapped reports whether a fault other than a planned stop, or its
// recovery, falls into the time.
func (c *checker) overlapped(begin, end At) bool {
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		return f.Kind != "stop" && f.Kind != "roll" && f.Begin <= end && begin <= f.End+c.bounds.Recovery
	})
}

// checkEngines checks memory, leaving engines and crashing requests: G4, G8.
func (c *checker) checkEngines() {
	for _, held := range c.history.Held {
		c.report("G4", fmt.Sprintf("%s holds %d tokens of %s after its end", held.Engine, held.Tokens, held.Program), c.callsOf(held.Program)...)
	}
	for _, leave := range c.history.Leaves {
		if late := leave.StartedAtEnd - leave.StartedAtBound; late > 0 {
			c.report("G8", fmt.Sprintf("%s started %d calls later than the bound after the host list showed it as leaving at %.3fs", leave.Engine, late, leave.Shown.Seconds()))
		}
	}
	for _, poison := range c.history.Poisons {
		if poison.Crashes > poison.Allowed {
			c.report("crashing request", fmt.Sprintf("%q crashed %d backend servers, allowed are %d", poison.Text, poison.Crashes, poison.Allowed))
		}
	}
}

// checkConfig checks that accepted resources spread, never revert and are
// never overwritten unseen: G10.
func (c *checker) checkConfig() {
	c.checkReversions()
	c.checkSpread()
	c.checkWrites()
}

func (c *checker) checkReversions() {
	type place struct{ node, resource string }
	latest := map[place]Seen{}
	seen := slices.Clone(c.history.Seen)
	slices.SortStableFunc(seen, func(a, b Seen) int { return int(a.At - b.At) })
	for _, s := range seen {
		at := place{s.Node, s.Resource}
		if before, ok := latest[at]; ok && s.Asked >= before.At && s.Version < before.Version {
			c.report("G10", fmt.Sprintf("%s went back at %s", s.Resource, s.Node), before.String(), s.String())
		}
		if s.Version >= latest[at].Version {
			latest[at] = s
		}
	}
}

// checkSpread checks that no node shows an older version later than the bound.
func (c *checker) checkSpread() {
	for _, w := range c.history.Writes {
		if !w.Accepted {
			continue
		}
		for _, s := range c.history.Seen {
			late := s.Resource == w.Resource && s.Asked > w.Returned+c.bounds.Config && s.Version < w.Version
			if late && !c.parted(s.Node, s.Asked-c.bounds.Config, s.At) {
				c.report("G10", fmt.Sprintf("%s has not version %d of %s in force", s.Node, w.Version, w.Resource), w.String(), s.String())
				break
			}
		}
	}
}

// parted reports whether the node could not take part for some of the time.
func (c *checker) parted(node string, begin, end At) bool {
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		return f.Target == node && f.Begin <= end && begin <= f.End+time.Second
	})
}

// checkWrites checks that each version is written over at most once.
func (c *checker) checkWrites() {
	type step struct {
		resource string
		expected int64
	}
	accepted := map[step]Write{}
	for _, w := range c.history.Writes {
		if !w.Accepted {
			continue
		}
		at := step{w.Resource, w.Expected}
		if other, ok := accepted[at]; ok {
			c.report("G10", fmt.Sprintf("two writes of %s over version %d were accepted", w.Resource, w.Expected), other.String(), w.String())
		}
		accepted[at] = w
	}
}
