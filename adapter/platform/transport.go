package platform

import "net/http"

// maxIdleConns is the number of connections to the object API that an instance keeps open between
// calls. It covers the calls that an instance makes side by side: its watches, and the leases and
// heads of claims of all buckets if it has them all. The two of net/http's default would close most of
// them after each call.
const maxIdleConns = 40

// NewTransport returns a transport for the calls of one instance.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	return t
}
