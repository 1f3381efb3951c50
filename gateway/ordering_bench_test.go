package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/urgency"
)

// BenchmarkOrdering measures one decision with 1,000 waiting calls and 1,000 servers: a
// call arrives and waits, or one ends and the next is sent.
func BenchmarkOrdering(b *testing.B) {
	now := time.Now()
	s := &Scheduler{
		log: slog.New(slog.DiscardHandler), fleet: fleet.New("a"), queues: newPlaceQueues(), attempts: ring.New[attempt](8), estimates: urgency.New(),
		random: rand.New(rand.NewPCG(1, 2)), admission: admission{meanCallTokens: map[string]float64{}}, views: map[string]*sharedView{}, contendedCapacity: true,
		hasIdleConnection: func(string, string) bool { return true },
	}
	for i := range 1000 {
		backend := fleet.Backend{ID: fmt.Sprint("server-", i), Service: "svc", Slots: 1, AvailabilityZone: "a"}
		s.fleet.Put(backend)
		s.fleet.CallStarted(backend.ID, now)
	}
	r := &route.Route{Name: "r", Kind: route.Streaming, Sticky: true}
	newJob := func(i int) *job {
		request := &call.Request{Arrived: now, Session: fmt.Sprint(i), Program: fmt.Sprint(i), Organisation: fmt.Sprint(i % 83), FinishWithin: time.Hour}
		return &job{ctx: context.Background(), request: request, route: r, service: route.Service{Name: "svc"}, deadline: now.Add(time.Hour), turn: i % 7}
	}
	arrive := func(i int) {
		j := newJob(i)
		s.assess(j, now)
		s.queue(j, now)
	}
	for i := range 1000 {
		arrive(i)
	}
	b.Run("ArrivesAndWaits", func(b *testing.B) {
		for b.Loop() {
			s.sendQueued(now)
		}
	})
	b.Run("AskedWhereACallGoes", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			if p := s.preview(newJob(i), now); !p.waits {
				b.Fatal("the servers are full")
			}
		}
	})
	endsAndNextIsSent := func(conversations int) func(b *testing.B) {
		return func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				s.fleet.CallEnded(fleet.CallResult{BackendID: fmt.Sprint("server-", i%1000)}, now)
				s.sendQueued(now)
				if _, ok := s.attempts.TryPop(); !ok {
					b.Fatal("no call was sent")
				}
				arrive(i % conversations)
			}
		}
	}
	b.Run("EndsAndNextIsSent", endsAndNextIsSent(math.MaxInt)) // each call begins a conversation
	b.Run("EndsAndNextTurnIsSent", endsAndNextIsSent(1000))
	b.Run("EndsAndNextTurnIsSentWithSharedView", func(b *testing.B) {
		s.places = s.fleet
		s.fleet.LearnOthers(fleet.OthersTable{Service: "svc"}, now)
		endsAndNextIsSent(1000)(b)
	})
}
