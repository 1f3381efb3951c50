package logline_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/logline"
)

func TestLogline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logline")
}

// output is a writer that a test can hold up.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

var _ = Describe("Writer", func() {
	It("never blocks on its output, bounds each message's rate, and says what it left out", func() {
		w, log := logline.New(slog.LevelInfo)
		start := time.Now()
		for range 5000 {
			log.Info("part: many", "request", "r")
		}
		log.Info("part: rare", "request", "r")
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(w.Left()).To(BeNumerically(">=", 4000))
		out := &output{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx, out)
		Eventually(out.String, "3s").Should(ContainSubstring("lines left out"))
		Expect(out.String()).To(ContainSubstring(`"msg":"part: rare","request":"r"`))
		Expect(strings.Count(out.String(), "part: many")).To(BeNumerically("<=", 400))
	})
})
