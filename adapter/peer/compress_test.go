package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// echoServer answers with the request's message, and records the encodings of the requests.
type echoServer struct {
	mu        sync.Mutex
	encodings []string
}

func (s *echoServer) serve(w http.ResponseWriter, r *http.Request) {
	message, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = w.Write(message) // The test checks the client's end.
}

func (s *echoServer) handler(compresses bool) http.Handler {
	var h http.Handler = http.HandlerFunc(s.serve)
	if compresses {
		h = compressResponses(h)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.encodings = append(s.encodings, r.Header.Get("Content-Encoding"))
		s.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

func exchange(t *testing.T, transport http.RoundTripper, url, message string) string {
	t.Helper()
	client := &http.Client{Transport: transport}
	resp, err := client.Post(url, "application/protobuf", strings.NewReader(message))
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(got)
}

// Guards against messages that are changed on the way, and against compressed messages to an instance of a version that
// does not accept them, also after it has replaced one that does.
func TestMessagesAreCompressedIfAccepted(t *testing.T) {
	large, small := strings.Repeat("front-austur-a-1", 1000), "small"
	plain := &http.Transport{DisableCompression: true}
	for name, c := range map[string]struct {
		compresses bool
		want       []string // encodings of the requests
	}{
		"same version": {true, []string{"", "gzip", ""}}, "older server": {false, []string{"", "", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &echoServer{}
			server := httptest.NewServer(s.handler(c.compresses))
			defer server.Close()
			transport := CompressMessages(plain)
			for _, message := range []string{large, large, small} {
				require.Equal(t, message, exchange(t, transport, server.URL, message))
			}
			require.Equal(t, c.want, s.encodings)
		})
	}
	s := &echoServer{}
	server := httptest.NewServer(s.handler(true))
	defer server.Close()
	require.Equal(t, large, exchange(t, plain, server.URL, large), "older client")

	replaced := &echoServer{}
	transport := CompressMessages(plain).(*compressingTransport)
	older := httptest.NewServer(replaced.handler(false))
	defer older.Close()
	transport.accepts[older.Listener.Addr().String()] = true
	exchange(t, transport, older.URL, large)
	require.Equal(t, large, exchange(t, transport, older.URL, large))
	require.Equal(t, []string{"gzip", ""}, replaced.encodings)
}

// Guards against messages without end between instances, also compressed ones that are small on the way.
func TestEndlessMessages(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(make([]byte, 2*maxMessageBytes))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	for name, encoding := range map[string]string{"plain": "", "compressed": encodingGzip} {
		t.Run(name, func(t *testing.T) {
			message := bomb.Bytes()
			if encoding == "" {
				message = make([]byte, 2*maxMessageBytes)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Encoding", encoding)
				_, _ = w.Write(message) // The client stops reading.
			}))
			defer server.Close()
			resp, err := (&http.Client{Transport: CompressMessages(&http.Transport{DisableCompression: true})}).Get(server.URL)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.ErrorContains(t, err, "exceeds")
			require.NoError(t, resp.Body.Close())

			s := &echoServer{}
			limited := httptest.NewServer(s.handler(true))
			defer limited.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, limited.URL, bytes.NewReader(message))
			require.NoError(t, err)
			req.Header.Set("Content-Encoding", encoding)
			resp, err = http.DefaultClient.Do(req)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			require.NoError(t, resp.Body.Close())
		})
	}
}
