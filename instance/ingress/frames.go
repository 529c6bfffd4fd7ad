package ingress

import "encoding/binary"

const (
	// http2PrefaceBytes is the length of the client preface before the first frame.
	http2PrefaceBytes = 24
	frameHeaderBytes  = 9
	frameHeaders      = 0x1
	frameContinued    = 0x9
	flagEndHeaders    = 0x4
	// http2FieldBytes is the memory of one byte of an encoded header: it may stand for a whole field of an earlier request.
	http2FieldBytes = 100
)

// frameScanner follows the frames of an HTTP/2 connection as far as they occupy memory before a handler runs.
type frameScanner struct {
	preface int // bytes of the client preface that have been scanned
	header  [frameHeaderBytes]byte
	have    int  // bytes of header
	left    int  // bytes of the payload that are still to come
	open    bool // a header has begun and not ended
	ends    bool // the present frame ends it
	largest int  // payload of the largest frame
	encoded int  // bytes of the open header
}

// scan continues with further bytes of the connection.
func (s *frameScanner) scan(p []byte) {
	n := min(http2PrefaceBytes-s.preface, len(p))
	s.preface, p = s.preface+n, p[n:]
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, len(p))
			s.left, p = s.left-n, p[n:]
			if s.open {
				s.encoded += n
			}
		} else {
			n := copy(s.header[s.have:], p)
			s.have, p = s.have+n, p[n:]
			if s.have < frameHeaderBytes {
				return
			}
			s.begin()
		}
		if s.left == 0 && s.ends {
			s.open, s.ends, s.encoded = false, false, 0
		}
	}
}

// begin begins a frame whose header is complete.
func (s *frameScanner) begin() {
	s.have = 0
	s.left = int(binary.BigEndian.Uint32(s.header[:4]) >> 8)
	s.largest = max(s.largest, s.left)
	if kind := s.header[3]; kind == frameHeaders || kind == frameContinued {
		s.open, s.ends = true, s.header[4]&flagEndHeaders != 0
	}
}

// cost returns the memory of the read buffer and of the open header, which has at most limit bytes when it is decoded.
func (s *frameScanner) cost(limit int) int64 {
	return int64(min(s.largest, HTTP2FrameBytes)) + min(http2FieldBytes*int64(s.encoded), headCost(limit, limit/http2MinField))
}
