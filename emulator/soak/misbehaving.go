package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callerLimits are the limits of requests in the configuration.
type callerLimits struct {
	headBytes, bodyBytes int
	headTime             time.Duration
}

var defaultCallerLimits = callerLimits{headBytes: 16 << 10, bodyBytes: 10000, headTime: 3 * time.Second}

// misbehavior is what a client does on a connection instead of sending a request and reading its response.
type misbehavior struct {
	name string
	// send writes to the connection until nothing is left to send or the connection fails.
	send func(w io.Writer, l callerLimits) error
	// deaf clients do not read.
	deaf bool
}

const (
	postLine = "POST " + pathMoved + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: misbehaving\r\nDeadline-Ms: 1500\r\n"
	getLine  = "GET " + pathMoved + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: misbehaving\r\nDeadline-Ms: 1500\r\n\r\n"
	// stopShort is the number of bytes that a client holds back at the end of what it announced.
	stopShort = 10
	// oversizedHeadBytes is the size of a header beyond the limit of the configuration, but within that of most servers.
	oversizedHeadBytes = 60 << 10
	// endlessBytes is the size of what does not end in practice.
	endlessBytes = 8 << 20
	// pieceBytes is the size of the writes of a client that sends a body piece by piece.
	pieceBytes = 4 << 10
	// pipelinedRequests is the number of requests that a client sends without reading a response.
	pipelinedRequests = 2000
)

// shortFields returns header fields of n bytes in total, as many as possible.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// misbehaviors has at least one for each phase of a request.
var misbehaviors = []misbehavior{
	{name: "nothing", send: text("")},
	{name: "short fields without end of the header", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, postLine+shortFields(l.headBytes-len(postLine)-stopShort))
	}},
	{name: "oversized header of short fields", send: text(postLine + shortFields(oversizedHeadBytes))},
	{name: "oversized header of one field", send: text(postLine + "Field: " + strings.Repeat("x", oversizedHeadBytes))},
	{name: "endless header", send: func(w io.Writer, _ callerLimits) error { return repeat(w, postLine, "Field: value\r\n") }},
	{name: "endless request line", send: func(w io.Writer, _ callerLimits) error { return repeat(w, "GET /", "xxxxxxxxxxxxxxxx") }},
	{name: "endless empty lines", send: func(w io.Writer, _ callerLimits) error { return repeat(w, "", "\r\n\r\n\r\n\r\n") }},
	{name: "oversized header, incomplete body", send: text(postLine + shortFields(oversizedHeadBytes) + "Content-Length: 100\r\n\r\nbody")},
	{name: "largest header, incomplete body", send: func(w io.Writer, l callerLimits) error {
		const end = "Content-Length: 100\r\n\r\n"
		return writeText(w, postLine+shortFields(l.headBytes-len(postLine)-len(end)-stopShort)+end+"body")
	}},
	{name: "incomplete body", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, bodyHead(l.bodyBytes)+strings.Repeat("x", l.bodyBytes-stopShort))
	}},
	{name: "incomplete body in pieces", send: func(w io.Writer, l callerLimits) error {
		if err := writeText(w, bodyHead(l.bodyBytes)); err != nil {
			return err
		}
		for sent := 0; sent < l.bodyBytes-stopShort; sent += pieceBytes {
			if err := writeText(w, strings.Repeat("x", min(pieceBytes, l.bodyBytes-stopShort-sent))); err != nil {
				return err
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	}},
	{name: "incomplete small body", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, bodyHead(l.bodyBytes/16)+strings.Repeat("x", l.bodyBytes/16-stopShort))
	}},
	{name: "incomplete chunk", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, chunkedHead+fmt.Sprintf("%x\r\n", l.bodyBytes)+strings.Repeat("x", l.bodyBytes-stopShort))
	}},
	{name: "chunks of one byte without end", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, chunkedHead+strings.Repeat("1\r\nx\r\n", l.bodyBytes-stopShort))
	}},
	{name: "endless chunk extension", send: func(w io.Writer, _ callerLimits) error { return repeat(w, chunkedHead+"1;", "extension;") }},
	{name: "endless trailer", send: func(w io.Writer, _ callerLimits) error {
		return repeat(w, chunkedHead+"1\r\nx\r\n0\r\n", "Field: value\r\n")
	}},
	{name: "body beyond its limit", send: func(w io.Writer, l callerLimits) error {
		return repeat(w, bodyHead(endlessBytes), strings.Repeat("x", pieceBytes))
	}},
	{name: "whole bodies", send: func(w io.Writer, l callerLimits) error {
		return writeText(w, bodyHead(l.bodyBytes)+strings.Repeat("x", l.bodyBytes))
	}},
	{name: "responses not read", send: text(strings.Repeat(getLine, pipelinedRequests)), deaf: true},
	{name: "one request, then idle", send: text(getLine)},
}

const chunkedHead = postLine + "Transfer-Encoding: chunked\r\n\r\n"

func bodyHead(bodyBytes int) string {
	return postLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)
}

func text(s string) func(io.Writer, callerLimits) error {
	return func(w io.Writer, _ callerLimits) error { return writeText(w, s) }
}

func writeText(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return err
}

// repeat writes a beginning and then endlessBytes of repeated text.
func repeat(w io.Writer, beginning, repeated string) error {
	if err := writeText(w, beginning); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte(repeated), max(1, pieceBytes/len(repeated)))
	for sent := 0; sent < endlessBytes; sent += len(piece) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

const (
	// soakCrowd is the number of clients that misbehave at a time in a soak.
	soakCrowd = 200
	// crowdStream is the random stream of the crowds.
	crowdStream = 2000
	// maxCrowdPause is the longest time between two crowds.
	maxCrowdPause = 2 * time.Second
)

// sendCrowds lets clients misbehave at one random instance at a time, until done is closed, and checks its memory.
func (s *soak) sendCrowds(done <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, crowdStream))
	pause := func(most time.Duration) (ended bool) {
		select {
		case <-done:
			return true
		case <-time.After(time.Duration(random.Int64N(int64(most)))):
			return false
		}
	}
	for !pause(maxCrowdPause) {
		i, m := s.instances[random.IntN(len(s.instances))], misbehaviors[random.IntN(len(misbehaviors))]
		s.crowds.Add(1)
		c := startCrowd(soakCrowd, i.callerAddress, m, s.limits)
		ended := pause(maxFaultDuration)
		i.checkMemory(s.recorder, m.name)
		c.stop()
		if ended {
			return
		}
	}
}

// checkMemory adds a violation if the process has held more than its memory.
func (i *instance) checkMemory(r *recorder, crowd string) {
	i.mu.Lock()
	pid := i.process.Process.Pid
	i.mu.Unlock()
	_, greatest, err := residentBytes(pid)
	if err == nil && greatest > instanceMemoryMB<<20 { // With an error, the process has been killed.
		r.addViolation("memory: %s held %d MB of %d, the latest crowd sent %q", i.name, greatest>>20, instanceMemoryMB, crowd)
	}
}

// reconnectPause is the time after which a misbehaving client opens its connection again.
const reconnectPause = 20 * time.Millisecond

// crowd is a number of clients that misbehave in the same way. Each opens its connection again when it is closed.
type crowd struct {
	settled atomic.Int64 // clients that have sent everything or were cut off at least once
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

func startCrowd(clients int, address string, m misbehavior, l callerLimits) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for range clients {
		c.clients.Go(func() {
			settle := sync.OnceFunc(func() { c.settled.Add(1) })
			for ctx.Err() == nil {
				misbehave(ctx, address, m, l, settle)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	return c
}

// stop closes all connections of the clients.
func (c *crowd) stop() {
	c.cancel()
	c.clients.Wait()
}

// misbehave opens a connection, uses it, and keeps it until the far end closes it or ctx is done.
func misbehave(ctx context.Context, address string, m misbehavior, l callerLimits, settle func()) {
	defer settle()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // The instance does not accept connections, or ctx is done.
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // It may be closed already.
	defer stop()
	defer func() { _ = conn.Close() }() // As above.
	if m.deaf {
		if m.send(conn, l) == nil {
			settle()
			<-ctx.Done()
		}
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // It ends when either end closes the connection.
		close(closed)
	}()
	if m.send(conn, l) == nil {
		settle()
	}
	<-closed
}
