package files

import (
	"fmt"
	"path/filepath"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// ProgramPart is the name of the program's own file in a bundle; its cluster files go by their base names.
const ProgramPart = "yokestall.toml"

// Bundle reads a configuration as the files of a version that a fleet can agree on: the program's own, and its cluster files. It
// has to be good by Unbundle.
func Bundle(path string) ([]config.File, error) {
	r, err := read(path)
	if err != nil {
		return nil, err
	}
	list := []config.File{{Name: ProgramPart, Text: r.program.Text}}
	for _, f := range r.clusters {
		name := filepath.Base(f.Name)
		if name == ProgramPart {
			return nil, &cluster.Problem{Source: f.Name, Text: "a cluster file of a version can't have this name"}
		}
		list = append(list, config.File{Name: name, Text: f.Text})
	}
	_, err = Unbundle(list)
	return list, err
}

// Unbundle reads and checks a version's files, as Load does those of a folder.
func Unbundle(list []config.File) (*Snapshot, error) {
	r := &raw{}
	total := 0
	for _, f := range list {
		if total += len(f.Text); total > maxTotal {
			return nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("over %d bytes in all files together", maxTotal)}
		}
		if f.Name == ProgramPart {
			r.program = f
		} else {
			r.clusters = append(r.clusters, f)
		}
	}
	if r.program.Name == "" {
		return nil, &cluster.Problem{Source: ProgramPart, Text: "is missing"}
	}
	var err error
	if r.parsed, err = config.ParseProgram(ProgramPart, r.program.Text); err != nil {
		return nil, err
	}
	if r.parsed.XDS.On() {
		return nil, &cluster.Problem{Source: ProgramPart, Field: "xds", Text: "a version can't follow a control plane"}
	}
	if len(r.parsed.Hosts) == 0 {
		return nil, &cluster.Problem{Source: ProgramPart, Field: "host", Text: "a version has routes"}
	}
	return r.check()
}
