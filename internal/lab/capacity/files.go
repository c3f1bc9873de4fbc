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
	// Value returns the figure with the given name. The error names the file and what the file lacks.
	Value(name string) (float64, error)
	// LineAt returns the value, at a size, of the line fitted to a series. The error names the file and what the file
	// lacks.
	LineAt(series string, size float64) (float64, error)
}

// Files maps names in marks to files of figures. A file's name in marks is its base name without ".json", with "_" in
// place of each "-".
type Files map[string]File

// ReadFiles reads all files of figures in a folder. It returns an error if there is none, if a file can't be read or its
// figures don't follow from its points, or if two files have the same name in marks. The error names the file or folder.
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
			return nil, fmt.Errorf("%s: another file has the name %s in marks too", path, name)
		}
		files[name] = f
	}
	return files, nil
}

// markName returns a name as it is written in marks, with "_" in place of each "-", because "-" always subtracts there.
func markName(name string) string { return strings.ReplaceAll(name, "-", "_") }

// readFile reads a file of either kind. A file with the key "figures" is a report written by `yokestall lab process`.
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

// file returns the file with the given name in marks.
func (files Files) file(name string) (File, error) {
	f := files[name]
	if f == nil {
		return nil, fmt.Errorf("there is no file of figures %s.json", name)
	}
	return f, nil
}
