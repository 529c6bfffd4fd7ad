package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// outcome is what a client got for one attempt. The status is 0 if the connection ended without a complete answer.
type outcome struct {
	status     int
	header     http.Header
	body       string
	retryAfter time.Duration
	closes     bool // the answer says that its connection is closed
	err        error
}

// client is a client with one kept connection.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one attempt and reads its answer.
func (c *client) do(method, host, path, id, body string, deadline time.Duration) outcome {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return outcome{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	out := c.exchange(method, host, path, id, body, deadline)
	if out.err != nil || out.closes {
		c.close()
	}
	return out
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) exchange(method, host, path, id, body string, deadline time.Duration) outcome {
	if err := c.conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return outcome{err: err}
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, request+"\r\n"+body); err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{err: err}
	}
	out := outcome{status: resp.StatusCode, header: resp.Header, body: string(raw), closes: resp.Close}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
