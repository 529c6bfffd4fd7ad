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

// pipeListener accepts the server ends of in-memory pipes and counts the open pipes.
type pipeListener struct {
	conns chan net.Conn

	mu          sync.Mutex // guards the fields below
	open        int
	total       int
	serverConns []net.Conn
}

type countedConn struct {
	net.Conn
	onClose func()
}

func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.total++
	l.serverConns = append(l.serverConns, server)
	l.conns <- server
	var once sync.Once
	return &countedConn{Conn: client, onClose: func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.open--
		})
	}}, nil
}

func (l *pipeListener) counts() (open, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.total
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against more than one connection to a target when many requests start at the same time, both
// initially and after the target has closed the connection. Also guards against connections that stay open
// after their transport is released.
func TestPoolUsesOneConnectionPerTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn, 1000)}
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
		requestInfo := func() error {
			_, err := client.Info(t.Context(), "target:1")
			return err
		}
		burst := func() {
			var wg sync.WaitGroup
			for range 50 {
				wg.Go(func() { require.NoError(t, requestInfo()) })
			}
			wg.Wait()
		}
		burst()
		open, total := l.counts()
		require.Equal(t, [2]int{1, 1}, [2]int{open, total})
		require.NoError(t, l.serverConns[0].Close())
		synctest.Wait()
		burst()
		open, total = l.counts()
		require.Equal(t, [2]int{1, 2}, [2]int{open, total})

		inFlight := make(chan error)
		go func() { inFlight <- requestInfo() }()
		time.Sleep(time.Millisecond)
		pool.Retain(func(string) bool { return false })
		require.NoError(t, <-inFlight)
		pool.Sweep()
		synctest.Wait()
		open, _ = l.counts()
		require.Zero(t, open)
		close(l.conns)
		require.NoError(t, server.Close())
		synctest.Wait()
	})
}

// Guards against a connection that stays open for good because a query that began before a change of the placement opened it
// after the change.
func TestLateQueryDoesNotKeepConnectionOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn, 1000)}
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("{}"))
		})}
		go func() { _ = server.Serve(l) }()
		pool := NewPool(func() *http.Transport {
			transport := NewTransport(time.Second, time.Second)
			transport.DialContext = l.dial
			return transport
		})
		pool.Retain(func(string) bool { return false })
		_, err := NewClient(pool).Info(t.Context(), "target:1")
		require.NoError(t, err)
		open, _ := l.counts()
		require.Equal(t, 1, open)
		pool.Sweep()
		synctest.Wait()
		open, _ = l.counts()
		require.Zero(t, open)
		close(l.conns)
		require.NoError(t, server.Close())
		synctest.Wait()
	})
}
