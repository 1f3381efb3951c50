package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

// turnsInMemory is a fake client of turn stores that keeps turns and facts.
type turnsInMemory struct {
	*fakeTurnStore
	mu    sync.Mutex
	turns map[string]*turnpb.Turn
	// refuses says which turns cannot be stored; nil for none.
	refuses func(id string) bool
	// delay is how long a turn takes to be stored.
	delay time.Duration
}

func (t *turnsInMemory) Do(ctx context.Context, op turnstore.Operation) turnstore.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range op.Records {
		turn := record.GetTurn()
		if turn == nil {
			continue
		}
		if t.refuses != nil && t.refuses(turn.Id) {
			return turnstore.Result{Verdict: turnstore.Uncertain}
		}
		time.Sleep(t.delay)
		if t.turns[turn.Id] == nil {
			t.turns[turn.Id] = turn
		}
	}
	t.facts.put(op.Records, make(chan turnstore.Result, 1))
	result := turnstore.Result{Verdict: turnstore.Stored, Fact: t.facts.get(op.FactKey)}
	for id := op.Chain; id != ""; id = t.turns[id].Previous {
		if t.turns[id] == nil {
			return turnstore.Result{Verdict: turnstore.TurnMissing, MissingTurn: id}
		}
		result.Conversation = append([][]byte{t.turns[id].Content}, result.Conversation...)
		if result.Organisation == "" {
			result.Organisation = t.turns[id].Organisation
		}
	}
	return result
}

// takenUpRoute is a route whose turns are kept and whose streams may be resumed.
var takenUpRoute = route.Route{Kind: route.Streaming, Resumable: true, RetainTurns: true, MaxBackendServers: 1}

// takenUpEvents is the number of events of a turn's stream.
const takenUpEvents = 6

// takenUpFixture has fronts that share their turn stores, and one backend server. It
// breaks off each response after as many events as the request's path says.
type takenUpFixture struct {
	turns  *turnsInMemory
	bodies sync.Map // of the requests that ran, by id
	runs   atomic.Int64
}

// front returns one more front.
func (f *takenUpFixture) front(r route.Route) *fixture {
	s := newFixture(r, f.handle)
	if f.turns.fakeTurnStore == nil {
		f.turns.fakeTurnStore = s.turnStore
	}
	s.store = f.turns
	s.startGateway(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8})
	return s
}

func (f *takenUpFixture) handle(w http.ResponseWriter, r *http.Request) {
	f.runs.Add(1)
	id := r.Header.Get(idHeader)
	body, _ := io.ReadAll(r.Body)
	f.bodies.Store(id, string(body))
	var last, count int
	_, _ = fmt.Sscan(r.Header.Get(resumeHeader), &last)
	_, _ = fmt.Sscanf(r.URL.Path, "/r/%d", &count)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= min(last+count, takenUpEvents); event++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, id, event)
		w.(http.Flusher).Flush()
	}
	if last+count < takenUpEvents {
		panic(http.ErrAbortHandler)
	}
}

// turnClient is a client that takes its turn up after each break.
type turnClient struct {
	first, last string // the attempt that brought the first event, and the last event
	output      string // the data of the events
}

// try sends an attempt, whose response ends after count events. It returns the status, and
// whether the response is whole.
func (c *turnClient) try(s *fixture, id string, count int, header ...string) (status int, whole bool) {
	GinkgoHelper()
	header = append(header, idHeader, id, "Test-Program", "p", "Test-Budget", "1000")
	if c.last != "" {
		header = append(header, resumeHeader, c.last, resumesHeader, c.first)
	}
	reply, err := s.send(context.Background(), fmt.Sprintf("/r/%d", count), header...)
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if reply.StatusCode != http.StatusOK {
		return reply.StatusCode, false
	}
	for _, event := range strings.Split(string(body), "\n\n") {
		head, data, found := strings.Cut(event, "\ndata: ")
		if !found {
			continue
		}
		if c.first == "" {
			c.first = id
		}
		c.last, c.output = strings.TrimPrefix(head, "id: "), c.output+data+"\n"
	}
	return reply.StatusCode, err == nil
}

// expectNext expects that a turn that continues the given one runs with the client's
// view of the conversation.
func (f *takenUpFixture) expectNext(s *fixture, c *turnClient, previous string) {
	GinkgoHelper()
	status, _, _ := s.post(fmt.Sprintf("/r/%d", takenUpEvents), idHeader, "next", "Test-Previous", previous, "Test-Program", "p", "Test-Budget", "1000")
	Expect(status).To(Equal(http.StatusOK))
	body, ran := f.bodies.Load("next")
	Expect(ran).To(BeTrue())
	Expect(body).To(Equal("input" + c.output + "input"))
}

var _ = Describe("A turn whose stream is taken up", func() {
	var f *takenUpFixture
	BeforeEach(func() { f = &takenUpFixture{turns: &turnsInMemory{turns: map[string]*turnpb.Turn{}}} })
	anyFront := func() *fixture { return f.front(takenUpRoute) }

	// Guards against a turn of which only the events after the break are stored, so that
	// the next turn runs with a conversation that never took place (UNASKED, review/3).
	It("is stored whole at another front", func() {
		c := &turnClient{}
		_, whole := c.try(anyFront(), "one", 2)
		Expect(whole).To(BeFalse())
		second := anyFront()
		_, whole = c.try(second, "two", takenUpEvents)
		Expect(whole).To(BeTrue())
		Expect(c.output).To(Equal("one-1\none-2\ntwo-3\ntwo-4\ntwo-5\ntwo-6\n"))
		Expect(f.runs.Load()).To(BeEquivalentTo(2))
		f.expectNext(second, c, "two")
	})

	It("is stored whole at the front that began it", func() {
		c, s := &turnClient{}, anyFront()
		c.try(s, "one", 3)
		c.try(s, "two", takenUpEvents)
		f.expectNext(s, c, "two")
	})

	// Guards against a second take-up that finds only the events of the first attempt, or
	// those which that attempt made beside the one that took the stream up.
	It("is stored whole when it is taken up twice, also after the first attempt went on by itself", func() {
		c := &turnClient{}
		first, second, third := anyFront(), anyFront(), anyFront()
		c.try(first, "one", 4)
		c.last, c.output = "2", "one-1\none-2\n" // events 3 and 4 were lost on the way
		c.try(second, "two", 3)
		Expect(c.last).To(Equal("5"))
		_, whole := c.try(third, "three", takenUpEvents)
		Expect(whole).To(BeTrue())
		Expect(c.output).To(Equal("one-1\none-2\ntwo-3\ntwo-4\ntwo-5\nthree-6\n"))
		f.expectNext(third, c, "three")
	})

	It("is stored whole when an attempt that took it up brought no event", func() {
		c, s := &turnClient{}, anyFront()
		c.try(s, "one", 2)
		c.try(anyFront(), "two", 0)
		_, whole := c.try(anyFront(), "three", takenUpEvents)
		Expect(whole).To(BeTrue())
		f.expectNext(s, c, "three")
	})

	It("is stored whole when the first attempt had been completed", func() {
		c, s := &turnClient{}, anyFront()
		c.try(s, "one", takenUpEvents)
		c.last, c.output = "4", "one-1\none-2\none-3\none-4\n" // its client left before its end
		c.try(anyFront(), "two", takenUpEvents)
		f.expectNext(s, c, "two")
		again := &turnClient{first: "one", last: "6", output: c.output}
		_, whole := again.try(s, "three", takenUpEvents)
		Expect(whole).To(BeTrue(), "the client lacks only the end")
	})

	// Guards against a turn that is stored with other events than those that the client
	// has, because some were not stored or the client names one that it was not sent.
	It("is refused as not run when the events that the client has are not known", func() {
		c := &turnClient{}
		f.turns.refuses = func(id string) bool { return strings.HasSuffix(id, "2") && strings.HasPrefix(id, "piece") }
		_, _ = c.try(anyFront(), "one", 4)
		Expect(c.last).To(Equal("4"), "the stream goes on although an event is not stored")
		for id, last := range map[string]string{"two": "4", "three": "2", "four": "77"} {
			c.last = last
			status, _ := c.try(anyFront(), id, takenUpEvents)
			Expect(status).To(Equal(http.StatusServiceUnavailable), last)
		}
		Expect(f.runs.Load()).To(BeEquivalentTo(1))
		c.last, c.output = "1", "one-1\n"
		status, whole := c.try(anyFront(), "five", takenUpEvents)
		Expect(status).To(Equal(http.StatusOK), "the events up to this one are known")
		Expect(whole).To(BeTrue())
	})

	// Guards against a turn that cannot be taken up any more because the copy set changed
	// while one of its events was stored (first runs of review/3 with the change).
	It("is stored whole when the stores did not take an event at first", func() {
		c, tries := &turnClient{}, 0
		f.turns.refuses = func(id string) bool {
			if !strings.HasPrefix(id, "piece") || !strings.HasSuffix(id, "2") {
				return false
			}
			tries++
			return tries < 3
		}
		c.try(anyFront(), "one", 3)
		s := anyFront()
		_, whole := c.try(s, "two", takenUpEvents)
		Expect(whole).To(BeTrue())
		Expect(tries).To(Equal(3))
		f.expectNext(s, c, "two")
	})

	// Guards against two attempts that both take the turn up at the same moment.
	It("is refused as not run when another attempt has claimed it meanwhile", func() {
		c := &turnClient{}
		c.try(anyFront(), "one", 2)
		key := "turn-stream/one"
		newer := f.turns.facts.get(key)
		newer.Version = 1 << 60
		f.turns.facts.newest = &newer // is read by whoever stores a claim
		status, _ := c.try(anyFront(), "two", takenUpEvents)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an event that the client has and no other front can find.
	It("sends no event before it is stored", func() {
		f.turns.delay = pieceDelay
		c, started := &turnClient{}, time.Now()
		_, whole := c.try(anyFront(), "one", takenUpEvents)
		Expect(whole).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically(">", takenUpEvents*pieceDelay))
	})

	// Guards against a front of a release that stores such a turn in part.
	It("is not found by fronts of the release before", func() {
		c := &turnClient{}
		c.try(anyFront(), "one", 2)
		Expect(f.turns.facts.get("stream/one").Version).To(BeZero())
	})

	// Guards against a turn that is stored without its first events on a route whose
	// streams cannot be taken up.
	It("is refused as not run on a route whose streams cannot be taken up", func() {
		r := takenUpRoute
		r.Resumable = false
		c := &turnClient{first: "one", last: "2"}
		status, _ := c.try(f.front(r), "two", takenUpEvents)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.runs.Load()).To(BeZero())
	})
})

// pieceDelay is how long an event takes to be stored in a spec.
const pieceDelay = 20 * time.Millisecond
