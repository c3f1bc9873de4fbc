package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
)

// Figure is one measured value.
type Figure struct {
	Key   string  `json:"key"` // the size's name, a dot, and what was measured
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

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

// Machine is what a report was measured on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	System   string  `json:"system"`
	Go       string  `json:"go"`
	Load     float64 `json:"load_1m"` // the machine's load average as the run began: others may be at work
}

// Report is what a run of a plan gives.
type Report struct {
	Command string   `json:"command"`
	Commit  string   `json:"commit"`
	Began   string   `json:"began"`
	Seed    uint64   `json:"seed"`
	Machine Machine  `json:"machine"`
	Sizes   []Size   `json:"sizes"` // as measured
	Figures []Figure `json:"figures"`
	Slopes  []Fit    `json:"slopes"`
	Notes   []string `json:"notes"` // what was refused, void, or could not be measured
}

// Value gives a figure.
func (r *Report) Value(key string) (Figure, bool) {
	for _, f := range r.Figures {
		if f.Key == key {
			return f, true
		}
	}
	return Figure{}, false
}

func (r *Report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// JSON gives the report as its file has it.
func (r *Report) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
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

// revision is the commit that the program was built from, as the Go command stamps it.
func revision() string {
	commit, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				commit = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	return commit + changed
}

// machine describes the machine; what can't be read is left 0.
func machine() Machine {
	m := Machine{Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		if bytes, err := statusBytes(string(text), "MemTotal:"); err == nil {
			m.MemoryMB = bytes >> 20
		}
	}
	if load, err := loadAverage(); err == nil {
		m.Load = load
	}
	return m
}

// loadAverage gives the machine's load over the last minute.
func loadAverage() (float64, error) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, err
	}
	first, _, ok := strings.Cut(string(text), " ")
	if !ok {
		return 0, errors.New("/proc/loadavg: no fields")
	}
	return strconv.ParseFloat(first, 64)
}
