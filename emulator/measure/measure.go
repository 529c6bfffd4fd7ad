// Package measure runs the real decisions in a seeded discrete-event driver in virtual time and
// compares them with a baseline. Each measure states its goal; a measure that misses its goal is
// reported as it is.
package measure

import (
	"cmp"
	"slices"
)

// Figures maps the name of a figure to its value. A name ends in its unit where it has one. A
// measure with several cases puts the case before the name, separated by a slash.
type Figures map[string]float64

// Goal is a bound for one figure. The bounds come from the project's stated goals, never from an
// earlier run.
type Goal struct {
	// Figure names a figure of Of.
	Figure string `json:"figure"`
	// Of is "result" or "ratio".
	Of    string  `json:"of"`
	Value float64 `json:"value"`
	// AtMost and AtLeast are the bounds; one of them is nil.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
	Pass    bool     `json:"pass"`
}

// Report is the result of one run of a measure.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Sizes lists what was run: numbers of shards, replicas, queries, delays.
	Sizes    Figures `json:"sizes"`
	Baseline Figures `json:"baseline"`
	Result   Figures `json:"result"`
	// Ratio holds result divided by baseline for the figures where that has a meaning.
	Ratio Figures `json:"ratio"`
	Goal  []Goal  `json:"goal"`
	// Pass is set if all goals were met.
	Pass bool `json:"pass"`
}

// Measure is a named experiment.
type Measure struct {
	Name    string
	Summary string
	// Run runs the baseline and then the present decision with the same seed, and fills Sizes,
	// Baseline, Result, Ratio and Goal of the report.
	Run func(seed uint64) Report
}

var registered []Measure

// Register adds a measure. It is to be called from the init function of the file that holds the
// measure, so that measures are added without an edit of a shared list.
func Register(m Measure) { registered = append(registered, m) }

// All returns the measures in the order of their names.
func All() []Measure {
	all := slices.Clone(registered)
	slices.SortFunc(all, func(a, b Measure) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Find returns the measure of the given name.
func Find(name string) (Measure, bool) {
	for _, m := range registered {
		if m.Name == name {
			return m, true
		}
	}
	return Measure{}, false
}

// Execute runs the measure and completes its report.
func (m Measure) Execute(seed uint64) Report {
	r := m.Run(seed)
	r.Name, r.Seed = m.Name, seed
	r.Pass = len(r.Goal) > 0
	for _, g := range r.Goal {
		r.Pass = r.Pass && g.Pass
	}
	return r
}

// NewReport returns a report with empty figures.
func NewReport() Report {
	return Report{Sizes: Figures{}, Baseline: Figures{}, Result: Figures{}, Ratio: Figures{}}
}

// SetRatio sets the ratio of a figure if the baseline is not 0.
func (r *Report) SetRatio(figure string) {
	if b := r.Baseline[figure]; b != 0 {
		r.Ratio[figure] = r.Result[figure] / b
	}
}

// ResultAtMost adds a goal for a figure of the result.
func (r *Report) ResultAtMost(figure string, bound float64) {
	v, ok := r.Result[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "result", Value: v, AtMost: &bound, Pass: ok && v <= bound})
}

// ResultAtLeast adds a goal for a figure of the result.
func (r *Report) ResultAtLeast(figure string, bound float64) {
	v, ok := r.Result[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "result", Value: v, AtLeast: &bound, Pass: ok && v >= bound})
}

// RatioAtMost compares a figure with the baseline and adds a goal for the ratio.
func (r *Report) RatioAtMost(figure string, bound float64) {
	r.SetRatio(figure)
	v, ok := r.Ratio[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "ratio", Value: v, AtMost: &bound, Pass: ok && v <= bound})
}
