package rolling

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
)

const (
	// executeShare is the share of executes, which must not run twice, among all requests.
	executeShare = 0.2
	pathSearch   = "/v1/search"
	// thinkTime is the pause between two requests of a worker.
	thinkTime = 5 * time.Millisecond
)

// worker is a caller that sends one request at a time.
type worker struct {
	run    *run
	number int
	client *http.Client
	source *rand.Rand
	// pinned is set if the worker keeps its instance until it is asked to close the connection or a request fails.
	pinned   bool
	address  string
	requests int
}

func (r *run) runWorker(ctx context.Context, n int) {
	w := &worker{
		run: r, number: n, client: &http.Client{Transport: &http.Transport{DialContext: r.network.Dial}, Timeout: 2 * deadline},
		source: rand.New(rand.NewPCG(r.cfg.Seed, uint64(n))), pinned: n%2 == 0,
	}
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.sendRequest()
		time.Sleep(thinkTime)
	}
}

func (w *worker) sendRequest() {
	if !w.pinned || w.address == "" {
		address, ok := w.run.balancer.readyAddress(w.source)
		if !ok {
			w.run.updateResult(func(r *Result) { r.Requests++; r.Interrupted++; r.Causes["no ready instance"]++ })
			return
		}
		w.address = address
	}
	w.requests++
	path, body := pathSearch, any(caller.SearchRequest{Plan: plan, Index: index, Query: "washed jars"})
	if w.source.Float64() < executeShare {
		key := fmt.Sprintf("%d-%d.%d", time.Now().UnixMilli(), w.number, w.requests)
		path, body = "/v1/execute", caller.ExecuteRequest{Plan: plan, Index: index, Key: key, Body: "credit 2", FirstSubmission: true}
		w.run.addKey(key)
	}
	sentAt, address := time.Now(), w.address
	cause, refused, closing := w.post(path, body)
	incomplete := cause == causeIncomplete
	if closing || (cause != "" && !incomplete) {
		w.address = ""
	}
	w.run.updateResult(func(r *Result) {
		r.Requests++
		switch {
		case incomplete:
			r.Incomplete++
		case refused:
			r.Refused++
		case cause != "":
			r.Interrupted++
		}
		if cause != "" {
			r.Causes[cause]++
		}
	})
	w.run.countLate(address, sentAt)
}

// post sends a request. It returns the cause of a failed or incomplete answer, "" if there is none; whether the request
// was refused as not run; and whether the connection is to be closed.
func (w *worker) post(path string, body any) (cause string, refused, closing bool) {
	raw, err := json.Marshal(body)
	if err != nil {
		return err.Error(), false, false
	}
	resp, err := w.client.Post("http://"+w.address+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return fmt.Sprintf("%s: %T", path, err), false, true
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	if err != nil {
		return path + ": body cut", false, true
	}
	if resp.StatusCode == http.StatusOK {
		return incompleteCause(path, raw), false, resp.Close
	}
	p := problem.Read(raw, resp.StatusCode)
	if p == nil {
		return fmt.Sprintf("%s: status %d", path, resp.StatusCode), false, resp.Close
	}
	return path + ": " + p.Error(), p.RunState == problem.NotRun, resp.Close
}

// causeIncomplete is the cause of a search whose answer did not cover all shards.
const causeIncomplete = "incomplete"

func incompleteCause(path string, raw []byte) string {
	var result caller.SearchResult
	if path != pathSearch || (json.Unmarshal(raw, &result) == nil && result.Complete) {
		return ""
	}
	return causeIncomplete
}

func (r *run) addKey(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executeKeys = append(r.executeKeys, key)
}

func (r *run) updateResult(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

// countLate counts a request as late if its instance had refused new work for more than lateAfter.
func (r *run) countLate(address string, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.refusingSince[address]; ok && sentAt.After(at.Add(lateAfter)) {
		r.result.Late++
	}
}
