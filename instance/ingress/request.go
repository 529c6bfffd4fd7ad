package ingress

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/kernel"
)

const (
	// bodyCopies is the number of copies of a body while a decoder reads it into a buffer that grows.
	bodyCopies = 3
	// minBodyBuffer is the size of the first buffer of a body.
	minBodyBuffer = 4 << 10
	// bodyGrowth is the factor by which the buffer of a body grows.
	bodyGrowth = 4
)

// hold is the memory that one request occupies, or what its connection holds before it.
type hold struct {
	guard *Guard
	conn  *conn // nil if others use the same connection

	mu         sync.Mutex // guards the fields below
	bytes      int64
	incomplete int64 // of bytes, counted as those of a large incomplete request
	whole      bool  // the request is complete
}

func (h *hold) size() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// tryAdd reserves memory if there is any. Otherwise, it returns a channel that is closed by the next release.
func (h *hold) tryAdd(bytes int64) (released <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	incomplete := int64(0)
	if !h.whole && h.bytes+bytes > smallRequestBytes {
		incomplete = h.bytes + bytes - h.incomplete
	}
	released, ok = h.guard.memory.reserve(bytes, incomplete)
	if ok {
		h.bytes += bytes
		h.incomplete += incomplete
	}
	return released, ok
}

// add reserves memory before it is used. Clients that have been silent for longer are turned away for it.
func (h *hold) add(bytes int64) error {
	released, ok := h.tryAdd(bytes)
	if ok {
		return nil
	}
	alarm := kernel.NewAlarm(memoryWait)
	defer alarm.Stop()
	for {
		if !h.guard.evictForMemory(h, bytes) || h.conn != nil && h.conn.evicted.Load() {
			return ErrNoMemory
		}
		select {
		case <-released:
		case <-alarm.C:
			return ErrNoMemory
		}
		if released, ok = h.tryAdd(bytes); ok {
			return nil
		}
	}
}

// remove releases memory that is not used any more.
func (h *hold) remove(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bytes = min(bytes, h.bytes)
	incomplete := min(bytes, h.incomplete)
	h.bytes -= bytes
	h.incomplete -= incomplete
	h.guard.memory.release(bytes, incomplete)
}

// complete counts the memory as that of a complete request.
func (h *hold) complete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.memory.release(0, h.incomplete)
	h.incomplete, h.whole = 0, true
}

// reset releases everything. What follows belongs to the next request.
func (h *hold) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.memory.release(h.bytes, h.incomplete)
	h.bytes, h.incomplete, h.whole = 0, 0, false
}

// Handler serves requests whose memory is reserved. It refuses a request without memory with 503 before any part of it
// has run. bodyTimeout bounds the time in which a body arrives; 0 leaves that to the handler.
func (g *Guard) Handler(next http.Handler, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var h *hold
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor == 1 {
			h = c.hold
		} else {
			h = &hold{guard: g}
			defer h.reset()
		}
		if h.size() == 0 {
			if err := h.add(headCost(parsedSize(r))); err != nil {
				h.endInput()
				g.refuse(w, err)
				return
			}
		}
		if r.ContentLength == 0 {
			if err := h.start(); err != nil {
				g.refuse(w, err)
				return
			}
			next.ServeHTTP(w, r)
			return
		}
		if h.conn != nil {
			h.conn.startBody()
		}
		b := &body{ReadCloser: r.Body, length: r.ContentLength, hold: h}
		if bodyTimeout > 0 {
			b.control = http.NewResponseController(w)
			if err := b.control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
				http.Error(w, "the connection takes no deadline", http.StatusInternalServerError)
				return
			}
		}
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// start makes the request a complete one, unless its client has been turned away meanwhile.
func (h *hold) start() error {
	if h.conn != nil && !h.conn.run() {
		h.endInput()
		return ErrNoMemory
	}
	h.complete()
	return nil
}

// endInput ends the input of a connection whose request is answered without the rest of its body.
func (h *hold) endInput() {
	if h.conn != nil {
		h.conn.refused.Store(true)
	}
}

// parsedSize returns the size of a header, and the number of its lines.
func parsedSize(r *http.Request) (bytes, lines int) {
	bytes, lines = len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		for _, v := range values {
			bytes, lines = bytes+len(name)+len(v), lines+1
		}
	}
	return bytes, lines
}

// body is the body of a request. Its memory is reserved as it is read.
type body struct {
	io.ReadCloser
	hold    *hold
	length  int64                    // as announced, -1 if it is not known
	control *http.ResponseController // of the deadline to clear at the end; nil if there is none
	ended   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.read(p)
	if reserveErr := b.hold.add(bodyCopies * int64(n)); reserveErr != nil {
		return 0, b.turnAway()
	}
	return n, err
}

// read reads into memory that has been reserved.
func (b *body) read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && !b.ended:
		b.ended = true
		if completeErr := b.hold.start(); completeErr != nil {
			return 0, completeErr
		}
		if b.control == nil {
			break
		}
		// The deadline would cancel the request once it expires.
		if clearErr := b.control.SetReadDeadline(time.Time{}); clearErr != nil {
			return 0, errors.Wrap(clearErr, "clear the deadline of a body")
		}
	case err != nil && err != io.EOF:
		if c := b.hold.conn; c != nil && c.evicted.Load() {
			return n, b.turnAway()
		}
		b.hold.endInput()
	}
	return n, err
}

// turnAway ends the input of a client without memory. The handler refuses the request.
func (b *body) turnAway() error {
	b.hold.endInput()
	b.hold.guard.onTurnedAway(ErrNoMemory.Error())
	return ErrNoMemory
}

// refuse refuses a request that has not run, and closes its connection.
func (g *Guard) refuse(w http.ResponseWriter, reason error) {
	g.onTurnedAway(reason.Error())
	g.writeRefusal(w, reason)
}

// ReadBody reads the body of a request that a Guard serves. An error is *http.MaxBytesError if the body is larger than
// limit bytes, which is known before it has arrived if its length is announced; ErrNoMemory if there is no memory for it;
// or the error of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*body)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if b.length > limit {
		b.hold.endInput()
		return nil, &http.MaxBytesError{Limit: limit}
	}
	most := limit
	if b.length >= 0 {
		most = b.length
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) && int64(len(buf)) < most {
			size := int(min(most, max(minBodyBuffer, bodyGrowth*int64(cap(buf)))))
			if err := b.hold.add(int64(size)); err != nil {
				return nil, b.turnAway()
			}
			before := cap(buf)
			buf = append(make([]byte, 0, size), buf...)
			b.hold.remove(int64(before))
		}
		space := buf[len(buf):cap(buf)]
		if len(space) == 0 {
			space = make([]byte, 1) // For the end of the body, or a byte too many.
		}
		n, err := b.read(space)
		switch {
		case int64(len(buf)+n) > most:
			b.hold.endInput()
			return nil, &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			return buf[:len(buf)+n], nil
		case err != nil:
			return nil, err
		}
		buf = buf[:len(buf)+n]
	}
}
