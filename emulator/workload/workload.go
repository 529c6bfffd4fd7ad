// Package workload drives running instances with an open-loop load: the start times of requests do not depend
// on the responses, and latency is measured from the intended start.
package workload

import (
	_ "embed"
	"math"
	"time"

	"hyssopcroft.example/kernel/settings"
)

// Schema is the JSON schema of a workload file.
//
//go:embed workload.schema.json
var Schema []byte

const (
	defaultMaxInFlight = 1000
	defaultWeight      = 1
)

// Workload is the content of a workload file. The schema documents its keys.
type Workload struct {
	Seed        uint64            `json:"seed"`
	Duration    settings.Duration `json:"duration"`
	MaxRequests int               `json:"max_requests"`
	MaxInFlight int               `json:"max_in_flight"`
	Plans       []Plan            `json:"plans"`
}

// Plan describes the requests that one plan sends.
type Plan struct {
	Plan               string  `json:"plan"`
	RatePerSecond      float64 `json:"rate_per_second"`
	NonRepeatableShare float64 `json:"non_repeatable_share"`
	DeadlineMillis     int     `json:"deadline_ms"`
	Swing              *Swing  `json:"swing"`
	Mix                []Query `json:"mix"`
}

// Swing varies a rate over time as a cosine, as demand varies with the school terms.
type Swing struct {
	Period settings.Duration `json:"period"`
	Low    float64           `json:"low"`
	Phase  float64           `json:"phase"`
}

// Query is one entry in the request mix of a plan.
type Query struct {
	Index  string  `json:"index"`
	Query  string  `json:"query"`
	Weight float64 `json:"weight"`
}

// Load reads and validates a workload file. It returns a *settings.FaultsError that lists all faults.
func Load(file string) (Workload, error) {
	w, err := settings.Load[Workload](file, Schema)
	if w.MaxInFlight == 0 {
		w.MaxInFlight = defaultMaxInFlight
	}
	for i := range w.Plans {
		for j := range w.Plans[i].Mix {
			if q := &w.Plans[i].Mix[j]; q.Weight == 0 {
				q.Weight = defaultWeight
			}
		}
	}
	return w, err
}

// rateFactor returns the fraction of the full rate, from Low to 1, at a time after the start.
func (s *Swing) rateFactor(at time.Duration) float64 {
	if s == nil || s.Period <= 0 {
		return 1
	}
	cycles := float64(at)/float64(s.Period) - s.Phase
	return s.Low + (1-s.Low)*(1+math.Cos(2*math.Pi*cycles))/2
}
