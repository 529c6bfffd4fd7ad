// Package logline writes log lines without blocking the caller and limits the lines per second of
// each log message.
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
	// maxQueueBytes bounds the lines queued for writing: about 500 lines of 500 bytes.
	maxQueueBytes = 256 << 10
	// maxLinesPerSecond limits the lines of one message written per second. It is above an instance's usual load
	// of 30 requests per second, so that a line for each failed request fits in.
	maxLinesPerSecond = 40
)

// Writer queues lines for a goroutine that writes them. Lines are dropped while the queue is full.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex // guards the fields below
	queue  []byte
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// NewWriter returns a Writer that writes to out. Close stops its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.queue)+len(line) > maxQueueBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // A wake-up is already pending, after which the goroutine reads the queue.
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full or the Writer was closed. A failed
// write of a batch of lines counts as one.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and returns when they are written or ctx is done.
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
				w.dropped.Add(1) // The error cannot be logged, since this is the log output.
			}
		}
		if closed {
			return
		}
	}
}

// Handler is a slog.Handler that passes on at most maxLinesPerSecond records of each message per second and
// adds the number of suppressed records to the next record of that message.
type Handler struct {
	next    slog.Handler
	limiter *limiter
}

type limiter struct {
	mu        sync.Mutex // guards byMessage
	byMessage map[string]*messageCount
}

type messageCount struct {
	second     int64
	written    int
	suppressed int // records since the last one written
}

// NewHandler returns a Handler that passes records on to next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, limiter: &limiter{byMessage: map[string]*messageCount{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := h.limiter.admit(r.Message, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("lines_left_out", suppressed))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// admit reports whether a record with this message is written, and how many were suppressed since the last one
// written.
func (l *limiter) admit(message string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.byMessage[message]
	if n == nil {
		n = &messageCount{}
		l.byMessage[message] = n
	}
	if second := now.Unix(); second != n.second {
		n.second, n.written = second, 0
	}
	if n.written >= maxLinesPerSecond {
		n.suppressed++
		return 0, false
	}
	n.written++
	suppressed := n.suppressed
	n.suppressed = 0
	return suppressed, true
}
