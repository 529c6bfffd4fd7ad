package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// listener accepts the far ends of pipes and counts the open ones.
type listener struct {
	conns chan net.Conn

	mu    sync.Mutex // guards the fields below
	open  int
	total int
	all   []net.Conn
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func (l *listener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.total++
	l.all = append(l.all, far)
	l.conns <- far
	var once sync.Once
	return &countedConn{Conn: near, closed: func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.open--
		})
	}}, nil
}

func (l *listener) counts() (open, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.total
}

func (l *listener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *listener) Close() error   { return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against more than one connection to a target when many requests start at once, also after
// the target has closed it, and against connections that stay open after their release.
func TestPoolKeepsOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &listener{conns: make(chan net.Conn, 1000)}
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(10 * time.Millisecond)
			_, _ = w.Write([]byte("{}"))
		})}
		go func() { _ = server.Serve(l) }()
		pool := NewPool(func() *http.Transport {
			transport := NewTransport(time.Second, time.Second)
			transport.DialContext = l.dial
			return transport
		})
		client := NewClient(pool)
		ask := func() error {
			_, err := client.Info(t.Context(), "target:1")
			return err
		}
		burst := func() {
			var wait sync.WaitGroup
			for range 50 {
				wait.Go(func() { require.NoError(t, ask()) })
			}
			wait.Wait()
		}
		burst()
		open, total := l.counts()
		require.Equal(t, [2]int{1, 1}, [2]int{open, total})
		require.NoError(t, l.all[0].Close())
		synctest.Wait()
		burst()
		open, total = l.counts()
		require.Equal(t, [2]int{1, 2}, [2]int{open, total})

		slow := make(chan error)
		go func() { slow <- ask() }()
		time.Sleep(time.Millisecond)
		pool.Retain(func(string) bool { return false })
		require.NoError(t, <-slow)
		pool.Sweep()
		synctest.Wait()
		open, _ = l.counts()
		require.Zero(t, open)
		close(l.conns)
		require.NoError(t, server.Close())
		synctest.Wait()
	})
}
