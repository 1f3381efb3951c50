package explain

import (
	"fmt"
	"strings"
	"time"
)

// contextWindow is how long before the end of a request the state of its front
// may explain it.
const contextWindow = 2 * time.Second

// cause returns why a request ended, from its lines in the order of time. It
// reports false if they do not say.
func (c *Collector) cause(lines []Line) (string, bool) {
	last := lines[len(lines)-1]
	for i := len(lines) - 1; i >= 0; i-- {
		line := lines[i]
		switch line.Message {
		case "gateway: answered":
			return fmt.Sprintf("The answer of backend server %s was passed on with status %.0f.", backendOf(lines), line.number("status")), true
		case "gateway: stream ended":
			return streamCause(lines, line)
		case "gateway: answer broken off":
			return c.brokenCause(lines, line), true
		case "gateway: client left":
			return fmt.Sprintf("The client left %.0f ms after the request arrived, %s.", line.number("age_ms"), line.text("when")), true
		case "gateway: reading the request body failed":
			return "The request's body could not be read: " + line.text("error") + ".", true
		case "gateway: request ended without a backend server's answer":
			return c.ownAnswerCause(lines, line)
		}
	}
	if end, ok := c.processEnd(last); ok {
		return fmt.Sprintf("The process on %s ended while it served the request: it has %q at %s.", last.Host, end.Message, clock(end.Time)), true
	}
	return "The logs have no line about the end of the request.", false
}

func streamCause(lines []Line, end Line) (string, bool) {
	backend := backendOf(lines)
	if end.flag("retained") && !end.flag("stored") {
		return fmt.Sprintf("The turn from backend server %s was not stored: %.0f stores had synced it.", backend, end.number("synced")), true
	}
	return fmt.Sprintf("The stream of backend server %s was passed on to its end.", backend), true
}

// brokenCause explains an answer that was cut off in the middle.
func (c *Collector) brokenCause(lines []Line, end Line) string {
	reason := end.text("reason")
	if reason == "its turn could not be stored" {
		return "The answer was cut off because its turn could not be stored; " + c.storesAt(end) + "."
	}
	if failed, ok := lastOf(lines, "gateway: attempt failed"); ok {
		return fmt.Sprintf("The stream of backend server %s broke off after %.0f events: %s.", failed.text("backend"), failed.number("events"), failed.text("reason"))
	}
	return fmt.Sprintf("The answer of backend server %s was cut off: %s.", backendOf(lines), reason)
}

// ownAnswerCause explains an answer of the front itself.
func (c *Collector) ownAnswerCause(lines []Line, end Line) (string, bool) {
	reason := end.text("reason")
	if cause, ok := fullCause(lines, end); ok {
		return cause, true
	}
	begun, _ := lastOf(lines, "gateway: turn begun")
	switch status := int(end.number("status")); {
	case status == 402:
		return fmt.Sprintf("The program's budget of %.0f tokens has no room for %.0f more: %.0f are spent and %.0f reserved.",
			begun.number("budget"), begun.number("most"), begun.number("spent"), begun.number("reserved")), true
	case status == 401:
		return fmt.Sprintf("The front answered 401: %s; no organisation of configuration %.0f has the key that the request came with.", reason, end.number("config")), true
	case status == 429:
		return fmt.Sprintf("Organisation %s was over its quota: %s.", end.text("organisation"), reason), true
	case reason == "no such turn" && begun.text("turn_of") != "":
		return fmt.Sprintf("The turn %s that the request of organisation %s continues belongs to organisation %s.",
			begun.text("previous"), end.text("organisation"), begun.text("turn_of")), true
	case reason == "no such turn":
		return fmt.Sprintf("No store has the turn %s that the request continues.", begun.text("previous")), true
	case begun.text("verdict") == "uncertain" && begun.text("missing_turn") != "":
		return fmt.Sprintf("No store that answered has the turn %s, which precedes the turn %s that the request continues; %s.",
			begun.text("missing_turn"), begun.text("previous"), c.storesAt(end)), true
	case reason == "too few turn stores answered" && begun.number("copy_set") == 0:
		return fmt.Sprintf("The front on %s counted no answer of a store in %.0f ms, so it was behind itself; %s.",
			end.Host, begun.number("took_ms"), c.storesAt(end)), true
	case reason == "too few turn stores answered":
		return fmt.Sprintf("%.0f stores had synced the reservation under copy set %.0f; %s.", begun.number("synced"), begun.number("copy_set"), c.storesAt(end)), true
	case reason == "too few turn stores are known":
		return "The front could not store turns; " + c.storesAt(end) + ".", true
	case status == 504:
		if attempt, ok := lastOf(lines, "gateway: attempt ended with its request"); ok {
			return fmt.Sprintf("Backend server %s had the call for %.0f ms when the deadline passed.", attempt.text("backend"), attempt.number("took_ms")), true
		}
		return fmt.Sprintf("The deadline passed while backend server %s had the call.", backendOf(lines)), true
	case status == 502:
		if failed, ok := lastOf(lines, "gateway: attempt failed"); ok {
			return fmt.Sprintf("Backend server %s may have run the call and gave no complete answer: %s.", failed.text("backend"), failed.text("reason")), true
		}
		return "No backend server gave a complete answer: " + reason + ".", true
	}
	return fmt.Sprintf("The front answered %.0f: %s.", end.number("status"), reason), reason != ""
}

// storesAt returns what the front knew of the stores when a line was written.
func (c *Collector) storesAt(at Line) string {
	lost := map[string]bool{}
	serving := ""
	for _, line := range c.hosts {
		if line.Host != at.Host || line.Time.After(at.Time) {
			continue
		}
		switch line.Message {
		case "turnstore: store lost":
			lost[line.text("address")] = true
		case "turnstore: store regained":
			delete(lost, line.text("address"))
		case "turnstore: serving changed":
			serving = ""
			if !line.flag("serving") {
				serving = fmt.Sprintf(", which reached %.0f of a majority of %.0f", line.number("reached"), line.number("majority"))
			}
		case "role: started":
			lost, serving = map[string]bool{}, ""
			if at.Time.Sub(line.Time) < contextWindow {
				serving = fmt.Sprintf(", which had started %d ms before", at.Time.Sub(line.Time).Milliseconds())
			}
		}
	}
	return fmt.Sprintf("%d stores were lost to the front%s", len(lost), serving)
}

// processEnd returns the line that shows that a process ended after the last line
// of a request.
func (c *Collector) processEnd(last Line) (Line, bool) {
	for _, line := range c.hosts {
		if line.Host == last.Host && line.Time.After(last.Time) && (line.Message == "role: started" || line.Message == "role: stop requested") {
			return line, true
		}
	}
	return Line{}, false
}

// backendOf returns the backend server that got the call last.
func backendOf(lines []Line) string {
	if offered, ok := lastOf(lines, "gateway: call offered"); ok {
		return offered.text("backend")
	}
	return "(not in the logs)"
}

func lastOf(lines []Line, message string) (Line, bool) {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message {
			return lines[i], true
		}
	}
	return Line{}, false
}

// clock formats the time of day of a line.
func clock(at time.Time) string { return strings.TrimRight(at.Format("15:04:05.000"), "0") }
