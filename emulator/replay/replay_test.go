package replay_test

import (
	"bytes"
	"compress/gzip"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/emulator/faultcase"
	"hyssopcroft.example/emulator/replay"
	"hyssopcroft.example/query/scatter"
)

var record = flag.Bool("record", false, "record the fault cases again")

func tracePath(name string) string { return filepath.Join("testdata", name+".trace.gz") }

func loadTrace(t *testing.T, name string) trace.Trace {
	t.Helper()
	raw, err := os.ReadFile(tracePath(name))
	require.NoError(t, err)
	recorded, err := trace.Read(bytes.NewReader(raw))
	require.NoError(t, err)
	return recorded
}

// Guards against decisions that diverge from the recording of a fault case, and against outcomes that differ
// from the stated ones.
func TestRecordedFaultCases(t *testing.T) {
	for _, c := range faultcase.All() {
		t.Run(c.Name, func(t *testing.T) {
			if *record {
				out, err := os.Create(tracePath(c.Name))
				require.NoError(t, err)
				require.NoError(t, c.Record(out))
				require.NoError(t, out.Close())
			}
			report, err := replay.File(tracePath(c.Name))
			require.NoError(t, err)
			require.True(t, report.HasStatedOutcomes)
			require.Empty(t, report.Differences)
			require.Empty(t, report.Violations)
		})
	}
}

// Guards against a changed decision that the replay does not report, or reports without the expected and the
// actual action.
func TestChangedDecisionIsReported(t *testing.T) {
	recorded := loadTrace(t, "slow-replica")
	query := recorded.Records[0].GetQuery()
	event := -1
	for i, step := range query.GetSteps() {
		if i > 0 && len(step.GetActions()) > 0 && scatter.ActionKind(step.GetActions()[0].GetKind()) == scatter.Send {
			event = i // the hedge
			step.Actions[0].Target = "other"
			break
		}
	}
	require.Positive(t, event)
	report := replay.Run(recorded)
	require.Len(t, report.Differences, 1)
	d := report.Differences[0]
	require.Equal(t, event, d.Event)
	require.Equal(t, "actions[0]", d.Field)
	require.Contains(t, d.Expected, "at other")
	require.Regexp(t, `send attempt \d+ for shard 0 at s0[xy]`, d.Actual)
}

// Guards against a replay that passes altered traces or outcomes. Each case changes one value.
func TestAlteredTracesAreReported(t *testing.T) {
	t.Run("sequence decreases", func(t *testing.T) {
		recorded := loadTrace(t, "racing-edits")
		for _, r := range recorded.Records {
			if o := r.GetOffer(); o.GetSubject() == "b" {
				o.InForce = 1
				break
			}
		}
		require.Len(t, replay.Run(recorded).Differences, 1)
	})
	t.Run("loans above the limit", func(t *testing.T) {
		recorded := loadTrace(t, "paused-holder")
		for _, r := range recorded.Records {
			if l := r.GetHolder().GetLoan(); l != nil {
				l.Loan.Amount.Rate = 100
				l.Loan.Amount.Concurrency = 100
			}
		}
		require.NotEmpty(t, replay.Run(recorded).Violations)
	})
	t.Run("stated outcome differs", func(t *testing.T) {
		dir := t.TempDir()
		raw, err := os.ReadFile(tracePath("target-crash"))
		require.NoError(t, err)
		copied := filepath.Join(dir, "x.trace.gz")
		require.NoError(t, os.WriteFile(copied, raw, 0o600))
		require.NoError(t, os.WriteFile(replay.OutcomesFile(copied), []byte(`{"queries":[]}`), 0o600))
		report, err := replay.File(copied)
		require.NoError(t, err)
		require.Empty(t, report.Differences)
		require.Len(t, report.Violations, 1)
	})
}

// Guards against invalid files that are accepted as traces or rejected with the wrong error.
func TestUnreadableTraces(t *testing.T) {
	whole, err := os.ReadFile(tracePath("target-crash"))
	require.NoError(t, err)
	var newer bytes.Buffer
	zip := gzip.NewWriter(&newer)
	_, err = protodelim.MarshalTo(zip, &tracepb.Header{Version: trace.FormatVersion + 1})
	require.NoError(t, err)
	require.NoError(t, zip.Close())
	var garbage bytes.Buffer
	zip = gzip.NewWriter(&garbage)
	_, err = zip.Write([]byte("\x04text and more text"))
	require.NoError(t, err)
	require.NoError(t, zip.Close())
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"empty":                   {nil, trace.ErrTruncated},
		"truncated":               {whole[:len(whole)-9], trace.ErrTruncated},
		"truncated in the header": {whole[:5], trace.ErrTruncated},
		"not gzip":                {[]byte("not a trace at all"), trace.ErrMalformed},
		"not messages":            {garbage.Bytes(), trace.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(bytes.NewReader(c.raw))
			require.ErrorIs(t, err, c.want)
		})
	}
	var version *trace.VersionError
	_, err = trace.Read(&newer)
	require.ErrorAs(t, err, &version)
	require.EqualValues(t, trace.FormatVersion+1, version.Version)
}
