package capacity

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"yokestall/internal/lab/scale"
)

// Files are files of figures, by their names without the folder and ".json".
type Files map[string]*scale.Figures

// Read reads all files of figures of a folder.
func Read(folder string) (Files, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: has no files of figures", folder)
	}
	files := Files{}
	for _, path := range paths {
		f, err := scale.ReadFigures(path)
		if err != nil {
			return nil, err
		}
		files[strings.TrimSuffix(filepath.Base(path), ".json")] = f
	}
	return files, nil
}

func (files Files) file(name string) (*scale.Figures, error) {
	f := files[name]
	if f == nil {
		return nil, fmt.Errorf("there is no file of figures %s.json", name)
	}
	return f, nil
}

// Value gives what the file says.
func (g Figure) Value(files Files) (float64, error) {
	f, err := files.file(g.File)
	if err != nil {
		return 0, err
	}
	if v, known := f.Numbers[g.Name]; known {
		return v, nil
	}
	if v, known := property(f, g.Name); known {
		return v, nil
	}
	dot := strings.LastIndexByte(g.Name, '.')
	if dot < 0 {
		return 0, fmt.Errorf("%s.json has no %s", g.File, g.Name)
	}
	key, field := g.Name[:dot], g.Name[dot+1:]
	s := f.Series[key]
	if s == nil {
		return 0, fmt.Errorf("%s.json has no series %s", g.File, key)
	}
	v, err := fieldOf(s, field)
	if err != nil {
		return 0, fmt.Errorf("%s:%s: %w", g.File, key, err)
	}
	return v, nil
}

// property gives one of a run's own.
func property(f *scale.Figures, name string) (float64, bool) {
	properties := map[string]float64{
		"voters": float64(f.Voters), "serves": float64(f.Serves), "regions": float64(f.Regions), "zones": float64(f.Zones), "seed": float64(f.Seed),
		"cores": float64(f.Machine.Cores), "memory_mb": float64(f.Machine.MemoryMB), "clusters": float64(f.Content.Clusters),
		"servers": float64(f.Content.Servers), "routes": float64(f.Content.Routes), "tenants": float64(f.Content.Tenants),
	}
	v, known := properties[name]
	return v, known && len(f.Series) > 0
}

// fieldOf gives a field of a series.
func fieldOf(s *scale.Series, field string) (float64, error) {
	switch field {
	case "mean":
		return s.Mean, nil
	case "most":
		return s.Most, nil
	}
	if size, isSize := strings.CutPrefix(field, "n"); isSize {
		if at, err := strconv.ParseUint(size, 10, 32); err == nil {
			return valueAt(s, float64(at))
		}
	}
	if s.Fit == nil {
		return 0, fmt.Errorf("there is no line through its points")
	}
	fields := map[string]float64{
		"slope": s.Fit.Slope, "intercept": s.Fit.Intercept, "residual": s.Fit.Residual, "relative": s.Fit.Relative, "r2": s.Fit.R2,
	}
	v, known := fields[field]
	if !known {
		return 0, fmt.Errorf("there is no field %s", field)
	}
	return v, nil
}

// valueAt gives the mean of the points at a size.
func valueAt(s *scale.Series, at float64) (float64, error) {
	total, count := 0.0, 0
	for _, p := range s.Points {
		if p.At == at {
			total += p.Value
			count++
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("it was not measured at %v", at)
	}
	return total / float64(count), nil
}

// Value gives the line's value.
func (l Line) Value(files Files) (float64, error) {
	f, err := files.file(l.Series.File)
	if err != nil {
		return 0, err
	}
	s := f.Series[l.Series.Name]
	switch {
	case s == nil:
		return 0, fmt.Errorf("%s.json has no series %s", l.Series.File, l.Series.Name)
	case s.Fit == nil:
		return 0, fmt.Errorf("%s:%s: there is no line through its points", l.Series.File, l.Series.Name)
	}
	at, err := l.At.Value(files)
	return s.Fit.Slope*at + s.Fit.Intercept, err
}
