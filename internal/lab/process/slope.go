package process

import (
	"math"
	"strings"
)

// Fit is a straight line through figures of several sizes, by least squares.
type Fit struct {
	Key       string  `json:"key"` // the slope's name, a dot, and what was measured
	Dimension string  `json:"per"` // the dimension of sizes
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"` // standard error of the regression, in the figure's unit
	Points    int     `json:"points"`
	Unit      string  `json:"unit"` // of the figure
}

// fit lays a line through points by least squares; false: the points have fewer than two places, or there are not
// three.
func fit(x, y []float64) (f Fit, ok bool) {
	n := float64(len(x))
	if len(x) < 3 {
		return f, false
	}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var xx, xy float64
	for i := range x {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
	}
	if xx == 0 {
		return f, false
	}
	f.Slope = xy / xx
	f.Intercept = meanY - f.Slope*meanX
	var squares float64
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / (n - 2))
	f.Points = len(x)
	return f, true
}

// isWallTime tells whether a figure is a time by the clock, which says more of the machine's other work than of the size.
func isWallTime(what string) bool {
	for _, part := range []string{".wall", ".in_force_", ".added_"} {
		if strings.Contains(what, part) {
			return true
		}
	}
	return false
}

// slope holds each figure that all of a slope's measured sizes have against their dimension, but for times by the
// clock.
func (r *Report) slope(s Slope) {
	var sizes []Size
	for _, name := range s.Sizes {
		for _, size := range r.Sizes {
			if size.Name == name {
				sizes = append(sizes, size)
			}
		}
	}
	if len(sizes) < len(s.Sizes) {
		r.note("slope %s: %d of %d sizes were measured", s.Name, len(sizes), len(s.Sizes))
	}
	if len(sizes) == 0 {
		return
	}
	fitted := 0
	for _, first := range r.Figures {
		what, ok := strings.CutPrefix(first.Key, sizes[0].Name+".")
		if !ok || isWallTime(what) {
			continue
		}
		var x, y []float64
		for _, size := range sizes {
			if f, ok := r.Value(size.Name + "." + what); ok {
				x, y = append(x, float64(dimensions[s.Dimension](size))), append(y, f.Value)
			}
		}
		if f, ok := fit(x, y); ok {
			f.Key, f.Dimension, f.Unit = s.Name+"."+what, s.Dimension, first.Unit
			r.Slopes = append(r.Slopes, f)
			fitted++
		}
	}
	if fitted == 0 {
		r.note("slope %s: nothing to fit: fewer than three sizes that differ in %s were measured", s.Name, s.Dimension)
	}
}
