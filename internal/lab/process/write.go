package process

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// The names of the files below a folder, as `yokestall serve` reads them.
const (
	programFile    = "yokestall.toml"
	tenantsFile    = "tenants.toml"
	clustersFolder = "clusters"
)

// Write writes all files of the first version below a folder.
func (g *Generator) Write(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, clustersFolder), 0o700); err != nil {
		return err
	}
	program := func(b io.Writer) { g.WriteProgram(b, Settings{}) }
	if err := writeFile(filepath.Join(dir, programFile), program); err != nil {
		return err
	}
	if g.Size.TenantsFile {
		if err := writeFile(filepath.Join(dir, tenantsFile), g.WriteTenants); err != nil {
			return err
		}
	}
	for i := range g.Size.Services {
		if err := os.WriteFile(filepath.Join(dir, clusterFile(i)), g.Cluster(i, 0), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes a file through a buffer, so that a long file is never in memory completely.
func writeFile(path string, write func(b io.Writer)) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	b := bufio.NewWriterSize(f, 1<<20)
	write(b)
	return errors.Join(b.Flush(), f.Close())
}

// withoutFolder removes the folder's path from messages that go into a report.
func withoutFolder(text, dir string) string {
	return strings.ReplaceAll(text, dir+string(filepath.Separator), "")
}

// clusterFile is the path of service i's cluster file below the folder.
func clusterFile(i int) string { return filepath.Join(clustersFolder, ServiceName(i)+".toml") }
