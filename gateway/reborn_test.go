package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
)

// restartTime is less than a backend server takes to start again.
const restartTime = 350 * time.Millisecond

// serverStatePath is where the servers of this file say which incarnation they are.
const serverStatePath = "/state"

type plainIncarnations struct{}

func (plainIncarnations) StatePath() string { return serverStatePath }

func (plainIncarnations) StateType() string { return "text/plain" }

func (plainIncarnations) DecodeIncarnation(body []byte) (int64, bool) {
	incarnation, err := strconv.ParseInt(string(body), 10, 64)
	return incarnation, err == nil
}

// rebornServer is a backend server that starts again under its id and address with
// another software version.
type rebornServer struct {
	incarnation atomic.Int64
	served      atomic.Int64
	version     atomic.Pointer[string]
}

func (r *rebornServer) start(incarnation int64, version string) {
	r.incarnation.Store(incarnation)
	r.version.Store(&version)
}

func (r *rebornServer) handle(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == serverStatePath {
		fmt.Fprint(w, r.incarnation.Load())
		return
	}
	versionEvents(*r.version.Load(), &r.served)(w, request)
}

var _ = Describe("A backend server that has started again under its id with another software version", func() {
	// withReborn returns a front whose list has the server as it was before, beside
	// another server of the version before.
	withReborn := func() (*fixture, *rebornServer, *atomic.Int64) {
		reborn, others := &rebornServer{}, &atomic.Int64{}
		reborn.start(1, "v1")
		s := newFixture(resumableRoute, reborn.handle, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == serverStatePath {
				fmt.Fprint(w, 1)
				return
			}
			versionEvents("v1", others)(w, r)
		})
		s.incarnations = []int64{1, 1}
		s.startGateway(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8, Incarnations: plainIncarnations{}})
		return s, reborn, others
	}
	restart := func(s *fixture, reborn *rebornServer) {
		s.servers[0].CloseClientConnections()
		time.Sleep(restartTime)
		reborn.start(2, "v2")
	}

	// Guards against a front that was out of step while a server started again, and takes a
	// stream up there (report of another operator, issue 32).
	It("does not go on with streams of the version before, at a front that has not heard of it", func() {
		s, reborn, others := withReborn()
		for i := range 20 {
			s.post("/r/x", idHeader, fmt.Sprint("first-", i))
		}
		restart(s, reborn)
		before := reborn.served.Load()
		for i := range 20 {
			status, body, _ := s.post("/r/x", idHeader, fmt.Sprint("second-", i), resumeHeader, "1", resumesHeader, fmt.Sprint("first-", i))
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("id: 2\ndata: v1\n\nid: 3\ndata: v1\n\n"))
		}
		Expect(reborn.served.Load()).To(Equal(before))
		Expect(others.Load()).To(BeNumerically(">=", 20))
	})

	// Guards against a stream that is recorded with the version that its server had before,
	// so that another front goes on with it at that version.
	It("begins no stream that is recorded with the version before", func() {
		s, reborn, _ := withReborn()
		restart(s, reborn)
		for i := range 20 {
			status, body, _ := s.post("/r/x", idHeader, fmt.Sprint("first-", i))
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(ContainSubstring("v1"))
		}
		Expect(reborn.served.Load()).To(BeZero())
		s.incarnations, s.versions = []int64{2, 1}, []string{"v2", "v1"}
		s.register(0)
		Expect(s.gateway.UpdateFleet(context.Background(), gateway.FleetUpdate{Remove: "b1"})).To(Succeed())
		_, body, _ := s.post("/r/x", idHeader, "later")
		Expect(body).To(ContainSubstring("v2"), "it serves once its registration is known")
	})
})
