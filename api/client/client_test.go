package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

// scriptedNode responds to the n-th request with the n-th step, and with the last
// step after that. It serves address lookups itself.
type scriptedNode struct {
	*httptest.Server
	mu      sync.Mutex
	steps   []step
	bodies  []api.CallBody
	lookups int
	second  string
}

type step func(w http.ResponseWriter)

func newNode(steps ...step) *scriptedNode {
	n := &scriptedNode{steps: steps}
	n.Server = httptest.NewServer(n)
	DeferCleanup(n.Close)
	return n
}

func (n *scriptedNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	if r.URL.Path == "/v1/address" {
		n.lookups++
		answer := api.Address{Address: n.URL, Second: n.second, MaxAgeMS: 60_000}
		n.mu.Unlock()
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	var body api.CallBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	n.bodies = append(n.bodies, body)
	next := n.steps[min(len(n.bodies), len(n.steps))-1]
	n.mu.Unlock()
	next(w)
}

func reply(status int, o outcome.Outcome, text string) step {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(api.CallReply{Outcome: o, Answer: api.Answer{Text: text}})
	}
}

// events sends server-sent events, each given as its type and its data. Then it
// breaks the connection unless the last event is done.
func events(lines ...string) step {
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, line := range lines {
			name, data, _ := strings.Cut(line, " ")
			_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
		}
		_ = http.NewResponseController(w).Flush()
		if !strings.HasPrefix(lines[len(lines)-1], "done") {
			panic(http.ErrAbortHandler)
		}
	}
}

func dropConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func chunk(attempt, offset int, text string) string {
	return fmt.Sprintf(`chunk {"attempt":%d,"offset":%d,"text":%q}`, attempt, offset, text)
}

func done(attempt, length int) string {
	return fmt.Sprintf(`done {"outcome":{"code":"completed"},"attempt":%d,"length":%d}`, attempt, length)
}

var (
	completed  = outcome.Outcome{Code: outcome.Completed}
	overloaded = outcome.NewNotRun(outcome.Overloaded, time.Millisecond)
)

var _ = Describe("Client", func() {
	body := api.CallBody{CallRequest: api.CallRequest{
		RequestID: "r1", Order: 1, Kind: program.Model, Messages: []program.Message{{Role: "user", Content: "hi"}},
		DeadlineMS: 10_000,
	}}
	short := body
	short.DeadlineMS = 150
	call := func(n *scriptedNode, b api.CallBody) client.Result {
		GinkgoHelper()
		result, err := client.New(client.Config{Nodes: []string{n.URL}}).Call(context.Background(), "p", b, nil)
		Expect(err).NotTo(HaveOccurred())
		return result
	}
	// stream returns the result and the text that a consumer of the stream has.
	stream := func(n *scriptedNode) (client.Result, string) {
		GinkgoHelper()
		shown := ""
		result, err := client.New(client.Config{Nodes: []string{n.URL}}).Call(context.Background(), "p", body,
			func(c program.Chunk) error {
				shown = shown[:c.Offset] + c.Text
				return nil
			})
		Expect(err).NotTo(HaveOccurred())
		return result, shown
	}

	It("caches one address for a root program and its descendants", func() {
		n := newNode(reply(200, completed, "a"))
		c := client.New(client.Config{Nodes: []string{n.URL}})
		for _, id := range []string{"p", "p", "p.1"} {
			_, err := c.Call(context.Background(), id, body, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(n.lookups).To(Equal(1))
	})

	It("uses the second address when the first refuses the connection", func() {
		unreachable := httptest.NewServer(nil)
		unreachable.Close()
		second := newNode(reply(200, completed, "from the second"))
		directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(api.Address{Address: unreachable.URL, Second: second.URL, MaxAgeMS: 60_000})
		}))
		DeferCleanup(directory.Close)
		c := client.New(client.Config{Nodes: []string{unreachable.URL, directory.URL}})
		result, err := c.Call(context.Background(), "p", body, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(result.Answer)).To(Equal("from the second"))
	})

	It("looks up addresses at another node when one knows none, without an unknown outcome", func() {
		unready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(503)
			_ = json.NewEncoder(w).Encode(api.CallReply{Outcome: outcome.NewNotRun(outcome.NoOwner, time.Second)})
		}))
		DeferCleanup(unready.Close)
		n := newNode(reply(200, completed, "a"))
		both := client.New(client.Config{Nodes: []string{unready.URL, n.URL}})
		for i := range 8 { // lookups begin at a random node
			_, err := both.Call(context.Background(), fmt.Sprint("p", i), body, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		result, err := client.New(client.Config{Nodes: []string{unready.URL}}).Call(context.Background(), "p", short, nil)
		Expect(err).To(MatchError(client.ErrUnreachable))
		Expect(result.Outcome.Code).NotTo(Equal(outcome.Unknown))
	})

	It("repeats a call after not_run with the same request id and a new address lookup", func() {
		n := newNode(reply(503, overloaded, ""), reply(503, overloaded, ""), reply(200, completed, "a"))
		result := call(n, body)
		Expect(result.Outcome).To(Equal(completed))
		Expect(result.Tries).To(Equal(3))
		Expect(n.bodies[2].RequestID).To(Equal("r1"))
		Expect(n.lookups).To(Equal(3))
	})

	It("returns not_run at the deadline if no try can have run", func() {
		late := outcome.NewNotRun(outcome.Overloaded, time.Hour)
		n := newNode(reply(503, late, ""))
		Expect(call(n, body).Outcome).To(Equal(late))
		Expect(n.bodies).To(HaveLen(1))
	})

	It("does not return not_run after a broken connection, because that try may have run", func() {
		n := newNode(dropConnection, reply(503, outcome.NewNotRun(outcome.Overloaded, time.Hour), ""))
		Expect(call(n, body).Outcome.Code).To(Equal(outcome.Unknown))
	})

	It("does not repeat a call that was rejected, failed or may have run", func() {
		for _, o := range []outcome.Outcome{{Code: outcome.Unknown}, {Code: outcome.OverBudget}, {Code: outcome.Failed}} {
			n := newNode(reply(502, o, ""))
			Expect(call(n, body).Outcome).To(Equal(o))
			Expect(n.bodies).To(HaveLen(1))
		}
	})

	It("resumes a broken stream where it broke off", func() {
		n := newNode(events(chunk(1, 0, "abc")), events(chunk(1, 3, "de"), done(1, 5)))
		result, shown := stream(n)
		Expect(n.bodies[1].Offset).To(Equal(3))
		Expect(n.bodies[1].Attempt).To(Equal(1))
		Expect(string(result.Answer)).To(Equal("abcde"))
		Expect(shown).To(Equal("abcde"))
	})

	It("discards the answer of the earlier attempt after a restart", func() {
		n := newNode(events(chunk(1, 0, "abc")), events(`restart {"attempt":2}`, chunk(2, 0, "xy"), done(2, 2)))
		result, shown := stream(n)
		Expect(string(result.Answer)).To(Equal("xy"))
		Expect(shown).To(Equal("xy"))
	})

	DescribeTable("resumes a stream that is incomplete",
		func(first ...string) {
			n := newNode(events(first...), events(`restart {"attempt":2}`, chunk(2, 0, "abcde"), done(2, 5)))
			result, shown := stream(n)
			Expect(string(result.Answer)).To(Equal("abcde"))
			Expect(shown).To(Equal("abcde"))
			Expect(n.bodies).To(HaveLen(2))
		},
		Entry("a gap", chunk(1, 0, "ab"), chunk(1, 3, "d"), done(1, 5)),
		Entry("parts of two attempts without restart", chunk(1, 0, "ab"), chunk(2, 2, "zzz"), done(2, 5)),
		Entry("a done event with a greater length", chunk(1, 0, "ab"), done(1, 5)),
		Entry("a done event of another attempt", chunk(1, 0, "abcde"), done(2, 5)),
		Entry("a truncated chunk", chunk(1, 0, "ab"), "chunk {"),
	)

	It("passes on repeated parts only once", func() {
		_, shown := stream(newNode(events(chunk(1, 0, "abc"), chunk(1, 1, "bcd"), chunk(1, 0, "ab"), done(1, 4))))
		Expect(shown).To(Equal("abcd"))
	})

	It("stops when the consumer of the stream fails", func() {
		failure := errors.New("disk full")
		n := newNode(events(chunk(1, 0, "abc"), done(1, 3)))
		_, err := client.New(client.Config{Nodes: []string{n.URL}}).Call(context.Background(), "p", body,
			func(program.Chunk) error { return failure })
		Expect(err).To(MatchError(failure))
		Expect(n.bodies).To(HaveLen(1))
	})

	It("returns typed errors if no node responds", func() {
		n := newNode(reply(200, completed, ""))
		n.Close()
		c := client.New(client.Config{Nodes: []string{n.URL}})
		_, err := c.Call(context.Background(), "p", short, nil)
		Expect(err).To(MatchError(client.ErrUnreachable))
		_, err = c.Resources().Get(context.Background(), "pool", "a")
		Expect(err).To(MatchError(api.ErrUnavailable))
	})

	DescribeTable("decodes errors of resource requests into typed errors",
		func(failure api.ResourceErrorReply, expected error) {
			n := newNode(func(w http.ResponseWriter) {
				w.WriteHeader(api.HTTPStatus(failure.Outcome))
				_ = json.NewEncoder(w).Encode(failure)
			})
			_, err := client.New(client.Config{Nodes: []string{n.URL}}).Resources().
				Put(context.Background(), "pool", "a", json.RawMessage("{}"), 1)
			Expect(err).To(MatchError(expected))
		},
		Entry(nil, api.ResourceErrorReply{Outcome: outcome.NewInvalid(outcome.Conflict, ""), CurrentVersion: 8}, &api.ConflictError{CurrentVersion: 8}),
		Entry(nil, api.ResourceErrorReply{Outcome: outcome.NewInvalid(api.UnknownResource, "")}, api.ErrNotFound),
		Entry(nil, api.ResourceErrorReply{Outcome: outcome.NewInvalid(api.Unauthorized, "")}, client.ErrUnauthorized),
		Entry(nil, api.ResourceErrorReply{Outcome: outcome.NewInvalid(outcome.Malformed, "")}, api.ErrInvalid),
		Entry(nil, api.ResourceErrorReply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: api.StoreUnavailable}}, api.ErrUnavailable),
	)
})
