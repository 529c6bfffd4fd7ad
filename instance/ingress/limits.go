// Package ingress bounds what clients make a process hold. It counts connections, request headers and bodies before
// they occupy memory, and turns clients away that hold back what they began: first those that have been silent for
// longest. Complete requests are never turned away for incomplete ones.
package ingress

import (
	"math"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// connBytes is the memory of an open connection: its buffers, its goroutine and its entry.
	connBytes = 12 << 10
	// requestBytes is the memory of a request besides its header and body: stack, response and what runs it.
	requestBytes = 12 << 10
	// fieldBytes is the memory of a parsed header field besides its text. Short fields cost many times their length.
	fieldBytes = 256
	// headCopies is the number of copies of a header: as received, as parsed, and as encoded for targets.
	headCopies = 3
	// http2Bytes is the memory of an HTTP/2 connection beyond connBytes, without its requests and its receive buffer.
	http2Bytes = 8 << 10
	// connShare is the share of the memory for clients that connections may occupy. The rest is for requests.
	connShare = 1.0 / 3
	// incompleteShare is the share of the memory for requests that large incomplete ones may occupy. The rest is left
	// for small requests and for those that arrive whole.
	incompleteShare = 0.75
	// smallRequestBytes is the memory of a request up to which it counts as small.
	smallRequestBytes = 32 << 10
	// unreadShare is the size of all receive buffers, as a share of the memory for clients.
	unreadShare = 2.0 / 3
	// minBacklog is the minimum number of connections that wait until they are accepted.
	minBacklog = 16
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffer of a connection.
	minReceiveBuffer, maxReceiveBuffer = 4 << 10, 128 << 10
	// defaultHeadBytes and defaultHeadTime apply until a configuration sets the limits of a header.
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 5 * time.Second
	// maxHeadBytes bounds what a configuration can allow for a header.
	maxHeadBytes = 256 << 10
)

// HTTP2ReceiveBytes is the size of what a client may send before it is read, for one HTTP/2 connection and for one
// request on it. It is the least that the protocol allows.
const HTTP2ReceiveBytes = 64 << 10

// HTTP2FrameBytes is the size of the largest frame of an HTTP/2 connection, and HTTP2HeadBytes the limit for
// http.Server.MaxHeaderBytes of a server that speaks HTTP/2.
const HTTP2FrameBytes, HTTP2HeadBytes = 16 << 10, 64 << 10

// http2MinField is the size that the shortest field counts with against HTTP2HeadBytes.
const http2MinField = 32

// ServerHeadBytes is the limit for http.Server.MaxHeaderBytes behind a Listener, which itself refuses larger headers.
const ServerHeadBytes = 4 * maxHeadBytes

// Limits bound what the clients of a process hold.
type Limits struct {
	// Connections is the number of connections open at a time.
	Connections int
	// Memory is for connections and requests, in bytes; 0 for no limit.
	Memory int64
}

// LimitsFor returns limits that use a share of the process's descriptors and a share of its memory. A process of
// unknown memory, 0 bytes, has that of the machine.
func LimitsFor(descriptorShare, memoryShare float64, memory int64) (Limits, error) {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return Limits{}, errors.Wrap(err, "read the file descriptor limit")
	}
	if memory == 0 {
		var err error
		if memory, err = machineMemory(); err != nil {
			return Limits{}, err
		}
	}
	l := Limits{
		Connections: int(descriptorShare * float64(min(descriptors.Cur, math.MaxInt32))),
		Memory:      int64(memoryShare * float64(memory)),
	}
	l.Connections = max(1, min(l.Connections, int(connShare*float64(l.Memory)/connBytes)))
	return l, nil
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// backlog returns the number of connections that may wait until they are accepted. What their clients send is in memory
// already.
func (l Limits) backlog() int { return max(minBacklog, l.Connections) }

// receiveBuffer returns the size of the receive buffer of a connection in bytes. The kernel allows twice as many, and
// those of all connections together stay within unreadShare of the memory, besides the memory for what has been read.
func (l Limits) receiveBuffer() int {
	if l.Memory == 0 {
		return maxReceiveBuffer
	}
	const kernelFactor = 2
	return min(maxReceiveBuffer, max(minReceiveBuffer, int(unreadShare*float64(l.Memory))/(kernelFactor*(l.Connections+l.backlog()))))
}

// requestMemory returns the memory that is left for requests beside all connections, 0 for no limit.
func (l Limits) requestMemory() int64 {
	if l.Memory == 0 {
		return 0
	}
	return max(1, l.Memory-int64(l.Connections)*connBytes)
}

// HeadLimits bound the header of one request. The zero value stands for the defaults.
type HeadLimits struct {
	// Bytes bounds the header fields, and also the request line before them.
	Bytes int
	// Time is the time from the first byte to the end of the header.
	Time time.Duration
}

func (l HeadLimits) withDefaults() HeadLimits {
	if l.Bytes <= 0 {
		l.Bytes = defaultHeadBytes
	}
	if l.Time <= 0 {
		l.Time = defaultHeadTime
	}
	l.Bytes = min(l.Bytes, maxHeadBytes)
	return l
}

// headCost returns the memory of a request with a header of the given size.
func headCost(bytes, lines int) int64 {
	return requestBytes + headCopies*int64(bytes) + fieldBytes*int64(lines)
}
