package capacity

import (
	"fmt"
	"path/filepath"
	"strings"

	"yokestall/internal/lab/process"
)

// processFile is what `yokestall lab process` has written.
type processFile struct {
	path   string
	report *process.Report
}

// Value implements File.
func (f processFile) Value(name string) (float64, error) {
	if figure, found := f.report.Value(name); found {
		return figure.Value, nil
	}
	switch name {
	case "seed":
		return float64(f.report.Seed), nil
	case "cores":
		return float64(f.report.Machine.Cores), nil
	case "memory_mb":
		return float64(f.report.Machine.MemoryMB), nil
	case "load":
		return f.report.Machine.Load, nil
	}
	for _, size := range f.report.Sizes {
		if dimension, ofSize := strings.CutPrefix(name, size.Name+"."); ofSize {
			if v, known := dimensionOf(size, dimension); known {
				return v, nil
			}
		}
	}
	return 0, fmt.Errorf("%s has no %s", filepath.Base(f.path), name)
}

// At implements File: a report has no series, and a page works lines out from figures.
func (f processFile) At(series string, _ float64) (float64, error) {
	return 0, fmt.Errorf("%s has no series %s: there are no lines in a report on a process", filepath.Base(f.path), series)
}

// dimensionOf gives a dimension of a size as it was measured.
func dimensionOf(size process.Size, name string) (float64, bool) {
	dimensions := map[string]int{
		"services": size.Services, "servers": size.Servers, "routes": size.Routes, "tenants": size.Tenants, "nodes": size.Nodes,
	}
	v, known := dimensions[name]
	return float64(v), known
}
