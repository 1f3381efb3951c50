package explain

import (
	"fmt"
	"regexp"
)

// The reasons of refusals while all servers are full, with the numbers in them.
var (
	noSlotReason      = regexp.MustCompile(`^no slot is free for it in time, (\d+) calls wait`)
	serversFullReason = regexp.MustCompile(`^model servers are full \(([\d.]+)\)(?: and calls wait for (\d+) ms)?, programs under way go first`)
	limitedReason     = regexp.MustCompile(`^backend servers name limits and first events take ([\d.]+) times their objective, programs under way go first`)
)

// fullCause explains a refusal because no server had a free slot. It reports false for
// other refusals.
func fullCause(lines []Line, end Line) (string, bool) {
	reason := end.text("reason")
	if m := noSlotReason.FindStringSubmatch(reason); m != nil {
		cause := fmt.Sprintf("No slot was free in time: the request had been at the front for %.0f ms, and %s calls waited for a slot", end.number("age_ms"), m[1])
		if unanswered, _ := lastOf(lines, "gateway: call not answered"); unanswered.number("tries") > 0 {
			cause += fmt.Sprintf("; full servers had refused it %.0f times", unanswered.number("tries"))
		}
		if end.flag("starts_program") {
			cause += "; it would have started a program"
		}
		return cause + ".", true
	}
	const notStarted = "programs under way go first, so the program was not started"
	if m := serversFullReason.FindStringSubmatch(reason); m != nil {
		cause := fmt.Sprintf("The front answered %.0f: model servers are full (%s) and %s; running calls took %s times the capacity of the servers",
			end.number("status"), m[1], notStarted, m[1])
		if m[2] != "" {
			cause += fmt.Sprintf(", and its calls would have waited for %s ms", m[2])
		}
		return cause + ".", true
	}
	if m := limitedReason.FindStringSubmatch(reason); m != nil {
		return fmt.Sprintf("The front answered %.0f: backend servers name limits and %s; first events took %s times their objective.",
			end.number("status"), notStarted, m[1]), true
	}
	return "", false
}
