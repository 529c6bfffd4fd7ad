package peer

import "time"

const (
	// pingAfter is the silence after which a connection to a peer is probed.
	pingAfter = time.Second
	// pingTimeout is the time for the answer to a probe before the connection is closed.
	pingTimeout = time.Second
)
