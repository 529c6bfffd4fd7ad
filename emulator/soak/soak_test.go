package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
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

// Guards against a check that misses crashes after the third, or blames instances for what a restored store has lost.
func TestCheckFindsLateCrashes(t *testing.T) {
	seconds := func(n ...int) []time.Time {
		var out []time.Time
		for _, s := range n {
			out = append(out, time.Unix(int64(s), 0))
		}
		return out
	}
	for name, c := range map[string]struct {
		crashes, restores, kills []time.Time
		found                    bool
	}{
		"none":                 {nil, nil, nil, false},
		"two":                  {seconds(1, 2), nil, nil, false},
		"soon":                 {seconds(1, 2, 3, 4, 5, 6, 7, 8), nil, nil, false},
		"late, allowed":        {seconds(1, 2, 3, 20, 21, 22), nil, nil, false},
		"late":                 {seconds(1, 2, 3, 20, 21, 22, 23), nil, nil, true},
		"lost by the store":    {seconds(1, 2, 3, 20, 21, 22, 23), seconds(19), seconds(18), false},
		"known to instances":   {seconds(1, 2, 3, 20, 21, 22, 23), seconds(19), nil, true},
		"kept by the store":    {seconds(1, 2, 3, 20, 21, 22, 23), nil, seconds(19), true},
		"long after a restore": {seconds(1, 2, 3, 40, 41, 42, 43), seconds(19), seconds(18), true},
	} {
		s := &soak{recorder: newRecorder(), crashes: c.crashes, restores: c.restores, killsOfAll: c.kills}
		s.checkCrashes()
		require.Equal(t, c.found, len(s.recorder.finalCheck()) > 0, name)
	}
}

// Guards against a stand-in that keeps what a restore has to lose, or that answers a watch of an earlier era.
func TestRestoreLosesLatestWrites(t *testing.T) {
	synctest.Test(t, testRestore)
}

func testRestore(t *testing.T) {
	s := newStore()
	s.put("servers", "a", 1)
	time.Sleep(20 * time.Millisecond)
	s.put("servers", "a", 2)
	s.put("servers", "b", 3)
	s.put("quarantine", "current", 4)
	require.EqualValues(t, 5, s.revision)
	writeAgain := s.restore(10 * time.Millisecond)
	require.EqualValues(t, 2, s.revision)
	require.Equal(t, "1", string(s.objects["servers"]["a"].Spec))
	require.NotContains(t, s.objects["servers"], "b")
	require.Empty(t, s.objects["quarantine"])
	_, _, _, gone := s.eventsSince("servers", 2, "0")
	require.True(t, gone)
	_, _, _, gone = s.eventsSince("servers", 2, "1")
	require.False(t, gone)
	writeAgain()
	require.Equal(t, "2", string(s.objects["servers"]["a"].Spec))
	require.Equal(t, "3", string(s.objects["servers"]["b"].Spec))
	require.Empty(t, s.objects["quarantine"], "the system has to write that again itself")
}
