package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTakeover reports the memory and the time that a takeover needs for each retained claim, without
// the store's time.
func BenchmarkTakeover(b *testing.B) {
	const (
		segments    = 100
		perSegment  = 1000
		claimsTotal = segments * perSegment
	)
	contents := map[string][]Record{}
	h := Head{Writer: "old", Batch: "old/1"}
	for s := range segments {
		name := fmt.Sprintf("3-old-%d", s)
		for n := range perSegment {
			k := Key(fmt.Sprintf("%d-%08x", startTime.UnixMilli()+int64(n), s*perSegment+n))
			contents[name] = append(contents[name], Record{Key: k, State: Done, Result: "credited"})
		}
		h.Segments = append(h.Segments, SegmentRef{Name: name, Newest: startTime.UnixMilli() + perSegment})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var l *Log
	for range b.N {
		l = New(3, "new")
		l.SetChosen(startTime, true)
		l.Submit(startTime, Submission{ID: 1, Key: Key(fmt.Sprintf("%d-x", startTime.UnixMilli())), First: true})
		actions := l.OnHead(startTime, h, 5)
		for actions[0].Kind == ReadSegment {
			actions = l.OnSegment(startTime, contents[actions[0].Segment])
		}
		l.OnWritten(startTime, 6)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claimsTotal, "B/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/claimsTotal, "ns/claim")
	runtime.KeepAlive(l)
	runtime.KeepAlive(contents)
}

// BenchmarkUpdate reports the time of one update of a head with up to 64 KB of claims.
func BenchmarkUpdate(b *testing.B) {
	l := New(3, "w")
	now := startTime
	l.SetChosen(now, true)
	submit := func() []Action {
		now = now.Add(time.Minute / 1000)
		k := Key(fmt.Sprintf("%d-%d", now.UnixMilli(), l.batches))
		return l.Submit(now, Submission{ID: SubmissionID(l.batches), Key: k, First: true})
	}
	submit()
	l.OnHead(now, Head{}, 0)
	v := Version(1)
	l.OnWritten(now, v)
	for range b.N {
		for _, a := range submit() {
			if a.Kind == WriteSegment {
				l.OnSegmentWritten(now)
			}
		}
		v++
		for _, a := range l.OnWritten(now, v) {
			if a.Kind == Send {
				l.OnResult(now, a.Key, Done, "credited")
			}
		}
	}
}
