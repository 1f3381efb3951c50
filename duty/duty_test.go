package duty_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"dogwoodline.example/duty"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

var _ = Describe("Group", func() {
	discardLog := slog.New(slog.DiscardHandler)

	It("cancels the workers on Stop and waits for them", func() {
		group := duty.NewGroup(context.Background(), discardLog, metrics.NewSet())
		ended := 0
		group.Go("waits", func(ctx context.Context) error {
			<-ctx.Done()
			ended++
			return ctx.Err()
		})
		group.Stop()
		Expect(ended).To(Equal(1))
	})

	It("logs the error of a worker that ends before it is stopped", func() {
		log := gbytes.NewBuffer()
		group := duty.NewGroup(context.Background(), slog.New(slog.NewTextHandler(log, nil)), metrics.NewSet())
		group.Go("fails", func(context.Context) error { return errors.New("no store") })
		Eventually(log).Should(gbytes.Say("duty=fails"))
		group.Stop()
	})

	// Guards against a gauge that goes on reporting the ring of an incarnation
	// that has ended, after the next one started in the same process.
	It("reports the ring of the latest group of the process", func() {
		set := metrics.NewSet()
		duty.NewGroup(context.Background(), discardLog, set).RegisterRingDepth("d", "r", func() int { return 1 })
		duty.NewGroup(context.Background(), discardLog, set).RegisterRingDepth("d", "r", func() int { return 2 })
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`dogwoodline_ring_depth{duty="d",ring="r"} 2`))
	})
})
