// Package logline writes log lines without ever delaying the code that logs, and bounds how many of a
// kind are written a second.
package logline

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds the lines that wait for a reader, at about 500 bytes each some 500 lines.
	queueBytes = 256 << 10
	// linesPerSecond is the number of lines of one message that are written within a second. Failures
	// of 30 requests a second, which is an instance's usual load, fit in.
	linesPerSecond = 40
)

// Writer hands lines to a goroutine that writes them. A line that finds the queue full is dropped.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex // guards the fields below
	queue  []byte
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.queue)+len(line) > queueBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // The goroutine is about to look at the queue.
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because nobody read the output.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, for as long as ctx allows.
func (w *Writer) Close(ctx context.Context) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		w.mu.Lock()
		batch, w.queue = w.queue, batch[:0]
		closed := w.closed
		w.mu.Unlock()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.dropped.Add(1) // There is nowhere left to say so.
			}
		}
		if closed {
			return
		}
	}
}

// Handler is a slog.Handler that passes on at most linesPerSecond records of one message a second, and
// says with the next one how many it left out.
type Handler struct {
	next   slog.Handler
	counts *counts
}

type counts struct {
	mu        sync.Mutex // guards byMessage
	byMessage map[string]*count
}

type count struct {
	second  int64
	written int
	left    int // out since the latest line
}

// NewHandler returns a handler over next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, counts: &counts{byMessage: map[string]*count{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	left, ok := h.counts.admit(r.Message, r.Time)
	if !ok {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int("lines_left_out", left))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), counts: h.counts}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), counts: h.counts}
}

// admit reports whether a record is written, and how many of its message were left out before it.
func (c *counts) admit(message string, now time.Time) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byMessage[message]
	if n == nil {
		n = &count{}
		c.byMessage[message] = n
	}
	if second := now.Unix(); second != n.second {
		n.second, n.written = second, 0
	}
	if n.written >= linesPerSecond {
		n.left++
		return 0, false
	}
	n.written++
	left := n.left
	n.left = 0
	return left, true
}
