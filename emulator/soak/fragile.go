package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	fragileService = "fragile"
	fragileCount   = 5
	// fragileStream is the first of the random streams of fragile searchers.
	fragileStream = 1000
	// crashDuration is the time from a crash of a fragile searcher to its restart.
	crashDuration = 1500 * time.Millisecond
	// crashingCallers is the number of addresses from which the crashing request comes.
	crashingCallers = 25
	// submissionPause is the pause between two submissions of the crashing request.
	submissionPause = 250 * time.Millisecond
	// silentSubmissionPause replaces it in runs with silent crashes, which show seconds later.
	silentSubmissionPause = 1200 * time.Millisecond
	// silentRuns is the number of runs, by their seed, of which one has silent crashes.
	silentRuns = 5
	// lapseTime is the time from a silent crash to the removal of the entry.
	lapseTime = 3600 * time.Millisecond
	// spreadTime is the time after the third crash in which all instances must have been told of it.
	spreadTime = recoveryTime
	// maxLateCrashes is the number of crashes that are allowed later.
	maxLateCrashes = 3
	crashingBody   = "crash"
	// crashedAnswerBytes is the length of an answer in the middle of which a searcher crashes.
	crashedAnswerBytes = 3000
)

// startFragile starts a searcher that crashes when it gets the crashing request, before or in the middle of its answer: it
// closes its listener and all its connections. It starts again at the same address, or elsewhere under another id. In runs with
// silent crashes it leaves its connections open, says nothing on them any more, and starts again elsewhere.
func (s *soak) startFragile(n int, random *rand.Rand) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", fragileService, n)
	if s.crashesAreSilent() {
		go s.runSilentlyFragile(name, l)
	} else {
		go s.runFragile(name, l, random)
	}
	return nil
}

// crashesAreSilent reports whether the crashes of this run leave connections open.
func (s *soak) crashesAreSilent() bool { return s.seed%silentRuns == silentRuns-1 }

func (s *soak) runSilentlyFragile(name string, l net.Listener) {
	for start := 0; ; start++ {
		id := fmt.Sprintf("%s-%d", name, start)
		crashed := make(chan struct{})
		crash := sync.OnceFunc(func() {
			s.recordCrash()
			close(crashed)
			_ = l.Close() // New connections are refused, also if Close fails for another reason.
		})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-crashed:
			default:
				if r.Header.Get("Expect-Instance") != id {
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				crash()
			}
			<-r.Context().Done() // The far end closes the connection.
		})}
		s.putFragile(id, l.Addr().String())
		_ = server.Serve(l) // It returns once the listener is closed.
		time.AfterFunc(lapseTime, func() { s.store.put("servers", id, nil) })
		time.Sleep(crashDuration)
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			s.recorder.addViolation("stand-in: %v", err)
			return
		}
	}
}

func (s *soak) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

func (s *soak) putFragile(id, address string) {
	s.store.put("servers", id, map[string]any{
		"backend": fragileService, "address": address, "zone": "d0", "state": "ready", "slots": 4, "born": time.Now().UnixMilli(),
	})
}

func (s *soak) runFragile(name string, l net.Listener, random *rand.Rand) {
	id, address := name, l.Addr().String()
	for start := 1; ; start++ {
		inAnswer, moves := random.Float64() < s.inAnswerShare(), random.IntN(2) == 0
		server := &http.Server{}
		var once sync.Once
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Expect-Instance") != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			once.Do(func() {
				s.recordCrash()
				if inAnswer {
					w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
					w.Header().Set("Content-Length", strconv.Itoa(crashedAnswerBytes))
					_, _ = io.WriteString(w, "begin")         // The searcher crashes in any case.
					_ = http.NewResponseController(w).Flush() // As above.
				}
				_ = server.Close() // It ends Serve below.
			})
		})
		s.putFragile(id, address)
		_ = server.Serve(l) // It returns once the server is closed.
		time.Sleep(crashDuration)
		if moves {
			s.store.put("servers", id, nil)
			id, address = fmt.Sprintf("%s-%d", name, start), "127.0.0.1:0"
		}
		var err error
		if l, err = net.Listen("tcp", address); err != nil {
			s.recorder.addViolation("stand-in: %v", err)
			return
		}
		address = l.Addr().String()
	}
}

// inAnswerShare returns the share of crashes in the middle of an answer in this run: none, half or all of them.
func (s *soak) inAnswerShare() float64 { return float64(s.seed%3) / 2 }

// clientFrom returns a client whose connections come from an address of the loopback network.
func clientFrom(n int) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+n%crashingCallers))}}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}, Timeout: requestTimeout}
}

// submitCrashingRequest submits the request again and again through random instances, each time from another address.
func (s *soak) submitCrashingRequest(ctx context.Context, random *rand.Rand) {
	pause := submissionPause
	if s.crashesAreSilent() {
		pause = silentSubmissionPause
	}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(pause)
		i := s.readyInstance(random)
		if i == nil {
			continue
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+i.callerAddress+"/fragile/x", strings.NewReader(crashingBody))
		if err != nil {
			panic(err) // unreachable: the URL is valid
		}
		r.Host = host
		r.Header.Set("Request-Id", fmt.Sprintf("crash-%d", n))
		r.Header.Set("Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
		if resp, err := clientFrom(n).Do(r); err == nil {
			_ = resp.Body.Close() // The body is not used.
		}
	}
}

// checkCrashes adds a violation if the request crashed searchers although three had crashed on it. That is forgotten only if
// all instances are killed around a restore of the store.
func (s *soak) checkCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.crashes {
		recently := func(t time.Time) bool { return at.After(t) && at.Sub(t) < spreadTime+maxCopyAge }
		forgotten := slices.ContainsFunc(s.restores, recently) && slices.ContainsFunc(s.killsOfAll, recently)
		if at.Sub(s.crashes[min(2, len(s.crashes)-1)]) > spreadTime && !forgotten {
			late++
		}
	}
	if late > maxLateCrashes {
		s.recorder.addViolation("crash: a request crashed %d searchers later than %v after the third", late, spreadTime)
	}
}

// crashCount returns the number of crashes of fragile searchers.
func (s *soak) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}
