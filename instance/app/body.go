package app

import (
	"io"
	"net/http"
	"time"
)

// bodyWithin bounds the time in which a caller sends the body of a request. A caller that stops in the
// middle would otherwise hold its connection for good.
func bodyWithin(limit time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength == 0 {
				next.ServeHTTP(w, r)
				return
			}
			control := http.NewResponseController(w)
			if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
				http.Error(w, "the connection takes no deadline", http.StatusInternalServerError)
				return
			}
			r.Body = &boundedBody{ReadCloser: r.Body, control: control}
			next.ServeHTTP(w, r)
		})
	}
}

// boundedBody lifts the deadline once the body is read. One that stays would end the request when it
// passes.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if liftErr := b.control.SetReadDeadline(time.Time{}); liftErr != nil {
			return n, liftErr
		}
	}
	return n, err
}
