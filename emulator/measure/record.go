package measure

import (
	"io"
	"time"

	"hyssopcroft.example/adapter/trace"
)

// recorder records the decisions of the following runs; nil if they are not recorded.
var recorder *trace.Recorder

// Record writes the queries, lenders and holders of the following runs, except for baselines, to out
// until the returned function is called. It must not be called while a measure runs.
func Record(out io.Writer, name string) (stop func() (dropped int64, err error), err error) {
	recorder, err = trace.NewRecorder(out, name, trace.DefaultMaxBytes, func() time.Time { return epoch })
	if err != nil {
		return nil, err
	}
	return func() (int64, error) {
		r := recorder
		recorder = nil
		return r.Dropped(), r.Close()
	}, nil
}
