package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against checks that miss violations: each wrong answer below must be reported.
func TestChecksFindWrongAnswers(t *testing.T) {
	const id = "r1"
	validAnswer := func() (*http.Response, string) {
		var stamps, all []string
		for _, service := range shardNames() {
			stamps = append(stamps, stamp(service+"-1", id))
			all = append(all, records(stamps[len(stamps)-1])...)
		}
		slices.Sort(all)
		slices.Reverse(all)
		w := httptest.NewRecorder()
		w.Header().Set("Part-Stamps", strings.Join(stamps, ", "))
		return w.Result(), strings.Join(all[:topK], "")
	}
	for name, c := range map[string]struct {
		tamper func(r *http.Response, body *string)
		want   string
	}{
		"unchanged":               {func(*http.Response, *string) {}, ""},
		"record lost":             {func(_ *http.Response, body *string) { *body = (*body)[16:] }, "merge"},
		"wrong missing count":     {func(r *http.Response, _ *string) { r.Header.Set("Missing-Parts", "1") }, "coverage"},
		"part of another request": {func(r *http.Response, _ *string) { replace(r, ".r1", ".r2") }, "mixed"},
		"shard twice":             {func(r *http.Response, _ *string) { replace(r, "shard0-1", "shard1-2") }, "mixed"},
		"shard missing":           {func(r *http.Response, _ *string) { replace(r, "shard0-1.r1, ", "") }, "coverage"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &soak{recorder: newRecorder()}
			resp, body := validAnswer()
			resp.Header.Add("Missing-Parts", "0")
			c.tamper(resp, &body)
			(&caller{soak: s}).checkMerged(id, resp, body)
			found := strings.Join(s.recorder.finalCheck(), "\n")
			if c.want == "" {
				require.Empty(t, found)
				return
			}
			require.Contains(t, found, c.want)
		})
	}
}

func replace(r *http.Response, from, to string) {
	r.Header.Set("Part-Stamps", strings.Replace(r.Header.Get("Part-Stamps"), from, to, 1))
}

// Guards against a recorder that misses a non-idempotent request that ran twice, or a refused request that ran.
func TestRecorder(t *testing.T) {
	r := newRecorder()
	r.recordRun("a", "single", pathOnce)
	r.recordRun("b", "shard1", pathAll)
	r.recordRun("b", "shard2", pathAll)
	r.recordRefused("c")
	require.Empty(t, r.finalCheck())
	r.recordRun("a", "single", pathOnce)
	r.recordRun("c", "single", pathOnce)
	found := strings.Join(r.finalCheck(), "\n")
	require.Contains(t, found, "twice: request a")
	require.Contains(t, found, "refused: request c")
}

// Guards against a check that does not detect that the version of the routes decreases.
func TestMayRouteMovedTo(t *testing.T) {
	s := &soak{latestVersion: 6}
	require.True(t, s.mayRouteMovedTo(5, movedService(5)))
	require.True(t, s.mayRouteMovedTo(5, movedService(6)))
	require.False(t, s.mayRouteMovedTo(5, movedService(4)))
	require.False(t, s.mayRouteMovedTo(6, movedService(5)))
	require.True(t, s.mayRouteMovedTo(0, movedService(4)), "no version is known to be in force")
}

// Guards against a check that misses a searcher that gets more requests than it states, or that counts those of windows
// that faults may have disturbed.
func TestCheckRate(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		interval time.Duration
		since    time.Time
		violated bool
	}{
		"within":      {250 * time.Millisecond, start, false}, // 16 in 4 s, 17 allowed
		"beyond":      {200 * time.Millisecond, start, true},  // 20 in 4 s
		"not counted": {200 * time.Millisecond, start.Add(17 * time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &searcher{id: "s", recorder: newRecorder(), rateLimit: 2}
			for n := range int(20 * time.Second / c.interval) {
				s.arrivals = append(s.arrivals, start.Add(time.Duration(n)*c.interval))
			}
			s.checkRate(c.since)
			require.Equal(t, c.violated, len(s.recorder.finalCheck()) > 0)
		})
	}
}
