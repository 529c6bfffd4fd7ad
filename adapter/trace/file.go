// Package trace records decisions: their input events and times, and the resulting actions. Each wrapper type embeds or
// contains one decision type and has its methods. A wrapper with a nil Recorder records nothing.
package trace

import (
	"bufio"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/wire/tracepb"
)

// FormatVersion is the version of the format that this package writes, and the highest version that it reads.
const FormatVersion = 1

// maxRecordBytes bounds the size of one record. The largest records are queries: 440 shards with a few attempts each
// and their hits take less than 1 MB.
const maxRecordBytes = 16 << 20

var (
	// ErrMalformed is returned for a file that is not a trace.
	ErrMalformed = errors.New("not a trace")
	// ErrTruncated is returned for a trace without an end mark, because its recorder was stopped or the file
	// was not copied completely.
	ErrTruncated = errors.New("the trace is truncated")
)

// VersionError is returned for a trace whose format version is not supported.
type VersionError struct{ Version uint32 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the trace has format version %d; versions 1 to %d can be read", e.Version, FormatVersion)
}

// Trace is a decoded trace.
type Trace struct {
	Header  *tracepb.Header
	Records []*tracepb.Record
}

// Read reads a trace to its end. It fails with ErrMalformed, ErrTruncated or a *VersionError; with ErrTruncated it
// returns the records that are complete.
func Read(r io.Reader) (Trace, error) {
	t := Trace{Header: &tracepb.Header{}}
	zr, err := gzip.NewReader(r)
	if err != nil {
		return t, readError(err)
	}
	br := bufio.NewReader(zr)
	if err := readMessage(br, t.Header); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return t, readError(err)
	}
	if v := t.Header.GetVersion(); v == 0 || v > FormatVersion {
		return t, &VersionError{Version: v}
	}
	for {
		record := &tracepb.Record{}
		switch err := readMessage(br, record); {
		case err == io.EOF:
			return t, nil
		case err != nil:
			return t, readError(err)
		case record.GetRecord() == nil:
			return t, errors.Wrap(ErrMalformed, "a record of an unknown type")
		}
		t.Records = append(t.Records, record)
	}
}

func readMessage(br *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(br, m)
}

func readError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	return errors.Wrap(ErrMalformed, err.Error())
}
