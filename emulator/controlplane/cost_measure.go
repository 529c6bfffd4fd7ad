package controlplane

import (
	"fmt"

	"hyssopcroft.example/emulator/measure"
)

func init() {
	measure.Register(measure.Measure{
		Name: "control-cost", Run: runCost,
		Summary: "Cost of control for an instance at 8 to 128 instances on loopback, and its slope (real time, 6 minutes)",
	})
}

// costSizes are the measured fleet sizes.
var costSizes = []int{8, 16, 32, 64, 128}

// The goals are half of what an instance may use for control, so that the other half remains for costs that the
// measure does not cover.
const (
	goalCPUPercent     = 4.7 / 2
	goalMemoryKB       = 64_000.0 / 2
	goalBytesPerSecond = 6_000.0 / 2
)

// figures returns the figures to which lines over the fleet size are fitted.
func (c Cost) figures() measure.Figures {
	changes := (c.CPUMillisPerEdit*editsPerDay + c.CPUMillisPerRestart*(restartsPerDay+crashesPerDay)) / 1000 / secondsPerDay
	out := measure.Figures{
		"bytes_per_s": c.BytesPerSecond, "quiet_bytes_per_s": c.QuietBytesPerSecond,
		"bytes_per_edit": c.BytesPerEdit, "bytes_per_restart": c.BytesPerRestart,
		"messages_per_s": c.MessagesPerSecond, "cpu_percent": c.CPUPercent + 100*changes, "memory_kB": c.MemoryKB,
		"store_bytes_per_s": c.StoreBytesPerSecond,
	}
	for purpose, calls := range c.StoreCallsPerSecond {
		out["fleet_store_calls_per_s_"+purpose] = calls
	}
	return out
}

func runCost(seed uint64) measure.Report {
	r := measure.NewReport()
	values := map[string][]float64{}
	var sizes []float64
	warmUp(seed)
	for _, size := range costSizes {
		c, err := MeasureCost(size, seed)
		if err != nil {
			// The report lacks the figures of this size, and no lines are fitted.
			r.Sizes[fmt.Sprintf("failed: %d instances: %s", size, err)] = 1
			continue
		}
		sizes = append(sizes, float64(size))
		r.Sizes[fmt.Sprintf("%d instances", size)] = float64(size)
		for figure, v := range c.figures() {
			r.Result[fmt.Sprintf("%03d/%s", size, figure)] = v
			values[figure] = append(values[figure], v)
		}
	}
	if len(sizes) == len(costSizes) {
		for figure, v := range values {
			fit := FitLine(sizes, v)
			r.Result["slope/"+figure] = fit.Slope
			r.Result["slope_standard_error/"+figure] = fit.SlopeStdErr
			r.Result["at_780/"+figure] = fit.AtTarget
			r.Result["at_780_standard_error/"+figure] = fit.AtTargetStdErr
		}
	}
	r.ResultAtMost("at_780/cpu_percent", goalCPUPercent)
	r.ResultAtMost("at_780/memory_kB", goalMemoryKB)
	r.ResultAtMost("at_780/bytes_per_s", goalBytesPerSecond)
	return r
}

// warmUp starts and stops a small fleet, so that one-time allocations of the process are not counted.
func warmUp(seed uint64) {
	f, err := StartFleet(costSizes[0], NewNetwork(seed, Faults{}))
	if err != nil {
		return // The measured fleets report the error.
	}
	f.Stop()
}
