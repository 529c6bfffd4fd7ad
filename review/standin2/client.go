package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host        = "returns.example"
	deadline    = 1200 * time.Millisecond
	shards      = 10
	topRecords  = 10
	minCoverage = 0.89
)

// balancer sends clients to the machines that are ready, as the platform does.
type balancer struct {
	gateways []*gateway

	mu    sync.Mutex // guards ready
	ready map[*gateway]bool
}

func (b *balancer) run() {
	client := &http.Client{Timeout: time.Second}
	misses := map[*gateway]int{}
	for {
		for _, g := range b.gateways {
			resp, err := client.Get("http://" + g.ip + ":8227/ready")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			misses[g]++
			if ok {
				misses[g] = 0
			}
			b.mu.Lock()
			b.ready[g] = ok || b.ready[g] && misses[g] < 2
			b.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

func (b *balancer) choose() *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*gateway
	for _, g := range b.gateways {
		if b.ready[g] {
			list = append(list, g)
		}
	}
	if len(list) == 0 {
		list = b.gateways
	}
	return list[rand.IntN(len(list))]
}

// tally counts the requests of a span.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) share() float64 {
	if t.sent.Load() == 0 {
		return 0
	}
	return float64(t.served.Load()) / float64(t.sent.Load())
}

// client asks for pages over a kept connection, one request at a time.
type client struct {
	number   int
	balancer *balancer
	record   *record
	conn     net.Conn
	reader   *bufio.Reader
}

// ask sends one request and reports whether it was served. Each request is a new one with its own id.
func (c *client) ask(id, path string) (served bool, result string) {
	if c.conn == nil {
		g := c.balancer.choose()
		conn, err := net.DialTimeout("tcp", g.ip+":8226", time.Second)
		if err != nil {
			return false, "no connection"
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
	if err != nil {
		c.close()
		return false, "closed"
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return false, "closed"
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	result = strconv.Itoa(resp.StatusCode)
	if after := resp.Header.Get("Retry-After"); after != "" {
		result += " retry after " + after
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		result += " " + string(body)
	}
	return err == nil && resp.StatusCode == http.StatusOK && isGood(id, resp, string(body)), result
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// isGood checks an answer against its stamp, or a merged one against the parts that it names.
func isGood(id string, resp *http.Response, body string) bool {
	if stamp := resp.Header.Get("Server-Stamp"); stamp != "" {
		return strings.HasSuffix(stamp, "."+id) && body == partBody(stamp)
	}
	stamps := strings.Split(strings.Join(resp.Header.Values("Part-Stamps"), ","), ",")
	missing, _ := strconv.Atoi(resp.Header.Get("Missing-Parts"))
	var records []string
	for _, stamp := range stamps {
		stamp = strings.TrimSpace(stamp)
		if !strings.HasSuffix(stamp, "."+id) {
			return false
		}
		for part := partBody(stamp); len(part) >= recordBytes; part = part[recordBytes:] {
			records = append(records, part[:recordBytes])
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	return len(stamps)+missing == shards && strings.Join(records[:min(topRecords, len(records))], "") == body
}
