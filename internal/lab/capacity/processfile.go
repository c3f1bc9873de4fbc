package capacity

import (
	"errors"
	"fmt"
	"path/filepath"

	"yokestall/internal/lab/process"
)

// processFile is what `yokestall lab process` has written.
type processFile struct {
	path   string
	values map[string]float64 // figures and dimensions of sizes, by name
}

// newProcessFile names what a report has. The error is of names that are the same in marks.
func newProcessFile(path string, r *process.Report) (processFile, error) {
	f := processFile{path: path, values: map[string]float64{}}
	add := func(name string, value float64) error {
		name = markName(name)
		if _, taken := f.values[name]; taken {
			return fmt.Errorf("%s: another figure is called %s too", path, name)
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

// LineAt implements File: a report has no series, and a page calculates lines from figures.
func (f processFile) LineAt(series string, _ float64) (float64, error) {
	return 0, fmt.Errorf("%s has no series %s: there are no lines in a report on a process", filepath.Base(f.path), series)
}
