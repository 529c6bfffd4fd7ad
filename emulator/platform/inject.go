package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/kernel"
)

func purposeOf(r *http.Request) api.Purpose { return api.Purpose(r.Header.Get(api.HeaderPurpose)) }

// faultsFor returns the faults that strike a call. They are read once the call is about to take
// effect, so that a change during its delay counts.
func (s *Server) faultsFor(r *http.Request) Faults {
	if f, _ := s.faults.Current(); f.appliesTo(purposeOf(r)) {
		return f
	}
	return Faults{}
}

// inject delays, refuses or cuts off a call as the faults in force ask for.
func (s *Server) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isWrite := r.Method == http.MethodPut || r.Method == http.MethodDelete
		if isWrite && !bufferBody(w, r) {
			return
		}
		f := s.faultsFor(r)
		delay(r.Context(), time.Duration(f.Delay)+s.faults.Jitter(time.Duration(f.DelayJitter)), isWrite)
		f = s.faultsFor(r)
		if f.Outage != OutageNone {
			simulateOutage(w, r, f.Outage)
			return
		}
		if isWrite && s.faults.Happens(f.LostAnswers) {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			s.counters.Counter("answers_lost").Add(1)
			panic(http.ErrAbortHandler) // closes the connection
		}
		next.ServeHTTP(w, r)
	})
}

// bufferBody reads the body of a write, which must not depend on the caller's patience afterwards.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true
}

// delay waits for d. The end of ctx cuts it short unless the call is a write.
func delay(ctx context.Context, d time.Duration, isWrite bool) {
	if isWrite {
		ctx = context.WithoutCancel(ctx)
	}
	if d <= 0 {
		return
	}
	kernel.Sleep(ctx, d)
}

func simulateOutage(w http.ResponseWriter, r *http.Request, o Outage) {
	if o == OutageSilent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cancelOnOutage returns a context that ends when an outage that strikes the call begins.
func (s *Server) cancelOnOutage(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		for {
			f, changed := s.faults.Current()
			if f.Outage != OutageNone && f.appliesTo(purposeOf(r)) {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// discardWriter takes an answer that is not delivered.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}
