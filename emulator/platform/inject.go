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

// faultsFor returns the faults in force that apply to a call. Handlers call it again after a delay, so
// that a change during the delay takes effect.
func (s *Server) faultsFor(r *http.Request) Faults {
	if f, _ := s.faults.Current(); f.appliesTo(purposeOf(r)) {
		return f
	}
	return Faults{}
}

// inject delays, refuses or aborts calls according to the faults in force.
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

// bufferBody reads the body of a write in advance, so that the write takes effect even if the caller
// disconnects. If it cannot, it writes a 413 response and returns false.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true
}

// delay waits for d, or until ctx ends unless the call is a write.
func delay(ctx context.Context, d time.Duration, isWrite bool) {
	if isWrite {
		ctx = context.WithoutCancel(ctx)
	}
	if d <= 0 {
		return
	}
	kernel.Sleep(ctx, d)
}

// simulateOutage answers with status 503 or, in a silent outage, aborts the call once its caller has
// cancelled it.
func simulateOutage(w http.ResponseWriter, r *http.Request, o Outage) {
	if o == OutageSilent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cancelOnOutage returns a context of the call that is cancelled when an outage that applies to it begins.
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

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}
