package quarantine_test

import (
	"testing"

	"hyssopcroft.example/query/quarantine"
)

// BenchmarkKnownShape measures the cost of a request of a known shape: its fingerprint, its admission and
// the recording of its answer.
func BenchmarkKnownShape(b *testing.B) {
	l := quarantine.NewList()
	for b.Loop() {
		f, s := quarantine.Identify("ledger", "return of washed jars, entry 1 of shard 0")
		l.Admit(start, f, s)
		l.RecordAnswer(f, s)
	}
}
