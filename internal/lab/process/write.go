package process

import (
	"bufio"
	"errors"
	"os"
	"path/filepath"
	"strings"
)

// The names of the files below a folder, as `yokestall serve` wants them.
const (
	programFile    = "yokestall.toml"
	clustersFolder = "clusters"
)

// Write writes all files of the first version below a folder.
func (g *Generator) Write(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, clustersFolder), 0o700); err != nil {
		return err
	}
	if err := g.writeProgram(filepath.Join(dir, programFile), Settings{}); err != nil {
		return err
	}
	for i := range g.Size.Services {
		if err := os.WriteFile(filepath.Join(dir, clusterFile(i)), g.Cluster(i, 0), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// writeProgram writes the program's own file, however long it is, without holding all of it.
func (g *Generator) writeProgram(path string, s Settings) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	b := bufio.NewWriterSize(f, 1<<20)
	g.WriteProgram(b, s)
	return errors.Join(b.Flush(), f.Close())
}

// withoutFolder takes the folder's path out of messages that go into a report.
func withoutFolder(text, dir string) string {
	return strings.ReplaceAll(text, dir+string(filepath.Separator), "")
}

// clusterFile is the path of service i's cluster file below the folder.
func clusterFile(i int) string { return filepath.Join(clustersFolder, ServiceName(i)+".toml") }
