package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minCompressedBytes is the size of a message from which compression saves more than a packet. Full states and
	// the changes at the start of a fleet of hundreds take tens of kilobytes; an ordinary exchange takes a hundred bytes.
	minCompressedBytes = 1 << 10
	// maxMessageBytes is the maximum size of a message between instances, compressed or not.
	maxMessageBytes = 8 << 20
	encodingGzip    = "gzip"
)

var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "create gzip writer")) // The level is valid.
	}
	return w
}}

// compress returns the compressed message.
func compress(message []byte) []byte {
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, err := w.Write(message)
	if closeErr := w.Close(); err != nil || closeErr != nil {
		panic("compress message: write to bytes.Buffer failed") // Writes to a bytes.Buffer return no error.
	}
	return out.Bytes()
}

// compressingTransport compresses large messages to peers that have stated that they accept it, and asks for compressed
// responses.
type compressingTransport struct {
	next http.RoundTripper

	mu      sync.Mutex      // guards accepts
	accepts map[string]bool // by address: the last response of the peer stated that it accepts compressed requests
}

// CompressMessages returns a round tripper that compresses large messages if the peer accepts that, and bounds the size
// of responses.
func CompressMessages(next http.RoundTripper) http.RoundTripper {
	return &compressingTransport{next: next, accepts: map[string]bool{}}
}

// RoundTrip implements http.RoundTripper.
func (t *compressingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	accepted := t.accepts[r.URL.Host]
	t.mu.Unlock()
	r = r.Clone(r.Context())
	r.Header.Set("Accept-Encoding", encodingGzip)
	if accepted && r.ContentLength >= minCompressedBytes {
		if err := compressBody(r); err != nil {
			return nil, err
		}
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.accepts[r.URL.Host] = acceptsGzip(resp.Header)
	t.mu.Unlock()
	resp.Body = limitBody(resp.Body)
	if resp.Header.Get("Content-Encoding") == encodingGzip {
		resp.Body = &decompressedBody{compressed: resp.Body}
		resp.Header.Del("Content-Encoding")
		resp.Header.Del("Content-Length")
		resp.ContentLength = -1
	}
	return resp, nil
}

func compressBody(r *http.Request) error {
	message, err := io.ReadAll(r.Body)
	closeErr := r.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "read message")
	}
	compressed := compress(message)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(compressed)), int64(len(compressed))
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(compressed)), nil }
	r.Header.Set("Content-Encoding", encodingGzip)
	return nil
}

func acceptsGzip(h http.Header) bool { return strings.Contains(h.Get("Accept-Encoding"), encodingGzip) }

// limitedBody fails if a message exceeds maxMessageBytes.
type limitedBody struct {
	io.ReadCloser
	left int64
}

func limitBody(body io.ReadCloser) io.ReadCloser {
	return &limitedBody{ReadCloser: body, left: maxMessageBytes}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// decompressedBody decompresses a body. The decompressed message is bounded as well.
type decompressedBody struct {
	compressed   io.ReadCloser
	decompressed io.ReadCloser // nil before the first read
}

// Read implements io.Reader.
func (b *decompressedBody) Read(p []byte) (int, error) {
	if b.decompressed == nil {
		r, err := gzip.NewReader(b.compressed)
		if err != nil {
			return 0, errors.Wrap(err, "decompress message")
		}
		b.decompressed = limitBody(r)
	}
	return b.decompressed.Read(p)
}

// Close implements io.Closer.
func (b *decompressedBody) Close() error { return b.compressed.Close() }

// compressResponses serves compressed requests, and compresses large responses for clients that accept it.
func compressResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = limitBody(r.Body)
		if r.Header.Get("Content-Encoding") == encodingGzip {
			r.Body = &decompressedBody{compressed: r.Body}
			r.ContentLength = -1
		}
		w.Header().Set("Accept-Encoding", encodingGzip)
		if !acceptsGzip(r.Header) {
			next.ServeHTTP(w, r)
			return
		}
		buffered := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		buffered.send()
	})
}

// bufferedResponse holds a response until it is complete.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

func (b *bufferedResponse) send() {
	message := b.body.Bytes()
	if len(message) >= minCompressedBytes {
		message = compress(message)
		b.Header().Set("Content-Encoding", encodingGzip)
	}
	b.Header().Set("Content-Length", strconv.Itoa(len(message)))
	b.ResponseWriter.WriteHeader(b.status)
	_, _ = b.ResponseWriter.Write(message) // The client sees a response that breaks off as a failure.
}
