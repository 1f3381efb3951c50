package node_test

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/node"
	"dogwoodline.example/outcome"
	"dogwoodline.example/platform/memstore"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

// declare returns a set with one tenant, one class, one engine and one ledger.
func declare(engineAddress, ledgerAddress string) *resource.Set {
	high := 9
	changes := []resource.Change{
		{ID: resource.ID{Kind: resource.KindTenant, Name: "acme"}, Version: 1,
			Spec: &resource.Tenant{Share: 1, PriorityMax: &high, ProgramBudgetMax: 1_000_000}},
		{ID: resource.ID{Kind: resource.KindClass, Name: "agent"}, Version: 2,
			Spec: &resource.Class{Pool: "m", BudgetLimit: 100_000, BudgetAhead: 2000, TurnLimit: 20, IdleLeaseMS: 60_000,
				DeadlineMS: 5000, Tools: []resource.Tool{{Service: "ledger", Operation: "post", MaxCost: 10}}}},
		{ID: resource.ID{Kind: resource.KindPool, Name: "m"}, Version: 3, Spec: &resource.Pool{Model: "m"}},
		{ID: resource.ID{Kind: resource.KindBackend, Name: "e1"}, Version: 4,
			Spec: &resource.Backend{Pool: "m", Address: engineAddress, Zone: "z1", Slots: 4}},
		{ID: resource.ID{Kind: resource.KindService, Name: "ledger"}, Version: 5,
			Spec: &resource.Service{Addresses: []string{ledgerAddress}, Concurrency: 8,
				Operations: []resource.Operation{{Name: "post", Cost: 10}}}},
	}
	return resource.NewSet().With(changes...)
}

var _ = Describe("the path of a program", func() {
	It("runs model and service calls in order and keeps their history", func(ctx context.Context) {
		config := engine.Default()
		config.TimeScale = 20
		model, err := engine.Start(ctx, config)
		Expect(err).NotTo(HaveOccurred())
		defer model.Close()
		ledger, err := service.Start(ctx, service.Config{Name: "ledger"})
		Expect(err).NotTo(HaveOccurred())
		defer ledger.Close()

		set := declare(model.Address(), ledger.Address())
		clock := clockwork.NewRealClock()
		n, err := node.New(node.Settings{Incarnation: "n1-1"}, node.Dependencies{
			Store: memstore.New(clock), Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Metrics: metrics.NewSet(), Credentials: func(string) string { return "" },
		}, node.Alone{Incarnation: "n1-1"}, func() *resource.Set { return set })
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Start(ctx)).To(Succeed())
		defer n.Stop()
		s := n.Service()

		started := s.Start(ctx, "acme", api.StartRequest{ID: "p1", Class: "agent"})
		Expect(started.Outcome).To(Equal(outcome.Outcome{Code: outcome.Completed}))

		var streamed strings.Builder
		asked := s.Call(ctx, "acme", "p1", api.CallRequest{RequestID: "a", Order: 1, Kind: program.Model, MaxTokens: 50,
			Messages: []program.Message{{Role: "user", Content: "reconcile March"}}},
			func(c program.Chunk) error { streamed.WriteString(c.Text); return nil })
		Expect(asked.Outcome.Code).To(Equal(outcome.Completed), "%+v", asked.Outcome)
		Expect(asked.Recorded).To(BeTrue())
		Expect(streamed.String()).To(Equal(string(asked.Answer)))
		Expect(streamed.Len()).To(BeNumerically(">", 0))

		posted := s.Call(ctx, "acme", "p1", api.CallRequest{RequestID: "b", Order: 2, Kind: program.Service,
			Service: "ledger", Operation: "post", Body: []byte(`{"amount":1}`)}, nil)
		Expect(posted.Outcome.Code).To(Equal(outcome.Completed), "%+v", posted.Outcome)

		history := s.History(ctx, "acme", "p1")
		Expect(history.Info.History).To(HaveLen(2))
		Expect(history.Info.Account.Reserved).To(BeZero())
		Expect(s.End(ctx, "acme", "p1").Outcome.Code).To(Equal(outcome.Completed))
	})
})
