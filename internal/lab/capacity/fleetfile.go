package capacity

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"yokestall/internal/lab/scale"
)

// lateNodesPrefix is the prefix of figures' names that count the late nodes of a step.
const lateNodesPrefix = "untold."

// errNoLine is the error for a series without a fitted line, because its points have fewer than two sizes.
var errNoLine = errors.New("the series has no fitted line: its points have fewer than two sizes")

// fleetFile is a file of figures written by `yokestall lab scale`, or a file of named numbers.
type fleetFile struct {
	path    string
	figures *scale.Figures
}

// Value implements File.
func (f fleetFile) Value(name string) (float64, error) {
	if v, known := f.figures.Numbers[name]; known {
		return v, nil
	}
	if v, known := property(f.figures, name); known {
		return v, nil
	}
	if step, isLateNodes := strings.CutPrefix(name, lateNodesPrefix); isLateNodes {
		return f.lateNodes(step)
	}
	dot := strings.LastIndexByte(name, '.')
	if dot < 0 {
		return 0, fmt.Errorf("%s has no %s", f.fileName(), name)
	}
	s, err := f.series(name[:dot])
	if err != nil {
		return 0, err
	}
	v, err := seriesField(s, name[dot+1:])
	if err != nil {
		return 0, fmt.Errorf("%s:%s: %w", f.fileName(), name[:dot], err)
	}
	return v, nil
}

// LineAt implements File.
func (f fleetFile) LineAt(series string, size float64) (float64, error) {
	s, err := f.series(series)
	if err != nil {
		return 0, err
	}
	if s.Fit == nil {
		return 0, fmt.Errorf("%s:%s: %w", f.fileName(), series, errNoLine)
	}
	return s.Fit.Slope*size + s.Fit.Intercept, nil
}

// fileName returns the file's base name, for messages.
func (f fleetFile) fileName() string { return filepath.Base(f.path) }

// series returns the series with the given key.
func (f fleetFile) series(key string) (*scale.Series, error) {
	s := f.figures.Series[key]
	if s == nil {
		return nil, fmt.Errorf("%s has no series %s", f.fileName(), key)
	}
	return s, nil
}

// lateNodes returns the number of nodes that did not act on a version within the timeout, for a name of the form
// STEP.nSIZE. A step that waits several times can have several entries for a size; the last entry counts.
func (f fleetFile) lateNodes(name string) (float64, error) {
	step, size, found := strings.Cut(name, ".n")
	at, err := strconv.Atoi(size)
	if !found || err != nil {
		return 0, fmt.Errorf("%s%s is not %sSTEP.nSIZE", lateNodesPrefix, name, lateNodesPrefix)
	}
	count := -1 // count of the last entry for the step and size; -1 if there is none
	for _, u := range f.figures.Late {
		if u.Step == step && u.Size == at {
			count = u.Count
		}
	}
	if count < 0 {
		return 0, fmt.Errorf("%s has no late nodes in step %s at size %d", f.fileName(), step, at)
	}
	return float64(count), nil
}

// property returns a property of a run by its name. It returns false if there is no property of that name, or if the file
// has no series and so was not written by a run.
func property(f *scale.Figures, name string) (float64, bool) {
	properties := map[string]float64{
		"voters":    float64(f.Voters),
		"serves":    float64(f.ServeProcesses),
		"regions":   float64(f.Regions),
		"zones":     float64(f.Zones),
		"seed":      float64(f.Seed),
		"cores":     float64(f.Machine.Cores),
		"memory_mb": float64(f.Machine.MemoryMB),
		"clusters":  float64(f.Content.Clusters),
		"servers":   float64(f.Content.Servers),
		"routes":    float64(f.Content.Routes),
		"tenants":   float64(f.Content.Tenants),
	}
	v, known := properties[name]
	return v, known && len(f.Series) > 0
}

// seriesField returns a field of a series by its name in marks.
func seriesField(s *scale.Series, field string) (float64, error) {
	switch field {
	case "mean":
		return s.Mean, nil
	case "most":
		return s.Max, nil
	}
	if size, isSize := strings.CutPrefix(field, "n"); isSize {
		if number, err := strconv.ParseUint(size, 10, 32); err == nil {
			return valueAt(s, float64(number))
		}
	}
	if s.Fit == nil {
		return 0, errNoLine
	}
	fields := map[string]float64{
		"slope":     s.Fit.Slope,
		"intercept": s.Fit.Intercept,
		"residual":  s.Fit.Residual,
		"relative":  s.Fit.Relative,
		"r2":        s.Fit.R2,
	}
	v, known := fields[field]
	if !known {
		return 0, fmt.Errorf("a series has no field %s", field)
	}
	return v, nil
}

// valueAt returns the mean value of a series' points at a size.
func valueAt(s *scale.Series, size float64) (float64, error) {
	total, count := 0.0, 0
	for _, p := range s.Points {
		if p.At == size {
			total += p.Value
			count++
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("the series has no point at size %v", size)
	}
	return total / float64(count), nil
}
