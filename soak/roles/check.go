package roles

import (
	"fmt"
	"net/http"
	"strings"

	"dogwoodline.example/emulator/usersplatform"
)

// attempt is one request that a client sent, with its answer. A client that
// sends a request again makes a new attempt with a new id.
type attempt struct {
	id       string
	program  string
	previous string // of a turn: the id of the completely answered turn that it continues
	prompt   string // the body that the backend server must receive
	turn     bool
	after    int // of a turn that the attempt takes up: the number of events before
	budget   int
	// organisation is that of the client's key, and foreign says that the turn before belongs
	// to another one.
	organisation string
	foreign      bool
	status       int
	body         string
	err          error
}

// expectedEvents returns the data of the events of a complete answer.
func expectedEvents(id string) []string {
	var events []string
	for i := range eventCount {
		events = append(events, fmt.Sprintf("%s-%d", id, i+1))
	}
	return events
}

// events returns the data of the server-sent events in the received body.
func (a attempt) events() []string {
	var events []string
	for line := range strings.SplitSeq(a.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, data)
		}
	}
	return events
}

// completeEvents is events without one that broke off.
func (a attempt) completeEvents() []string {
	end := strings.LastIndex(a.body, "\n\n")
	if a.status != http.StatusOK || end < 0 {
		return nil
	}
	a.body = a.body[:end]
	return a.events()
}

// succeeded reports whether the answer had status 200 and was read to its end.
func (a attempt) succeeded() bool { return a.err == nil && a.status == http.StatusOK }

// saysNotRun reports whether the status of the answer guarantees that the
// request has not run.
func (a attempt) saysNotRun() bool {
	return a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
		a.status == http.StatusPaymentRequired || a.status == http.StatusNotFound)
}

// history is the list of all attempts of all clients.
type history []attempt

// check compares the answers that clients received with the requests that the
// backend server ran.
func (h history) check(runs []usersplatform.Run) Result {
	var result Result
	addViolation := func(format string, arguments ...any) {
		result.Violations = append(result.Violations, fmt.Sprintf(format, arguments...))
	}
	byID := map[string]attempt{}
	tokens, budgets := map[string]int{}, map[string]int{}
	for _, a := range h {
		byID[a.id] = a
		switch {
		case a.succeeded():
			result.Answered++
			a.checkAnswer(addViolation)
		case a.saysNotRun():
			result.Refused++
		default:
			result.BrokenOff++
		}
		if a.foreign {
			if a.succeeded() {
				addViolation("%s continued turn %q of another organisation", a.id, a.previous)
			}
			continue
		}
		if a.err == nil && a.status == http.StatusTooManyRequests {
			addViolation("%s", without429(a.id))
		}
		if a.err == nil && a.status == http.StatusUnauthorized {
			addViolation("%s was answered 401, although its key is in force", a.id)
		}
		if a.err == nil && a.status == http.StatusNotFound {
			addViolation("%s was answered 404, although turn %q was answered completely", a.id, a.previous)
		}
		if a.turn {
			tokens[a.program] += len(a.events()) * tokensPerTurn / eventCount
			budgets[a.program] = a.budget
		}
	}
	for program, count := range tokens {
		if count > budgets[program]+tokensPerTurn {
			addViolation("program %s got %d tokens, budget %d", program, count, budgets[program])
		}
	}
	ran := map[string]bool{}
	for _, run := range runs {
		a, known := byID[run.RequestID]
		switch {
		case !known:
			continue // the client was stopped before it recorded the attempt
		case ran[run.RequestID]:
			addViolation("%s ran twice", run.RequestID)
		case a.foreign:
			addViolation("%s ran, although the turn before belongs to another organisation", run.RequestID)
		case run.HasKey || run.Organisation != a.organisation:
			addViolation("%s ran for organisation %q, want %q; with its key: %t", run.RequestID, run.Organisation, a.organisation, run.HasKey)
		case a.saysNotRun():
			addViolation("%s ran and was answered %d", run.RequestID, a.status)
		case run.Body != a.prompt:
			addViolation("%s ran with the wrong prompt: %q, want %q", run.RequestID, run.Body, a.prompt)
		}
		ran[run.RequestID] = true
	}
	return result
}

// checkAnswer checks that a successful answer is complete and belongs to this
// request.
func (a attempt) checkAnswer(addViolation func(format string, arguments ...any)) {
	if !a.turn {
		if a.body != "done "+a.id {
			addViolation("%s got %q", a.id, a.body)
		}
		return
	}
	if got, want := strings.Join(a.events(), " "), strings.Join(expectedEvents(a.id)[a.after:], " "); got != want {
		addViolation("%s got the events %q as a complete answer", a.id, got)
	}
}
