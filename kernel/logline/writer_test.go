package logline_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel/logline"
)

// Guards against a process that blocks on logging because its output is not read.
func TestWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, pipe := io.Pipe()
		w := logline.NewWriter(pipe)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		begin := time.Now()
		for range 1000 {
			_, err := w.Write(line)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(begin))
		require.Positive(t, w.Dropped())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		w.Close(ctx)
		require.Equal(t, time.Second, time.Since(begin), "Close returns when its context ends")
		require.NoError(t, r.Close())
	})
}

// Guards against lines that are lost or reordered while the output is read.
func TestWriterPreservesOrder(t *testing.T) {
	var out bytes.Buffer
	w := logline.NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	w.Close(t.Context())
	require.Equal(t, "a\nb\nc\n", out.String())
	require.Zero(t, w.Dropped())
}

// Guards against log volume that grows with the load, and against suppressed lines that are not counted.
func TestHandlerLimitsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(logline.NewHandler(slog.NewTextHandler(&out, nil)))
		for range 1000 {
			log.Info("many")
		}
		log.Info("one")
		require.Equal(t, 41, strings.Count(out.String(), "\n"))
		time.Sleep(time.Second)
		log.Info("many")
		require.Contains(t, out.String(), "lines_left_out=960")
	})
}
