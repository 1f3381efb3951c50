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

// syncBuffer is a buffer that the writer and the test may use concurrently.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var _ = Describe("Writer", func() {
	It("does not block while nothing is written, limits the rate of each message and reports how many lines were dropped", func() {
		w, log := logline.New(slog.LevelInfo)
		start := time.Now()
		for range 5000 {
			log.Info("part: many", "request", "r")
		}
		log.Info("part: rare", "request", "r")
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(w.Dropped()).To(BeNumerically(">=", 4000))
		out := &syncBuffer{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx, out)
		Eventually(out.String, "3s").Should(ContainSubstring("lines left out"))
		Expect(out.String()).To(ContainSubstring(`"msg":"part: rare","request":"r"`))
		Expect(strings.Count(out.String(), "part: many")).To(BeNumerically("<=", 400))
	})
})
