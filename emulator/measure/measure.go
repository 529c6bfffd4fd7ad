// Package measure runs the production decision code in a seeded discrete-event simulation in virtual
// time and compares it with a baseline. Each measure states its goals and reports a missed goal as
// missed.
package measure

import (
	"cmp"
	"slices"
)

// Figures maps the name of a figure to its value. A name ends with the unit, if any. In a measure with
// several cases the name is preceded by the name of the case and a slash.
type Figures map[string]float64

// Goal is a bound for one figure. Bounds come from the project's stated goals, never from an earlier run.
type Goal struct {
	// Figure is the name of a figure of the group Of.
	Figure string `json:"figure"`
	// Of is the group of the figure: "result" or "ratio".
	Of    string  `json:"of"`
	Value float64 `json:"value"`
	// AtMost and AtLeast are the upper and the lower bound; one of them is nil.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
	Pass    bool     `json:"pass"`
}

// Report is the result of one run of a measure.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Sizes holds the parameters of the run, such as the numbers of shards, replicas and queries.
	Sizes    Figures `json:"sizes"`
	Baseline Figures `json:"baseline"`
	Result   Figures `json:"result"`
	// Ratio holds the result divided by the baseline for the figures that are compared.
	Ratio Figures `json:"ratio"`
	Goal  []Goal  `json:"goal"`
	// Pass is true if there is at least one goal and all goals were met.
	Pass bool `json:"pass"`
}

// Measure is a named experiment.
type Measure struct {
	Name    string
	Summary string
	// Run runs the baseline and the current decisions with the same seed, and sets Sizes, Baseline,
	// Result, Ratio and Goal of the report.
	Run func(seed uint64) Report
}

var registered []Measure

// Register adds a measure. It must be called from the init function of the file that contains the
// measure, so that no shared list must be edited.
func Register(m Measure) { registered = append(registered, m) }

// All returns the measures, ordered by name.
func All() []Measure {
	all := slices.Clone(registered)
	slices.SortFunc(all, func(a, b Measure) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Find returns the measure with the given name.
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

// SetRatio sets the ratio of a figure unless the baseline is 0.
func (r *Report) SetRatio(figure string) {
	if b := r.Baseline[figure]; b != 0 {
		r.Ratio[figure] = r.Result[figure] / b
	}
}

// ResultAtMost adds the goal that a figure of the result is at most bound.
func (r *Report) ResultAtMost(figure string, bound float64) {
	v, ok := r.Result[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "result", Value: v, AtMost: &bound, Pass: ok && v <= bound})
}

// ResultAtLeast adds the goal that a figure of the result is at least bound.
func (r *Report) ResultAtLeast(figure string, bound float64) {
	v, ok := r.Result[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "result", Value: v, AtLeast: &bound, Pass: ok && v >= bound})
}

// RatioAtMost sets the ratio of a figure and adds the goal that it is at most bound.
func (r *Report) RatioAtMost(figure string, bound float64) {
	r.SetRatio(figure)
	v, ok := r.Ratio[figure]
	r.Goal = append(r.Goal, Goal{Figure: figure, Of: "ratio", Value: v, AtMost: &bound, Pass: ok && v <= bound})
}
