package roles

import (
	"fmt"
	"net/http"
	"strings"

	"dogwoodline.example/emulator/usersplatform"
)

// sent is one attempt of a client and its answer.
type sent struct {
	id       string
	program  string
	previous string // of a turn: the turn that it continues, which was answered whole
	prompt   string // what the backend server must get
	turn     bool
	budget   int
	status   int
	body     string
	err      error
}

func wantedEvents(id string) []string {
	var events []string
	for i := range eventCount {
		events = append(events, fmt.Sprintf("%s-%d", id, i+1))
	}
	return events
}

// events returns the data of the events that arrived.
func (s sent) events() []string {
	var events []string
	for line := range strings.SplitSeq(s.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, data)
		}
	}
	return events
}

// whole reports whether the answer ended as a complete success.
func (s sent) whole() bool { return s.err == nil && s.status == http.StatusOK }

// promised reports whether the answer says that the request has not run.
func (s sent) promised() bool {
	return s.err == nil && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests ||
		s.status == http.StatusPaymentRequired || s.status == http.StatusNotFound)
}

// history is all that clients saw.
type history []sent

// check compares what clients saw with what the backend server ran.
func (h history) check(runs []usersplatform.Run) Result {
	var report Result
	violate := func(format string, arguments ...any) {
		report.Violations = append(report.Violations, fmt.Sprintf(format, arguments...))
	}
	byID := map[string]sent{}
	tokens, budgets := map[string]int{}, map[string]int{}
	for _, s := range h {
		byID[s.id] = s
		switch {
		case s.whole():
			report.Answered++
			s.checkAnswer(violate)
		case s.promised():
			report.Refused++
		default:
			report.Broken++
		}
		if s.err == nil && s.status == http.StatusNotFound {
			violate("%s was answered 404, although turn %q was answered whole", s.id, s.previous)
		}
		if s.turn {
			tokens[s.program] += len(s.events()) * tokensPerTurn / eventCount
			budgets[s.program] = s.budget
		}
	}
	for program, count := range tokens {
		if count > budgets[program]+tokensPerTurn {
			violate("program %s got %d tokens of %d", program, count, budgets[program])
		}
	}
	ran := map[string]bool{}
	for _, run := range runs {
		s, known := byID[run.RequestID]
		switch {
		case !known:
			continue // its client was stopped before it saw an answer
		case ran[run.RequestID]:
			violate("%s ran twice", run.RequestID)
		case s.promised():
			violate("%s ran and was answered %d", run.RequestID, s.status)
		case run.Body != s.prompt:
			violate("%s ran with the wrong prompt: %q, wanted %q", run.RequestID, run.Body, s.prompt)
		}
		ran[run.RequestID] = true
	}
	return report
}

// checkAnswer checks that a complete success is the request's own whole answer.
func (s sent) checkAnswer(violate func(format string, arguments ...any)) {
	if !s.turn {
		if s.body != "done "+s.id {
			violate("%s got %q", s.id, s.body)
		}
		return
	}
	if got, wanted := strings.Join(s.events(), " "), strings.Join(wantedEvents(s.id), " "); got != wanted {
		violate("%s got the events %q as a whole answer", s.id, got)
	}
}
