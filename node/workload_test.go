package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// observed is what a caller was told about one call.
type observed struct {
	program string
	request api.CallRequest
	reply   program.Reply
	tries   int
}

// workload runs programs side by side: each a chain of model calls and
// postings. It keeps what every caller was told.
type workload struct {
	c    *cluster
	pace time.Duration // pause after each turn
	mu   sync.Mutex    // guards seen
	seen []observed
	wait sync.WaitGroup
}

// start runs the programs in the background. Program i enters the system
// through nodes in turn.
func (w *workload) start(programs, turns int) {
	for i := range programs {
		w.wait.Go(func() { w.run(fmt.Sprintf("w%d", i), i, turns) })
	}
}

func (w *workload) run(id string, seed, turns int) {
	start := api.StartRequest{ID: id, Class: "agent", DeadlineMS: 15_000}
	for try := range 100 {
		var reply program.Reply
		w.at(seed+try, func(s api.Service) { reply = s.Start(w.c.ctx, "acme", start) })
		if reply.Outcome.Code == outcome.Completed {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for turn := 1; turn <= turns; turn++ {
		request := modelCall(turn, fmt.Sprintf("%s turn %d", id, turn))
		if turn%2 == 0 {
			request = ledgerPost(turn, fmt.Sprintf(`{"program":%q,"turn":%d}`, id, turn))
		}
		request.DeadlineMS = 15_000
		last := w.call(id, seed+turn, request)
		if last.Outcome.Code != outcome.Completed && last.Outcome.Code != outcome.Unknown {
			return
		}
		time.Sleep(w.pace)
	}
}

// recorded counts the calls of a kind whose answers were given as recorded.
func (w *workload) recorded(kind program.Kind) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, o := range w.seen {
		if o.request.Kind == kind && o.reply.Recorded {
			count++
		}
	}
	return count
}

// postingRepeats bounds how often a posting whose outcome is unknown is asked
// for again. A final unknown outcome does not change.
const postingRepeats = 5

// call repeats a call while it was not run, and while its outcome is unknown,
// as a caller would: with the same request id, which runs no posting twice.
func (w *workload) call(id string, seed int, request api.CallRequest) program.Reply {
	var reply program.Reply
	for try := range 100 {
		w.at(seed+try, func(s api.Service) { reply = s.Call(w.c.ctx, "acme", id, request, nil) })
		w.mu.Lock()
		w.seen = append(w.seen, observed{program: id, request: request, reply: reply, tries: try + 1})
		w.mu.Unlock()
		again := reply.Outcome.Code == outcome.NotRun || reply.Outcome.Code == outcome.Unknown && (request.Kind == program.Model || try < postingRepeats)
		if !again {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reply
}

// at sends a request through a node that still runs. A node that is stopped as
// planned waits for the requests in progress, as the daemon's HTTP server does.
func (w *workload) at(seed int, send func(api.Service)) {
	w.c.mu.Lock()
	m := w.c.nodes[seed%len(w.c.nodes)]
	m.activeRequests.Add(1)
	w.c.mu.Unlock()
	defer m.activeRequests.Done()
	send(m.Service())
}

// outcomes counts what callers were told, by code and reason.
func (w *workload) outcomes() map[string]int {
	counts := map[string]int{}
	for _, o := range w.seen {
		counts[string(o.reply.Outcome.Code)+" "+string(o.reply.Outcome.Reason)]++
	}
	return counts
}

// effects returns how often each request took effect at the ledger.
func (c *cluster) effects() map[string]int {
	answer, err := http.Get(c.ledger.URL() + "/effects")
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	var list struct {
		Effects []service.Effect `json:"effects"`
	}
	Expect(json.NewDecoder(answer.Body).Decode(&list)).To(Succeed())
	counts := map[string]int{}
	for _, e := range list.Effects {
		counts[e.RequestID]++
	}
	return counts
}

// check compares what callers were told with the ledger and the histories.
func (w *workload) check() {
	effects := w.c.effects()
	told := map[string]outcome.Code{}
	for _, o := range w.seen {
		if o.request.Kind == program.Service {
			told[o.program+":"+o.request.RequestID] = o.reply.Outcome.Code
		}
	}
	for id, count := range effects {
		Expect(count).To(Equal(1), "request %s ran %d times", id, count)
	}
	for id, code := range told {
		switch code {
		case outcome.Completed:
			Expect(effects).To(HaveKeyWithValue(id, 1), "the effect of %s is lost", id)
		case outcome.NotRun:
			Expect(effects).NotTo(HaveKey(id), "%s was told not run, and ran", id)
		}
	}
	w.checkHistories()
}

// checkComplete checks that each program ran all its turns, so that a history
// that lost its last calls, or a caller that gave up, is seen.
func (w *workload) checkComplete(programs, turns int) {
	for i := range programs {
		id := fmt.Sprintf("w%d", i)
		var history program.Reply
		w.at(0, func(s api.Service) { history = s.History(w.c.ctx, "acme", id) })
		Expect(history.Info).NotTo(BeNil(), "history of %s: %+v", id, history.Outcome)
		Expect(history.Info.History).To(HaveLen(turns), "history of %s", id)
	}
}

func (w *workload) checkHistories() {
	answers := map[string]map[string]program.Reply{}
	for _, o := range w.seen {
		if o.reply.Outcome.Code == outcome.Completed {
			if answers[o.program] == nil {
				answers[o.program] = map[string]program.Reply{}
			}
			answers[o.program][o.request.RequestID] = o.reply
		}
	}
	for id, known := range answers {
		var history program.Reply
		w.at(0, func(s api.Service) { history = s.History(w.c.ctx, "acme", id) })
		Expect(history.Info).NotTo(BeNil(), "history of %s: %+v", id, history.Outcome)
		kept := map[string]program.Entry{}
		for i, entry := range history.Info.History {
			Expect(entry.Call.Order).To(Equal(i+1), "order of %s", id)
			kept[entry.Call.RequestID] = entry
		}
		for request, reply := range known {
			if reply.Recorded {
				Expect(string(kept[request].Answer)).To(Equal(string(reply.Answer)), "answer of %s %s", id, request)
			}
		}
		account := history.Info.Account
		Expect(account.Spent + account.Reserved).To(BeNumerically("<=", account.Limit))
	}
}
