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

// observedCall is one attempt of a caller at a call, with the reply.
type observedCall struct {
	program string
	request api.CallRequest
	reply   program.Reply
	tries   int
}

// workload runs programs concurrently, each of which makes model calls and
// postings in turn. It records every reply.
type workload struct {
	c        *cluster
	pace     time.Duration // pause after each turn
	mu       sync.Mutex    // guards observed
	observed []observedCall
	wait     sync.WaitGroup
}

// start runs the programs in the background. Each program sends its requests
// through the nodes in rotation, and program i starts with the i-th one.
func (w *workload) start(programs, turns int) {
	for i := range programs {
		w.wait.Go(func() { w.run(fmt.Sprintf("w%d", i), i, turns) })
	}
}

func (w *workload) run(id string, seed, turns int) {
	start := api.StartRequest{ID: id, Class: "agent", DeadlineMS: 15_000}
	for try := range 100 {
		var reply program.Reply
		w.withNode(seed+try, func(s api.Service) { reply = s.Start(w.c.ctx, "acme", start) })
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

// recorded returns the number of replies to calls of a kind that reported the
// answer as recorded.
func (w *workload) recorded(kind program.Kind) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, o := range w.observed {
		if o.request.Kind == kind && o.reply.Recorded {
			count++
		}
	}
	return count
}

// postingRepeats bounds how often a posting whose outcome is unknown is repeated.
// The bound is needed because an unknown outcome may be final.
const postingRepeats = 5

// call makes a call and, like a real caller, repeats it with the same request id
// while it was not run or its outcome is unknown. The request id keeps a posting
// from running twice.
func (w *workload) call(id string, seed int, request api.CallRequest) program.Reply {
	var reply program.Reply
	for try := range 100 {
		w.withNode(seed+try, func(s api.Service) { reply = s.Call(w.c.ctx, "acme", id, request, nil) })
		w.mu.Lock()
		w.observed = append(w.observed, observedCall{program: id, request: request, reply: reply, tries: try + 1})
		w.mu.Unlock()
		retry := reply.Outcome.Code == outcome.NotRun || reply.Outcome.Code == outcome.Unknown && (request.Kind == program.Model || try < postingRepeats)
		if !retry {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reply
}

// withNode calls send with the API of a node that has not been removed. A planned
// stop of a node waits for such requests, as the HTTP server of the daemon does.
func (w *workload) withNode(seed int, send func(api.Service)) {
	w.c.mu.Lock()
	n := w.c.nodes[seed%len(w.c.nodes)]
	n.activeRequests.Add(1)
	w.c.mu.Unlock()
	defer n.activeRequests.Done()
	send(n.Service())
}

// outcomes returns the number of replies by outcome code and reason.
func (w *workload) outcomes() map[string]int {
	counts := map[string]int{}
	for _, o := range w.observed {
		counts[string(o.reply.Outcome.Code)+" "+string(o.reply.Outcome.Reason)]++
	}
	return counts
}

// effects returns how often the ledger executed each request, by request id.
func (c *cluster) effects() map[string]int {
	response, err := http.Get(c.ledger.URL() + "/effects")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var list struct {
		Effects []service.Effect `json:"effects"`
	}
	Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed())
	counts := map[string]int{}
	for _, e := range list.Effects {
		counts[e.RequestID]++
	}
	return counts
}

// check verifies the recorded replies against the effects at the ledger and the
// histories of the programs.
func (w *workload) check() {
	effects := w.c.effects()
	reportedCodes := map[string]outcome.Code{}
	for _, o := range w.observed {
		if o.request.Kind == program.Service {
			reportedCodes[o.program+":"+o.request.RequestID] = o.reply.Outcome.Code
		}
	}
	for id, count := range effects {
		Expect(count).To(Equal(1), "request %s ran %d times", id, count)
	}
	for id, code := range reportedCodes {
		switch code {
		case outcome.Completed:
			Expect(effects).To(HaveKeyWithValue(id, 1), "request %s was reported as completed but had no effect", id)
		case outcome.NotRun:
			Expect(effects).NotTo(HaveKey(id), "request %s was reported as not run but ran", id)
		}
	}
	w.checkHistories()
}

// checkComplete verifies that each program ran all its turns. It detects a history
// that lost its last calls, and a caller that gave up.
func (w *workload) checkComplete(programs, turns int) {
	for i := range programs {
		id := fmt.Sprintf("w%d", i)
		var history program.Reply
		w.withNode(0, func(s api.Service) { history = s.History(w.c.ctx, "acme", id) })
		Expect(history.Info).NotTo(BeNil(), "history of %s: %+v", id, history.Outcome)
		Expect(history.Info.History).To(HaveLen(turns), "history of %s", id)
	}
}

// checkHistories verifies that each history is in order and within budget, and
// holds the answers that were reported as recorded.
func (w *workload) checkHistories() {
	answers := map[string]map[string]program.Reply{}
	for _, o := range w.observed {
		if o.reply.Outcome.Code == outcome.Completed {
			if answers[o.program] == nil {
				answers[o.program] = map[string]program.Reply{}
			}
			answers[o.program][o.request.RequestID] = o.reply
		}
	}
	for id, completed := range answers {
		var history program.Reply
		w.withNode(0, func(s api.Service) { history = s.History(w.c.ctx, "acme", id) })
		Expect(history.Info).NotTo(BeNil(), "history of %s: %+v", id, history.Outcome)
		byRequestID := map[string]program.Entry{}
		for i, entry := range history.Info.History {
			Expect(entry.Call.Order).To(Equal(i+1), "order of %s", id)
			byRequestID[entry.Call.RequestID] = entry
		}
		for request, reply := range completed {
			if reply.Recorded {
				Expect(string(byRequestID[request].Answer)).To(Equal(string(reply.Answer)), "answer of %s %s", id, request)
			}
		}
		account := history.Info.Account
		Expect(account.Spent + account.Reserved).To(BeNumerically("<=", account.Limit))
	}
}
