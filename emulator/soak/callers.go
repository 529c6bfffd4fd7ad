package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes and requests.
const host = "soak.example"

// Request paths, one for each route.
const (
	pathAll   = "/all/x"
	pathOnce  = "/once/x"
	pathMoved = "/moved/x" // its service changes with each version of the routes
)

const (
	shardCount     = 6
	minParts       = 5
	topK           = 5
	requestTimeout = 1500 * time.Millisecond
	meanThinkTime  = 20 * time.Millisecond
)

// caller sends one request at a time over persistent connections until the soak ends.
type caller struct {
	soak   *soak
	client *http.Client
	random *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanThinkTime))))
		if i := c.soak.readyInstance(c.random); i != nil {
			c.send(i, []string{pathAll, pathOnce, pathMoved}[n%3])
		}
	}
}

func (c *caller) send(i *instance, path string) {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	method, body := http.MethodGet, io.Reader(nil)
	if path == pathOnce {
		method, body = http.MethodPost, strings.NewReader("body")
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.callerAddress+path, body)
	if err != nil {
		panic(err) // unreachable: the URL is valid
	}
	// The transport does not resend a request that has a body but no GetBody.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	minVersion := c.soak.minVersionInForce()
	sentAt := time.Now()
	resp, err := c.client.Do(req)
	c.soak.requests.Add(1)
	if err != nil {
		if i.mustComplete(sentAt) && ctx.Err() == nil {
			c.soak.recorder.addViolation("cut: request %s to %s, which was running or stopping gracefully: %v", id, i.name, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // The body has been read.
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		if i.mustComplete(sentAt) && ctx.Err() == nil {
			c.soak.recorder.addViolation("cut: body for request %s from %s, which was running or stopping gracefully: %v", id, i.name, err)
		}
		return
	}
	c.check(id, path, minVersion, resp, string(raw))
}

func (c *caller) check(id, path string, minVersion int, resp *http.Response, body string) {
	rec := c.soak.recorder
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		rec.recordRefused(id)
		return
	case resp.StatusCode == http.StatusNotFound:
		rec.addViolation("denied: no route for %s, which every version of the routes contains", path)
		return
	case resp.StatusCode != http.StatusOK:
		return
	}
	c.soak.served.Add(1)
	if path == pathAll {
		c.checkMerged(id, resp, body)
		return
	}
	if got := resp.Header.Get("Server-Stamp"); !strings.HasSuffix(got, "."+id) {
		rec.addViolation("mixed: request %s got the answer with the stamp %q", id, got)
	}
	if path == pathMoved {
		rec.mu.Lock()
		service := rec.lastService[id]
		rec.mu.Unlock()
		if !c.soak.mayRouteMovedTo(minVersion, service) {
			rec.addViolation("config: request %s ran at %s although version %d was in force", id, service, minVersion)
		}
	}
}

// checkMerged checks that a merged answer contains only parts of its own request, at most one for each shard, that it
// reports the correct number of missing parts, and that its records are the greatest records of the parts in descending
// order.
func (c *caller) checkMerged(id string, resp *http.Response, body string) {
	rec := c.soak.recorder
	parts := strings.Split(resp.Header.Get("Part-Stamps"), ", ")
	missing, err := strconv.Atoi(resp.Header.Get("Missing-Parts"))
	if err != nil || len(parts)+missing != shardCount || len(parts) < minParts {
		rec.addViolation("coverage: answer to %s has %d parts and reports %q as missing", id, len(parts), resp.Header.Get("Missing-Parts"))
	}
	var all []string
	seen := map[string]bool{}
	for _, p := range parts {
		searcher, request, _ := strings.Cut(p, ".")
		service, _, _ := strings.Cut(searcher, "-")
		if request != id || seen[service] {
			rec.addViolation("mixed: answer to %s contains the part %q", id, p)
		}
		seen[service] = true
		all = append(all, records(p)...)
	}
	slices.Sort(all)
	slices.Reverse(all)
	if want := strings.Join(all[:min(topK, len(all))], ""); body != want {
		rec.addViolation("merge: answer to %s has the records %q, want %q", id, body, want)
	}
}
