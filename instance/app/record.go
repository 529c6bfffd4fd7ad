package app

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/kernel/counters"
)

// openRecorder returns a recorder that writes to the trace file of the settings, and a function that closes
// both. The recorder is nil if no trace file is set. An existing file is overwritten.
func openRecorder(s Settings, c *counters.Set) (*trace.Recorder, func() error, error) {
	if s.TraceFile == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(s.TraceFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace file")
	}
	r, err := trace.NewRecorder(file, s.Instance, trace.DefaultMaxBytes, time.Now)
	if err != nil {
		_ = file.Close() // The earlier error is returned.
		return nil, nil, err
	}
	c.Func("trace_records_dropped", func() any { return r.Dropped() })
	return r, func() error {
		err := r.Close()
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close trace file")
		}
		return err
	}, nil
}
