package controlplane

import "math"

// Fit is a straight line fitted to values over the fleet size.
type Fit struct {
	Intercept float64 `json:"intercept"`
	// Slope is the change per additional instance, and SlopeStdErr its standard error.
	Slope       float64 `json:"slope"`
	SlopeStdErr float64 `json:"slope_standard_error"`
	// AtTarget is the value of the line at targetSize, and AtTargetStdErr its standard error.
	AtTarget       float64 `json:"at_target"`
	AtTargetStdErr float64 `json:"at_target_standard_error"`
}

// targetSize is the number of instances for which the system is designed.
const targetSize = 780

// FitLine fits a line to values over sizes by least squares. It needs at least three different sizes.
func FitLine(sizes, values []float64) Fit {
	n := float64(len(sizes))
	meanX, meanY := mean(sizes), mean(values)
	var xx, xy float64
	for i := range sizes {
		xx += (sizes[i] - meanX) * (sizes[i] - meanX)
		xy += (sizes[i] - meanX) * (values[i] - meanY)
	}
	f := Fit{Slope: xy / xx}
	f.Intercept = meanY - f.Slope*meanX
	f.AtTarget = f.Intercept + f.Slope*targetSize
	var squares float64
	for i := range sizes {
		residual := values[i] - f.Intercept - f.Slope*sizes[i]
		squares += residual * residual
	}
	variance := squares / (n - 2)
	f.SlopeStdErr = math.Sqrt(variance / xx)
	f.AtTargetStdErr = math.Sqrt(variance * (1/n + (targetSize-meanX)*(targetSize-meanX)/xx))
	return f
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
