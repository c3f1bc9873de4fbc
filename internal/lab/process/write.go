package process

import (
	"os"
	"path/filepath"
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
	if err := os.WriteFile(filepath.Join(dir, programFile), g.Program(Settings{}), 0o600); err != nil {
		return err
	}
	for i := range g.Size.Services {
		if err := os.WriteFile(filepath.Join(dir, clusterFile(i)), g.Cluster(i, 0), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// clusterFile is the path of service i's cluster file below the folder.
func clusterFile(i int) string { return filepath.Join(clustersFolder, ServiceName(i)+".toml") }
