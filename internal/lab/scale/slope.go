package scale

import "math"

// Point is a figure at a size.
type Point struct {
	At    float64 `json:"at"` // what the size is counted in; nodes unless the series says otherwise
	Value float64 `json:"value"`
}

// Fit is the straight line through points with the least squares of what is left over.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root of the mean square of what the line leaves over, in the figure's unit, and Relative is its
	// share of the points' mean.
	Residual float64 `json:"residual"`
	Relative float64 `json:"relative"`
	// R2 is the share of the points' variance that the line explains; 0 where they don't vary.
	R2 float64 `json:"r2"`
}

// FitLine fits a line. It is nil where the points are at less than two sizes.
func FitLine(points []Point) *Fit {
	n := float64(len(points))
	var meanAt, mean float64
	for _, p := range points {
		meanAt += p.At / n
		mean += p.Value / n
	}
	var spreadAt, spread, both float64
	for _, p := range points {
		spreadAt += (p.At - meanAt) * (p.At - meanAt)
		spread += (p.Value - mean) * (p.Value - mean)
		both += (p.At - meanAt) * (p.Value - mean)
	}
	if spreadAt == 0 {
		return nil
	}
	f := &Fit{Slope: both / spreadAt}
	f.Intercept = mean - f.Slope*meanAt
	left := 0.0
	for _, p := range points {
		d := p.Value - f.Slope*p.At - f.Intercept
		left += d * d
	}
	f.Residual = math.Sqrt(left / n)
	if mean != 0 {
		f.Relative = f.Residual / math.Abs(mean)
	}
	if spread > 0 {
		f.R2 = max(0, 1-left/spread)
	}
	return f
}

// digits is how many digits of a figure are kept in a file.
const digits = 5

// round keeps the first digits of a figure.
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
