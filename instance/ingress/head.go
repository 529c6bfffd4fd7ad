package ingress

import "bytes"

// headScanner finds the end of a request header in its bytes.
type headScanner struct {
	total     int // bytes scanned
	lines     int // line ends scanned
	firstLine int // length of the request line with its end, 0 until it has arrived
	lineBytes int // of the present line, without the line feed
	returned  bool
}

// scan continues with further bytes. It reports whether they contain the empty line that ends a header.
func (s *headScanner) scan(p []byte) (ended bool) {
	s.total += len(p)
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.extendLine(p)
			return ended
		}
		s.extendLine(p[:i])
		p = p[i+1:]
		s.lines++
		if s.firstLine == 0 {
			s.firstLine = s.lineBytes + 1
		}
		if s.lineBytes == 0 || s.lineBytes == 1 && s.returned {
			ended = true
		}
		s.lineBytes, s.returned = 0, false
	}
}

func (s *headScanner) extendLine(p []byte) {
	if len(p) == 0 {
		return
	}
	s.lineBytes += len(p)
	s.returned = p[len(p)-1] == '\r'
}

// exceeds reports whether the request line, or the fields behind it, are longer than the limit.
func (s *headScanner) exceeds(limit int) bool {
	if s.firstLine == 0 {
		return s.total > limit
	}
	return s.firstLine > limit || s.total-s.firstLine > limit
}
