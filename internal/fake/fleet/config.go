package fleet

import (
	"os"
	"path/filepath"
)

// clustersFolder is the folder of cluster files, relative to the folder of a process's configuration file.
const clustersFolder = "clusters"

// ServeCommand returns the command line that runs program as a server, up to and including the flag -c. The caller
// appends the path of the configuration file.
func ServeCommand(program []string) []string {
	return append(program[:len(program):len(program)], "serve", "-c")
}

// ClusterFile returns the path of a cluster's file in the clusters folder, which WriteConfig creates.
func (p *Process) ClusterFile(cluster string) string {
	return filepath.Join(p.Dir, clustersFolder, cluster+".toml")
}

// WriteConfig writes the process's configuration file and creates an empty folder "clusters" beside it.
func (p *Process) WriteConfig(text string) error {
	if err := os.MkdirAll(filepath.Join(p.Dir, clustersFolder), 0o700); err != nil {
		return err
	}
	return os.WriteFile(p.Config(), []byte(text), 0o600)
}
