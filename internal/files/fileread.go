package files

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// folderBatch is the number of folder entries that are read at a time.
const folderBatch = 256

// Beside resolves name, a path that is written in the file at path. A relative name is relative to that file's folder.
func Beside(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// listFolder returns the sorted paths of the entries of a folder whose names are selected and don't begin with a dot.
func listFolder(folder string, selected func(name string) bool) ([]string, error) {
	d, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var names []string
	for {
		entries, err := d.ReadDir(folderBatch)
		for _, e := range entries {
			if selected(e.Name()) && !strings.HasPrefix(e.Name(), ".") {
				names = append(names, filepath.Join(folder, e.Name()))
			}
		}
		if len(names) > config.MaxFiles {
			return nil, &cluster.Problem{Source: folder, Text: fmt.Sprintf("has over %d files", config.MaxFiles)}
		}
		if err == io.EOF {
			slices.Sort(names)
			return names, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readFile returns the content of a regular file. It returns a *cluster.Problem if the file can't be read or is of
// another kind.
func readFile(name string) ([]byte, error) {
	s := readStamp(name)
	if err := s.fileProblem(name); err != nil {
		return nil, err
	}
	return readContent(name, s.size)
}

// readContent returns the content of a regular file. size is the expected number of bytes; the file may have changed
// since. The error is a *cluster.Problem.
func readContent(name string, size int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &cluster.Problem{Source: name, Text: withoutPath(err)}
	}
	defer f.Close()
	text := bytes.NewBuffer(make([]byte, 0, min(size, config.MaxFileBytes)+bytes.MinRead))
	if _, err := text.ReadFrom(io.LimitReader(f, config.MaxFileBytes+1)); err != nil {
		return nil, &cluster.Problem{Source: name, Text: withoutPath(err)}
	}
	if text.Len() > config.MaxFileBytes {
		return nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("has over %d bytes", config.MaxFileBytes)}
	}
	return text.Bytes(), nil
}

// withoutPath returns the text of a file system error without its path, which cluster.Problem.Source holds already.
func withoutPath(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
