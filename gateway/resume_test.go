package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
)

// signedHead begins a response to the request of a test.
const signedHead = "HTTP/1.1 200 OK\r\nTest-Id: req-1\r\nTest-Signature: s\r\n"

// eventStreamHead begins a stream that ends with its connection.
const eventStreamHead = signedHead + "Content-Type: text/event-stream\r\n\r\n"

// brokenStream sends one event and a part of the next one.
var brokenStream = sendAndClose(eventStreamHead + "id: 1\ndata: a\n\nid: 2\nda")

var _ = Describe("A stream that broke off after its head", func() {
	// Guards against an answer of the next backend server that reaches the client in
	// the middle of its stream, or ends it as if it were complete (reports of other
	// operators, issue 23).
	DescribeTable("is broken off for the client too, if the next backend server answers with", func(next http.HandlerFunc) {
		var tries atomic.Int64
		handle := func(w http.ResponseWriter, r *http.Request) {
			if tries.Add(1) == 1 {
				brokenStream(w, r)
				return
			}
			next(w, r)
		}
		s := newFixture(route.Route{Kind: route.Streaming, Resumable: true, MaxBackendServers: 2}, handle, handle)
		reply, err := s.send(context.Background(), "/r/x")
		Expect(err).NotTo(HaveOccurred())
		defer reply.Body.Close()
		body, err := io.ReadAll(reply.Body)
		Expect(err).To(HaveOccurred(), "it does not look complete")
		Expect(string(body)).To(Equal("id: 1\ndata: a\n\n"))
		Expect(tries.Load()).To(BeEquivalentTo(2))
	},
		Entry("an error with a body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "id: 2\ndata: no\n\n", http.StatusInternalServerError)
		})),
		Entry("an error that is a stream", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprint(w, "id: 2\ndata: no\n\n")
		})),
		Entry("another content type", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			fmt.Fprint(w, "id: 2\ndata: no\n\n")
		})),
		Entry("a head without a stream", sendAndClose(eventStreamHead[:len(eventStreamHead)-2])),
		Entry("an end at once", sendAndClose(eventStreamHead)),
		Entry("an incomplete event", sendAndClose(eventStreamHead+"id: 2\ndata: n")),
		Entry("the events from the start", events("a", "b")),
		Entry("a refusal", http.HandlerFunc(refuse)),
		Entry("an unsigned stream", sendAndClose(strings.Replace(eventStreamHead, "Test-Signature: s\r\n", "", 1)+"id: 2\ndata: no\n\n")),
		Entry("bytes that are no answer", sendAndClose("id: 2\ndata: no\n\n")),
	)

	It("goes on with the events that follow, and ends when a framed rest is empty", func() {
		for rest, body := range map[string]string{
			"id: 2\ndata: b\n\n": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
			"":                   "id: 1\ndata: a\n\n",
		} {
			var tries atomic.Int64
			handle := func(w http.ResponseWriter, r *http.Request) {
				if tries.Add(1) == 1 {
					brokenStream(w, r)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, rest)
			}
			s := newFixture(route.Route{Kind: route.Streaming, Resumable: true, MaxBackendServers: 2}, handle, handle)
			status, got, _ := s.post("/r/x")
			Expect(status).To(Equal(http.StatusOK))
			Expect(got).To(Equal(body))
		}
	})
})

var _ = Describe("An answer without length and chunks", func() {
	s := func(text string) *fixture { return newFixture(route.Route{Kind: route.Streaming}, sendAndClose(text)) }

	// Guards against taking such an answer for broken off, or the other way round:
	// it ends with its connection.
	It("is complete when its connection ends", func() {
		status, body, _ := s(signedHead + "\r\nwhole").post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
		status, body, _ = s(eventStreamHead + "id: 1\ndata: a\n\n").post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("id: 1\ndata: a\n\n"))
	})

	It("is broken off when a stream ends inside an event", func() {
		reply, err := s(eventStreamHead+"id: 1\ndata: a\n\nid: 2\ndata: b\n").send(context.Background(), "/r/x")
		Expect(err).NotTo(HaveOccurred())
		defer reply.Body.Close()
		body, err := io.ReadAll(reply.Body)
		Expect(err).To(HaveOccurred())
		Expect(string(body)).To(Equal("id: 1\ndata: a\n\n"))
	})
})
