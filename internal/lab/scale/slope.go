package scale

import "math"

// Point is the value of a figure at a size.
type Point struct {
	At    float64 `json:"at"` // the size, in Series.SizeUnit
	Value float64 `json:"value"`
}

// Fit is the straight line through points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root of the mean square of the points' distances from the line, in the figure's unit, and
	// Relative is its ratio to the points' mean.
	Residual float64 `json:"residual"`
	Relative float64 `json:"relative"`
	// R2 is the fraction of the points' variance that the line explains; 0 where they don't vary.
	R2 float64 `json:"r2"`
}

// FitLine fits a line; nil: the points are at less than two sizes.
func FitLine(points []Point) *Fit {
	n := float64(len(points))
	var meanAt, mean float64
	for _, p := range points {
		meanAt += p.At / n
		mean += p.Value / n
	}
	var varianceAt, variance, covariance float64 // times n
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

// digits is how many significant digits a figure has in a file.
const digits = 5

// round rounds a figure to its significant digits.
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
