package scale

import "math"

// Point is the value of a figure at one size.
type Point struct {
	At    float64 `json:"at"` // size, in units of Series.SizeUnit
	Value float64 `json:"value"`
}

// Fit is the straight line fitted to points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the points' distances from the line, in the figure's unit. Relative is the ratio
	// of Residual to the absolute value of the points' mean, or 0 if the mean is 0.
	Residual float64 `json:"residual"`
	Relative float64 `json:"relative"`
	// R2 is the fraction of the variance of the points' values that the line explains; 0 if the values don't vary.
	R2 float64 `json:"r2"`
}

// FitLine fits a line to points by least squares. It returns nil if the points have fewer than two sizes.
func FitLine(points []Point) *Fit {
	n := float64(len(points))
	var meanAt, mean float64
	for _, p := range points {
		meanAt += p.At / n
		mean += p.Value / n
	}
	var varianceAt, variance, covariance float64 // multiplied by the number of points
	for _, p := range points {
		varianceAt += (p.At - meanAt) * (p.At - meanAt)
		variance += (p.Value - mean) * (p.Value - mean)
		covariance += (p.At - meanAt) * (p.Value - mean)
	}
	if varianceAt == 0 {
		return nil
	}
	f := &Fit{Slope: covariance / varianceAt}
	f.Intercept = mean - f.Slope*meanAt
	squares := 0.0
	for _, p := range points {
		d := p.Value - f.Slope*p.At - f.Intercept
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / n)
	if mean != 0 {
		f.Relative = f.Residual / math.Abs(mean)
	}
	if variance > 0 {
		f.R2 = max(0, 1-squares/variance)
	}
	return f
}

// digits is the number of significant digits of a figure in a file.
const digits = 5

// round rounds a figure to the number of significant digits in a file.
func round(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return v
	}
	scale := math.Pow(10, digits-1-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func (f *Fit) rounded() *Fit {
	if f == nil {
		return nil
	}
	return &Fit{round(f.Slope), round(f.Intercept), round(f.Residual), round(f.Relative), round(f.R2)}
}
