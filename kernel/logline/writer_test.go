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

// Guards against a process that stops because nobody reads its output.
func TestOutputThatIsNotRead(t *testing.T) {
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
		require.Equal(t, time.Second, time.Since(begin), "the end of the process does not wait for good")
		require.NoError(t, r.Close())
	})
}

// Guards against lines that are lost or mixed up while somebody reads.
func TestLinesInOrder(t *testing.T) {
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

// Guards against a log that grows with the load, and against one that hides how much it left out.
func TestVolumeIsBounded(t *testing.T) {
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
