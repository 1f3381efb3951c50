// Package logline writes structured log lines without ever blocking the code
// that logs. Lines go through a bounded ring to one writer duty; lines beyond
// the ring or beyond the rate of their message are left out and counted.
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
	// ringSlots is the number of lines that may wait for the output.
	ringSlots = 1024
	// perSecond is how many lines of one message are written in a second; a
	// front on a small host answers fewer requests than that on most days.
	perSecond = 200
	// batchBytes bounds one write to the output.
	batchBytes = 32 << 10
	// reportEvery is how often left-out lines are reported.
	reportEvery = time.Second
)

// Writer is the shared end of all handlers.
type Writer struct {
	lines *ring.Ring[[]byte]

	mu      sync.Mutex
	window  int64 // Unix second
	written map[string]int
	left    int64
}

// New returns a writer and its logger. Run must be started.
func New(level slog.Level) (*Writer, *slog.Logger) {
	w := &Writer{lines: ring.New[[]byte](ringSlots), written: map[string]int{}}
	return w, slog.New(&handler{writer: w, level: level})
}

// Run is the writer duty. It writes what waits before it ends.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(reportEvery)
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
			w.report()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Left returns the number of lines left out since the last report.
func (w *Writer) Left() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

func (w *Writer) report() {
	w.mu.Lock()
	left := w.left
	w.left = 0
	w.mu.Unlock()
	if left > 0 {
		slog.New(&handler{writer: w, level: slog.LevelInfo}).Warn("logline: lines left out", "count", left)
	}
}

// admit counts a line against the rate of its message.
func (w *Writer) admit(message string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.window {
		w.window = second
		clear(w.written)
	}
	w.written[message]++
	if w.written[message] > perSecond {
		w.left++
		return false
	}
	return true
}

func (w *Writer) push(line []byte) {
	if w.lines.TryPush(line) != nil {
		w.mu.Lock()
		w.left++
		w.mu.Unlock()
	}
}

type handler struct {
	writer *Writer
	level  slog.Level
	attrs  []slog.Attr
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.writer.admit(record.Message, record.Time) {
		return nil
	}
	var line bytes.Buffer
	err := slog.NewJSONHandler(&line, &slog.HandlerOptions{Level: h.level}).WithAttrs(h.attrs).Handle(ctx, record)
	if err == nil {
		h.writer.push(line.Bytes())
	}
	return err
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, level: h.level, attrs: append(append([]slog.Attr{}, h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. Groups are not used, so names stay flat.
func (h *handler) WithGroup(string) slog.Handler { return h }
