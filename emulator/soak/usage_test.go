//go:build crowd

package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), errors.Wrap(err, "list the descriptors of a process")
}

const listenState = "0A" // of a socket in /proc/net/tcp

// unreadBytes returns the number of bytes that the kernel has received for a local port and has not handed over.
func unreadBytes(port int) (int64, error) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, errors.Wrap(err, "list the TCP sockets")
	}
	suffix, total := fmt.Sprintf(":%04X", port), int64(0)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listenState {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read the receive queue of a socket")
		}
		total += n
	}
	return total, nil
}
