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
})
