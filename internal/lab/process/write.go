package process

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Names of the files and of the folder that Generator.Write writes, and that `yokestall serve` reads.
const (
	programFile    = "yokestall.toml"
	tenantsFile    = "tenants.toml"
	clustersFolder = "clusters"
)

// Write writes all configuration files of the first version below a folder.
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

// writeFile writes a file through a buffer, so that a large file is never completely in memory.
func writeFile(path string, write func(b io.Writer)) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	b := bufio.NewWriterSize(f, 1<<20)
	write(b)
	return errors.Join(b.Flush(), f.Close())
}

// withoutFolder removes the path of a folder from a message, for messages that go into a report.
func withoutFolder(text, dir string) string {
	return strings.ReplaceAll(text, dir+string(filepath.Separator), "")
}

// clusterFile returns the path of the cluster file of service i, relative to the folder of the configuration.
func clusterFile(i int) string { return filepath.Join(clustersFolder, ServiceName(i)+".toml") }
