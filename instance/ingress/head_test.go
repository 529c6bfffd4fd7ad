package ingress

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a header whose end is missed, so that its client waits until its time is over, wherever the network splits it.
func TestScanFindsEndOfHeader(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		ended bool
		lines int
	}{
		"whole":           {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, 3},
		"bare line feeds": {"GET / HTTP/1.1\nHost: h\n\n", true, 3},
		"no end":          {"GET / HTTP/1.1\r\nHost: h\r\n", false, 2},
		"return in line":  {"GET / HTTP/1.1\r\nField: \r \r\n", false, 2},
		"begins empty":    {"\r\n", true, 1},
		"nothing":         {"", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for split := range len(c.head) + 1 {
				var s headScanner
				ended := s.scan([]byte(c.head[:split]))
				ended = s.scan([]byte(c.head[split:])) || ended
				require.Equal(t, c.ended, ended, "split at %d", split)
				require.Equal(t, c.lines, s.lines)
				require.Equal(t, len(c.head), s.total)
			}
		})
	}
}

// Guards against a header inside its limit that is refused because of its request line, and against one that is not bounded.
func TestHeadLimit(t *testing.T) {
	const limit = 100
	line := "GET /" + strings.Repeat("x", limit-len("GET / HTTP/1.1\r\n")) + " HTTP/1.1\r\n"
	fields := "F:" + strings.Repeat("x", limit-len("F:\r\n\r\n")) + "\r\n\r\n"
	for name, c := range map[string]struct {
		head    string
		exceeds bool
	}{
		"at the limit":    {line + fields, false},
		"fields too long": {line + "x" + fields, true},
		"line too long":   {"x" + line + fields, true},
		"line endless":    {strings.Repeat("x", limit+1), true},
	} {
		var s headScanner
		s.scan([]byte(c.head))
		require.Equal(t, c.exceeds, s.exceeds(limit), name)
	}
}
