package app

import (
	"io"
	"net/http"
	"time"
)

// withBodyTimeout bounds the time in which a caller sends the body of a request. Otherwise, a caller that
// stops sending would occupy a connection indefinitely.
func withBodyTimeout(timeout time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength == 0 {
				next.ServeHTTP(w, r)
				return
			}
			control := http.NewResponseController(w)
			if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				http.Error(w, "the connection takes no deadline", http.StatusInternalServerError)
				return
			}
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
			next.ServeHTTP(w, r)
		})
	}
}

// deadlineBody clears the read deadline of the connection once the body is read. Otherwise, the request
// would be cancelled when the deadline passes.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if clearErr := b.control.SetReadDeadline(time.Time{}); clearErr != nil {
			return n, clearErr
		}
	}
	return n, err
}
