package check

import (
	"fmt"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// checkRecoveries checks that programs of a killed node are served again within
// the bound.
func (c *checker) checkRecoveries() {
	for _, r := range c.history.Recoveries {
		if c.isExempt(r) || !r.Failed && r.Served-r.Killed <= c.bounds.Recovery {
			continue
		}
		detail := fmt.Sprintf("%s of %s was served again %.3fs after the kill, bound %.3fs", r.Program, r.Node, (r.Served - r.Killed).Seconds(), c.bounds.Recovery.Seconds())
		c.report("recovery", detail, c.callsOf(r.Program)...)
	}
}

// isExempt reports whether a recovery overlaps a fault during which the bound
// does not apply. The bound applies only while the store answers and callers,
// nodes and engines can reach each other.
func (c *checker) isExempt(r Recovery) bool {
	end := r.Killed + c.bounds.Recovery
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		covered := []string{"kill", "slow", "lost", "race", "leave", "engine-slow", "stop", "roll"}
		return !slices.Contains(covered, f.Kind) && f.Begin <= end && r.Killed <= f.End+c.bounds.Recovery
	})
}

// callsOf returns the lines that describe the calls of a program.
func (c *checker) callsOf(program string) []string {
	var result []string
	for _, call := range c.history.Calls {
		if call.Program == program {
			result = append(result, call.String())
		}
	}
	return result
}

// checkStops checks that planned stops succeed and fail no call: G9. Stops and
// calls that another fault overlaps are not checked, because that fault may be
// the cause of a failure.
func (c *checker) checkStops() {
	for _, stop := range c.history.Stops {
		if c.overlapsFault(stop.Begin, stop.End) {
			continue
		}
		if stop.ExitCode != 0 {
			c.report("G9", fmt.Sprintf("planned stop of %s ended with exit code %d", stop.Node, stop.ExitCode))
		}
		for _, call := range c.history.Calls {
			during := call.Invoked <= stop.End && stop.Begin <= call.Returned
			if during && interrupted(call) && !c.overlapsFault(call.Invoked, call.Returned) {
				c.report("G9", fmt.Sprintf("the planned stop of %s from %.3fs to %.3fs failed a call", stop.Node, stop.Begin.Seconds(), stop.End.Seconds()), call.String())
			}
		}
	}
}

// interrupted reports whether an ordinary call ended without a result for a
// reason that its caller did not cause.
func interrupted(call Call) bool {
	if call.Origin != "main" && call.Origin != "streamed" {
		return false
	}
	return call.Code == outcome.NotRun || call.Code == outcome.Unknown || call.Code == outcome.Failed
}

// overlapsFault reports whether the period overlaps a fault other than a planned
// stop, or the recovery from such a fault.
func (c *checker) overlapsFault(begin, end Offset) bool {
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		return f.Kind != "stop" && f.Kind != "roll" && f.Begin <= end && begin <= f.End+c.bounds.Recovery
	})
}

// checkEngines checks that engines free the memory of ended programs (G4), that
// leaving engines start no calls after the bound (G8), and that no request
// crashes more engines than allowed.
func (c *checker) checkEngines() {
	for _, held := range c.history.HeldMemory {
		c.report("G4", fmt.Sprintf("%s holds %d tokens of %s after the end of the program", held.Engine, held.Tokens, held.Program), c.callsOf(held.Program)...)
	}
	for _, leave := range c.history.EngineLeaves {
		if late := leave.StartedAtEnd - leave.StartedAtBound; late > 0 {
			c.report("G8", fmt.Sprintf("%s started %d calls after the bound, although the host list showed it as leaving since %.3fs", leave.Engine, late, leave.ShownAt.Seconds()))
		}
	}
	for _, poison := range c.history.CrashingPrompts {
		if poison.Crashes > poison.Allowed {
			c.report("crashing request", fmt.Sprintf("%q crashed %d backend servers, limit %d", poison.Text, poison.Crashes, poison.Allowed))
		}
	}
}

// checkConfig checks that accepted resources reach all nodes, that they never
// revert to an older version, and that no accepted update is lost to another
// one: G10.
func (c *checker) checkConfig() {
	c.checkReversions()
	c.checkPropagation()
	c.checkWrites()
}

// checkReversions checks that no node shows an older version after a newer one.
func (c *checker) checkReversions() {
	type nodeResource struct{ node, resource string }
	latest := map[nodeResource]ConfigRead{}
	seen := slices.Clone(c.history.ConfigReads)
	slices.SortStableFunc(seen, func(a, b ConfigRead) int { return int(a.AnsweredAt - b.AnsweredAt) })
	for _, s := range seen {
		key := nodeResource{s.Node, s.Resource}
		if previous, ok := latest[key]; ok && s.RequestedAt >= previous.AnsweredAt && s.Version < previous.Version {
			c.report("G10", fmt.Sprintf("%s reverted to an older version at %s", s.Resource, s.Node), previous.String(), s.String())
		}
		if s.Version >= latest[key].Version {
			latest[key] = s
		}
	}
}

// checkPropagation checks that no node shows an older version after the bound
// for an accepted write has passed.
func (c *checker) checkPropagation() {
	for _, w := range c.history.ConfigWrites {
		if !w.Accepted {
			continue
		}
		for _, s := range c.history.ConfigReads {
			late := s.Resource == w.Resource && s.RequestedAt > w.Returned+c.bounds.Propagation && s.Version < w.Version
			if late && !c.nodeFaulted(s.Node, s.RequestedAt-c.bounds.Propagation, s.AnsweredAt) {
				c.report("G10", fmt.Sprintf("%s does not have version %d of %s in force", s.Node, w.Version, w.Resource), w.String(), s.String())
				break
			}
		}
	}
}

// nodeFaulted reports whether a fault targeted the node during the period or
// ended up to a second before it. The node may then have been unable to follow
// changes of the configuration.
func (c *checker) nodeFaulted(node string, begin, end Offset) bool {
	return slices.ContainsFunc(c.history.Faults, func(f Fault) bool {
		return f.Target == node && f.Begin <= end && begin <= f.End+time.Second
	})
}

// checkWrites checks that each version is replaced by at most one write.
func (c *checker) checkWrites() {
	type resourceVersion struct {
		resource string
		expected int64
	}
	accepted := map[resourceVersion]ConfigWrite{}
	for _, w := range c.history.ConfigWrites {
		if !w.Accepted {
			continue
		}
		key := resourceVersion{w.Resource, w.Expected}
		if other, ok := accepted[key]; ok {
			c.report("G10", fmt.Sprintf("two writes of %s over version %d were accepted", w.Resource, w.Expected), other.String(), w.String())
		}
		accepted[key] = w
	}
}
