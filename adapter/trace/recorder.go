package trace

import (
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/wire/tracepb"
)

const (
	// DefaultMaxBytes bounds the size of a recording before compression. Instances have no disk, so the file
	// is in memory; compressed it takes about a tenth of that.
	DefaultMaxBytes = 64 << 20
	// flushBytes is the size of the unflushed records, before compression, at which they are flushed, so that
	// the trace of a process that crashes ends shortly before the crash.
	flushBytes = 64 << 10
)

// Recorder writes the records of all decisions of one process. It is safe for concurrent use. The exported methods of a
// nil Recorder do nothing.
type Recorder struct {
	start time.Time
	now   func() time.Time

	mu          sync.Mutex // guards the fields below
	writeRecord func(*tracepb.Record) error
	flush       func() error
	close       func() error
	remaining   int // bytes that may still be written, before compression
	unflushed   int
	dropped     int64
	err         error
}

// NewRecorder returns a recorder that writes a trace of at most maxBytes before compression to w.
// source names the instance or the measure; now is its clock.
func NewRecorder(w io.Writer, source string, maxBytes int, now func() time.Time) (*Recorder, error) {
	zw := gzip.NewWriter(w)
	start := now()
	header := &tracepb.Header{Version: FormatVersion, Source: source, StartUnixNano: start.UnixNano()}
	if _, err := protodelim.MarshalTo(zw, header); err != nil {
		return nil, errors.Wrap(err, "write trace")
	}
	return &Recorder{
		start: start, now: now, remaining: maxBytes, flush: zw.Flush, close: zw.Close,
		writeRecord: func(record *tracepb.Record) error {
			_, err := protodelim.MarshalTo(zw, record)
			return err
		},
	}, nil
}

// NewFuncRecorder returns a recorder that passes its records to writeRecord. The times in the records are relative to
// start; now is the clock for calls without a time argument.
func NewFuncRecorder(start time.Time, now func() time.Time, writeRecord func(*tracepb.Record)) *Recorder {
	noop := func() error { return nil }
	return &Recorder{
		start: start, now: now, remaining: int(^uint(0) >> 1), flush: noop, close: noop,
		writeRecord: func(record *tracepb.Record) error {
			writeRecord(record)
			return nil
		},
	}
}

// Dropped returns the number of records that did not fit or could not be written.
func (r *Recorder) Dropped() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close ends the recording. It returns the first write error.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remaining = 0
	if err := r.close(); r.err == nil {
		r.err = err
	}
	return errors.Wrap(r.err, "write trace")
}

// write writes a record. After a record that does not fit, all later records are dropped, so that the trace of a
// decision with several records has no gap.
func (r *Recorder) write(record *tracepb.Record) {
	size := proto.Size(record)
	r.mu.Lock()
	defer r.mu.Unlock()
	if size > r.remaining || r.err != nil {
		r.remaining = 0
		r.dropped++
		return
	}
	r.remaining -= size
	r.err = r.writeRecord(record)
	if r.unflushed += size; r.unflushed >= flushBytes && r.err == nil {
		r.unflushed = 0
		r.err = r.flush()
	}
}

// offset returns a time as nanoseconds since the start. It uses the monotonic clock reading of a time that has one, as
// the decisions do.
func (r *Recorder) offset(t time.Time) int64 { return int64(t.Sub(r.start)) }
