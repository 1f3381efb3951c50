package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
)

// resumableRoute is a route whose streams may be resumed at one more backend server.
var resumableRoute = route.Route{Kind: route.Streaming, Resumable: true, MaxBackendServers: 2}

// versionEvents answers with the rest of a stream of three events, whose data is the
// software version.
func versionEvents(version string, served *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		_, _ = fmt.Sscan(r.Header.Get(resumeHeader), &first)
		if r.Header.Get(resumeHeader) != "" {
			first++
		}
		for id := first; id <= 3; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
		}
	}
}

// withVersions returns a front whose backend servers have the given software
// versions. Those of preferred are in the front's availability zone.
func withVersions(r route.Route, preferred string, versions []string, backends ...http.HandlerFunc) *fixture {
	s := newFixture(r, backends...)
	s.versions = versions
	for _, version := range versions {
		if version == preferred {
			s.zones = append(s.zones, "a")
		} else {
			s.zones = append(s.zones, "b")
		}
	}
	for i := range backends {
		s.register(i)
	}
	return s
}

// beginStream begins a stream that breaks off after its first event, and returns
// what the client got.
func (s *fixture) beginStream(id string) string {
	reply, err := s.send(context.Background(), "/r/x", idHeader, id)
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	Expect(err).To(HaveOccurred(), "the stream breaks off")
	return string(body)
}

var _ = Describe("A stream whose backend server has another software version than others", func() {
	// Guards against an answer that begins at one software version and goes on at
	// another one (ORDER, issue 26).
	It("does not go on at the other version within one answer", func() {
		var served atomic.Int64
		breakOff := func(w http.ResponseWriter, r *http.Request) {
			sendAndClose(strings.Replace(eventStreamHead, "req-1", r.Header.Get(idHeader), 1)+"id: 1\ndata: v1\n\nid: 2\nda")(w, r)
		}
		s := withVersions(resumableRoute, "v1", []string{"v1", "v2", "v2"}, breakOff, versionEvents("v2", &served), versionEvents("v2", &served))
		for i := range 40 {
			reply, err := s.send(context.Background(), "/r/x", idHeader, fmt.Sprint("req-", i))
			Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(reply.Body)
			reply.Body.Close()
			Expect(strings.Contains(string(body), "v1") && strings.Contains(string(body), "v2")).To(BeFalse(), string(body))
		}
	})

	// Guards against a stream that a client takes up at a front that did not begin
	// it, and that goes on at another software version (ORDER, issue 26).
	It("goes on at its version when a client takes it up at another front", func() {
		var begins, others atomic.Int64
		begin := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(resumeHeader) == "" {
				sendAndClose(strings.Replace(eventStreamHead, "req-1", r.Header.Get(idHeader), 1)+"id: 1\ndata: v1\n\nid: 2\nda")(w, r)
				return
			}
			versionEvents("v1", &begins)(w, r)
		}
		single := resumableRoute
		single.MaxBackendServers = 1
		first := withVersions(single, "v1", []string{"v1"}, begin)
		for i := range 20 {
			Expect(first.beginStream(fmt.Sprint("first-", i))).To(Equal("id: 1\ndata: v1\n\n"))
		}
		second := withVersions(single, "v2", []string{"v2", "v2", "v1"}, versionEvents("v2", &others), versionEvents("v2", &others), begin)
		second.restartOn(first)
		for i := range 20 {
			status, body, _ := second.post("/r/x", idHeader, fmt.Sprint("second-", i), resumeHeader, "1", resumesHeader, fmt.Sprint("first-", i))
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("id: 2\ndata: v1\n\nid: 3\ndata: v1\n\n"))
		}
	})

	// Guards against a stream that is taken up after all fronts lost power, before the
	// stores knew its version (report of another operator, issue 26).
	It("sends no event before its origin is stored", func() {
		var served atomic.Int64
		s := withVersions(resumableRoute, "v1", []string{"v1"}, versionEvents("v1", &served))
		s.turnStore.facts.held = make(chan func(), 1)
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body, _ := s.post("/r/x")
			answered <- body
		}()
		Eventually(served.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		Consistently(answered, "200ms", "20ms").ShouldNot(Receive())
		(<-s.turnStore.facts.held)()
		Eventually(answered, "2s", "5ms").Should(Receive(ContainSubstring("id: 3")))
	})

	// Guards against streams that do not begin while too few stores answer.
	It("begins all the same when its origin cannot be stored, and whoever takes it up is refused", func() {
		var served atomic.Int64
		s := withVersions(resumableRoute, "v1", []string{"v1"}, versionEvents("v1", &served))
		s.turnStore.facts.refuse()
		status, body, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HaveSuffix("id: 3\ndata: v1\n\n"))
		status, _, header := s.post("/r/x", idHeader, "req-2", resumeHeader, "1", resumesHeader, "req-1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(served.Load()).To(BeEquivalentTo(1), "the refused request has not run")
	})

	// Guards against guessing where a stream began.
	It("is refused without being run when the client does not say which attempt began it", func() {
		var served atomic.Int64
		s := withVersions(resumableRoute, "v1", []string{"v1"}, versionEvents("v1", &served))
		s.post("/r/x")
		status, _, _ := s.post("/r/x", idHeader, "req-2", resumeHeader, "1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(served.Load()).To(BeEquivalentTo(1))
	})

	// Guards against holding a client until its deadline although its version has gone.
	It("is refused at once when no server of its version is left", func() {
		var served atomic.Int64
		s := withVersions(resumableRoute, "v1", []string{"v1"}, versionEvents("v1", &served))
		s.post("/r/x")
		s.versions = []string{"v2"}
		s.register(0)
		start := time.Now()
		status, _, _ := s.post("/r/x", idHeader, "req-2", resumeHeader, "1", resumesHeader, "req-1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(served.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an origin that names the server that refused the call instead of
	// the one that answered it.
	It("has the version of the server that answered, after another one refused the call", func() {
		var served atomic.Int64
		s := withVersions(resumableRoute, "v1", []string{"v1", "v2"}, refuse, versionEvents("v2", &served))
		status, body, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("v2"))
		time.Sleep(fullPause)
		status, body, _ = s.post("/r/x", idHeader, "req-2", resumeHeader, "1", resumesHeader, "req-1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("id: 2\ndata: v2\n\nid: 3\ndata: v2\n\n"))
	})

	// Guards against a route that is divided between services, and sends the attempt
	// that takes a stream up to another service than the one that began it.
	It("stays at its service when the route is divided", func() {
		var first, second atomic.Int64
		divided := resumableRoute
		divided.Shares = []route.Share{{Service: "svc", Weight: 1}, {Service: "other", Weight: 1}}
		s := newFixture(divided, versionEvents("svc", &first), versionEvents("other", &second))
		s.services = []string{"svc", "other"}
		s.register(1)
		for i := range 20 {
			began := fmt.Sprint("first-", i)
			_, whole, _ := s.post("/r/x", idHeader, began)
			_, rest, _ := s.post("/r/x", idHeader, fmt.Sprint("second-", i), resumeHeader, "1", resumesHeader, began)
			Expect(rest).NotTo(BeEmpty())
			Expect(whole).To(HaveSuffix(rest))
		}
		Expect(first.Load()).To(BeNumerically(">", 0))
		Expect(second.Load()).To(BeNumerically(">", 0))
	})
})
