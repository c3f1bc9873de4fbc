package process

import (
	"math"
	"strings"
)

// Fit is a straight line that was fitted to a figure of several sizes by least squares.
type Fit struct {
	Key       string  `json:"key"`   // name of the slope, a dot, and the name of the figure
	Dimension string  `json:"per"`   // dimension of the sizes: services, routes or tenants
	Slope     float64 `json:"slope"` // in the figure's unit per service, route or tenant
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"` // standard error of the regression, in the figure's unit
	Points    int     `json:"points"`
	Unit      string  `json:"unit"` // unit of the figure
}

// minFitPoints is the minimum number of points for a fit: a line through two points never has a residual.
const minFitPoints = 3

// fit fits a line by least squares. It returns false if there are fewer than minFitPoints points, or if all have the same x.
func fit(x, y []float64) (f Fit, ok bool) {
	n := float64(len(x))
	if len(x) < minFitPoints {
		return f, false
	}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var xx, xy float64 // variance of x, and covariance of x and y, both multiplied by n
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

// isWallTime reports whether a figure, by its name, is a wall time. Wall times depend more on the machine's other work than on
// the size.
func isWallTime(name string) bool {
	for _, part := range []string{".wall", ".in_force_", ".added_"} {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// slope adds a fit over the slope's dimension for each figure of its measured sizes that is not a wall time. A figure is fitted
// only if the first measured size has it, and at least minFitPoints sizes in all.
func (r *Report) slope(s Slope) {
	sizes := r.measured(s.Sizes)
	if len(sizes) < len(s.Sizes) {
		r.note("slope %s: %d of %d sizes were measured", s.Name, len(sizes), len(s.Sizes))
	}
	if len(sizes) == 0 {
		return
	}
	fitted := 0
	for _, first := range r.Figures {
		name, ok := strings.CutPrefix(first.Key, sizes[0].Name+".")
		if !ok || isWallTime(name) {
			continue
		}
		x, y := r.points(sizes, s.Dimension, name)
		if f, ok := fit(x, y); ok {
			f.Key, f.Dimension, f.Unit = s.Name+"."+name, s.Dimension, first.Unit
			r.Slopes = append(r.Slopes, f)
			fitted++
		}
	}
	if fitted == 0 {
		r.note("slope %s: no figure fitted, fewer than three sizes that differ in %s were measured", s.Name, s.Dimension)
	}
}

// measured returns the measured sizes with these names, in the order of the names.
func (r *Report) measured(names []string) (sizes []Size) {
	for _, name := range names {
		for _, size := range r.Sizes {
			if size.Name == name {
				sizes = append(sizes, size)
			}
		}
	}
	return sizes
}

// points returns the dimension (x) and the figure (y) of each size that has the figure.
func (r *Report) points(sizes []Size, dimension, figure string) (x, y []float64) {
	for _, size := range sizes {
		if f, ok := r.Value(size.Name + "." + figure); ok {
			x = append(x, float64(dimensions[dimension](size)))
			y = append(y, f.Value)
		}
	}
	return x, y
}
