package capacity

import (
	"errors"
	"fmt"
	"path/filepath"

	"yokestall/internal/lab/process"
)

// processFile is a file of figures written by `yokestall lab process`.
type processFile struct {
	path   string
	values map[string]float64 // figures, dimensions of sizes and properties of the run, by their names in marks
}

// newProcessFile collects the values of a report under their names in marks. It returns an error if two values have the
// same name.
func newProcessFile(path string, r *process.Report) (processFile, error) {
	f := processFile{path: path, values: map[string]float64{}}
	add := func(name string, value float64) error {
		name = markName(name)
		if _, taken := f.values[name]; taken {
			return fmt.Errorf("%s: another figure has the name %s in marks too", path, name)
		}
		f.values[name] = value
		return nil
	}
	var problems []error
	for _, figure := range r.Figures {
		problems = append(problems, add(figure.Key, figure.Value))
	}
	for _, size := range r.Sizes {
		for dimension, value := range map[string]int{
			"services": size.Services,
			"servers":  size.Servers,
			"routes":   size.Routes,
			"tenants":  size.Tenants,
			"nodes":    size.Nodes,
		} {
			problems = append(problems, add(size.Name+"."+dimension, float64(value)))
		}
	}
	for name, value := range map[string]float64{
		"seed":      float64(r.Seed),
		"cores":     float64(r.Machine.Cores),
		"memory_mb": float64(r.Machine.MemoryMB),
		"load":      r.Machine.Load,
	} {
		problems = append(problems, add(name, value))
	}
	return f, errors.Join(problems...)
}

// Value implements File.
func (f processFile) Value(name string) (float64, error) {
	if v, known := f.values[name]; known {
		return v, nil
	}
	return 0, fmt.Errorf("%s has no %s", filepath.Base(f.path), name)
}

// LineAt implements File. It always returns an error, because a report on a process has no series: a page calculates
// lines from the report's figures instead.
func (f processFile) LineAt(series string, _ float64) (float64, error) {
	return 0, fmt.Errorf("%s has no series %s: a report on a process has no fitted lines", filepath.Base(f.path), series)
}
