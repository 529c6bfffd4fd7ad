package platform

import "net/http"

// maxIdleConns is the maximum number of idle connections to the object API per instance. It covers the calls
// that an instance makes concurrently: its watches, and the leases and claim heads of all buckets if it owns
// all of them. The net/http default of 2 would close most of these connections after each call.
const maxIdleConns = 40

// NewTransport returns a transport for the API calls of one instance.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	return t
}
