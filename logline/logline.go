// Package logline writes structured log lines without ever blocking the code
// that logs. Lines pass through a bounded queue to one writer goroutine. A line
// is dropped and counted if the queue is full or if its message exceeds the rate
// limit, which applies to each message text separately.
package logline

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"dogwoodline.example/ring"
)

const (
	// queueCapacity is the number of lines that may wait for the output.
	queueCapacity = 1024
	// maxPerSecond is the number of lines with the same message that are written
	// in a second. On most days a front on a small host answers fewer requests
	// in a second than that.
	maxPerSecond = 200
	// batchBytes is the size from which no further line is added to a batch. It
	// bounds one write to the output, apart from the last line of the batch.
	batchBytes = 32 << 10
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// Writer queues the lines of all derived loggers and writes them to the output.
type Writer struct {
	lines *ring.Ring[[]byte]

	mu      sync.Mutex
	window  int64          // Unix second to which counts belongs
	counts  map[string]int // lines of the window by message, dropped ones included
	dropped int64          // lines dropped since the last report
}

// New returns a writer and a logger that passes lines of at least the given
// level to it. Nothing is written until Run is started.
func New(level slog.Level) (*Writer, *slog.Logger) {
	w := &Writer{lines: ring.New[[]byte](queueCapacity), counts: map[string]int{}}
	return w, slog.New(&handler{writer: w, level: level})
}

// Run writes queued lines to out until ctx ends or a write fails. When ctx ends
// it first writes what is queued; a line that is queued at the same moment may
// be lost.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var batch bytes.Buffer
	for {
		batch.Reset()
		for batch.Len() < batchBytes {
			line, ok := w.lines.TryPop()
			if !ok {
				break
			}
			batch.Write(line)
		}
		if batch.Len() > 0 {
			if _, err := out.Write(batch.Bytes()); err != nil {
				return err
			}
			continue
		}
		select {
		case <-w.lines.Ready():
		case <-ticker.C:
			w.reportDropped()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dropped returns the number of lines dropped since the last report.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		slog.New(&handler{writer: w, level: slog.LevelInfo}).Warn("logline: lines left out", "count", dropped)
	}
}

// allow counts a line against the rate limit of its message and reports whether
// it may be queued.
func (w *Writer) allow(message string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.window {
		w.window = second
		clear(w.counts)
	}
	w.counts[message]++
	if w.counts[message] > maxPerSecond {
		w.dropped++
		return false
	}
	return true
}

// enqueue queues an encoded line, or drops and counts it if the queue is full.
func (w *Writer) enqueue(line []byte) {
	if w.lines.TryPush(line) != nil {
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
}

// handler encodes records as JSON and passes them to the writer.
type handler struct {
	writer *Writer
	level  slog.Level
	attrs  []slog.Attr
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// Handle implements slog.Handler. A dropped record is not an error.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.writer.allow(record.Message, record.Time) {
		return nil
	}
	var line bytes.Buffer
	err := slog.NewJSONHandler(&line, &slog.HandlerOptions{Level: h.level}).WithAttrs(h.attrs).Handle(ctx, record)
	if err == nil {
		h.writer.enqueue(line.Bytes())
	}
	return err
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, level: h.level, attrs: append(append([]slog.Attr{}, h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. It ignores the group, because no caller
// uses groups: attribute names stay flat.
func (h *handler) WithGroup(string) slog.Handler { return h }
