package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"yokestall/internal/lab/process"
	"yokestall/internal/lab/scale"
)

// File is a file of figures.
type File interface {
	// Value returns a figure by its name. The error names the file and what it does not have.
	Value(name string) (float64, error)
	// LineAt returns the value at a size of the line through a series' points. The error is as that of Value.
	LineAt(series string, size float64) (float64, error)
}

// Files are files of figures, by their names without the folder and ".json", with "_" for each "-".
type Files map[string]File

// ReadFiles reads all files of figures of a folder, at least one. The error names the file that can't be read or whose
// figures don't follow from its points.
func ReadFiles(folder string) (Files, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: has no files of figures", folder)
	}
	files := Files{}
	for _, path := range paths {
		f, err := readFile(path)
		if err != nil {
			return nil, err
		}
		name := markName(strings.TrimSuffix(filepath.Base(path), ".json"))
		if files[name] != nil {
			return nil, fmt.Errorf("%s: another file is called %s too", path, name)
		}
		files[name] = f
	}
	return files, nil
}

// markName returns a name as marks have it, where a minus always subtracts.
func markName(name string) string { return strings.ReplaceAll(name, "-", "_") }

// readFile reads a file of either kind: only a report on a process has "figures".
func readFile(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var kind struct {
		Figures json.RawMessage `json:"figures"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if kind.Figures != nil {
		r, err := process.ReadReport(path)
		if err != nil {
			return nil, err
		}
		return newProcessFile(path, r)
	}
	f, err := scale.ReadFigures(path)
	return fleetFile{path, f}, err
}

// file returns a file by its name in marks.
func (files Files) file(name string) (File, error) {
	f := files[name]
	if f == nil {
		return nil, fmt.Errorf("there is no file of figures %s.json", name)
	}
	return f, nil
}
