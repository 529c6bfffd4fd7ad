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
	if f, _ := s.faults.Current(); f.strikes(purposeOf(r)) {
		return f
	}
	return Faults{}
}

// inject delays, refuses or cuts off a call as the faults in force ask for.
func (s *Server) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method == http.MethodPut || r.Method == http.MethodDelete
		if write && !buffer(w, r) {
			return
		}
		f := s.faultsFor(r)
		pause(r.Context(), time.Duration(f.Delay)+s.faults.Jitter(time.Duration(f.DelayJitter)), write)
		f = s.faultsFor(r)
		if f.Outage != OutageNone {
			refuse(w, r, f.Outage)
			return
		}
		if write && s.faults.Happens(f.LostAnswers) {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			s.counters.Counter("answers_lost").Add(1)
			panic(http.ErrAbortHandler) // closes the connection
		}
		next.ServeHTTP(w, r)
	})
}

// buffer reads the body of a write, which must not depend on the caller's patience afterwards.
func buffer(w http.ResponseWriter, r *http.Request) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true
}

// pause waits for d. The end of ctx cuts it short unless the call is a write.
func pause(ctx context.Context, d time.Duration, write bool) {
	if write {
		ctx = context.WithoutCancel(ctx)
	}
	if d <= 0 {
		return
	}
	kernel.Sleep(ctx, d)
}

func refuse(w http.ResponseWriter, r *http.Request, o Outage) {
	if o == OutageSilent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// untilOutage returns a context that ends when an outage that strikes the call begins.
func (s *Server) untilOutage(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		for {
			f, changed := s.faults.Current()
			if f.Outage != OutageNone && f.strikes(purposeOf(r)) {
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

// discard takes an answer that is not delivered.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}
