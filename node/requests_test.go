package node_test

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

var _ = Describe("requests of a program", func() {
	It("have the same results through every node, whichever owns the program", func(ctx context.Context) {
		c := newCluster(ctx, 3, 1)
		for i, id := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
			s := c.nodes[i%3].Service()
			started := s.Start(ctx, "acme", api.StartRequest{ID: id, Class: "agent"})
			Expect(started.Outcome).To(Equal(outcome.Outcome{Code: outcome.Completed}))

			var streamed strings.Builder
			asked := s.Call(ctx, "acme", id, modelCall(1, "reconcile March"),
				func(chunk program.Chunk) error { streamed.WriteString(chunk.Text); return nil })
			Expect(asked.Outcome.Code).To(Equal(outcome.Completed), "%+v", asked.Outcome)
			Expect(asked.Recorded).To(BeTrue())
			Expect(streamed.String()).To(Equal(string(asked.Answer)))
			Expect(streamed.Len()).To(BeNumerically(">", 0))

			posted := c.nodes[(i+1)%3].Service().Call(ctx, "acme", id, ledgerPost(2, `{"amount":1}`), nil)
			Expect(posted.Outcome.Code).To(Equal(outcome.Completed), "%+v", posted.Outcome)

			history := c.nodes[(i+2)%3].Service().History(ctx, "acme", id)
			Expect(history.Info.History).To(HaveLen(2))
			Expect(history.Info.Account.Reserved).To(BeZero())
			Expect(s.End(ctx, "acme", id).Outcome.Code).To(Equal(outcome.Completed))
		}
	})
})
