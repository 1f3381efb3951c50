package turnstore

import (
	"context"
	"errors"
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore/turnpb"
)

// recordingConn is a connection to a store that records the requests and answers
// each with the next of its errors; nil is a success.
type recordingConn struct {
	grpc.ClientConnInterface
	errs     []error
	requests []*turnpb.ExchangeRequest
}

func (c *recordingConn) Invoke(_ context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	c.requests = append(c.requests, in.(*turnpb.ExchangeRequest))
	out.(*turnpb.ExchangeReply).LastNews, out.(*turnpb.ExchangeReply).NewsNumbering = 7, 9
	err := c.errs[0]
	c.errs = c.errs[1:]
	return err
}

var _ = Describe("Sender", func() {
	// Guards against a store that has restarted and refuses turns until the
	// platform store tells it the copy set, although each front server knows it.
	It("sends the copy set again after a request has failed", func() {
		conn := &recordingConn{errs: []error{nil, nil, errors.New("reset"), nil}}
		s := newSender(0, slog.New(slog.DiscardHandler), func(string) (grpc.ClientConnInterface, func(), error) { return conn, func() {}, nil },
			ring.New[command](64), ring.New[Crash](64), ring.New[Fact](64))
		s.assign("1:1")
		set := &copyset.Set{Version: 3}
		for range 4 {
			Expect(s.exchange(context.Background(), []message{{set: set, disk: "d"}})).To(Succeed())
		}
		withSet, crashes := []bool{}, [][2]uint64{}
		for _, request := range conn.requests {
			withSet, crashes = append(withSet, len(request.Set) > 0), append(crashes, [2]uint64{request.NewsAfter, request.NewsNumbering})
		}
		Expect(withSet).To(Equal([]bool{true, false, false, true}))
		Expect(crashes).To(Equal([][2]uint64{{0, 0}, {7, 9}, {7, 9}, {7, 9}}))
	})
})
