package files

import (
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// Configuration is a complete, checked version of all files.
type Configuration struct {
	Program     *config.Program
	Version     *cluster.Version
	contentHash hash
}

// Load reads and checks the program's file and the files that it names: all that Check does except for the keys'
// folder, and all that the running program accepts a version by except cluster.CheckRemovals. The error has what is
// wrong by file and line.
func Load(path string) (*Configuration, error) {
	return load(newReader(path), NewParser())
}

func load(r *reader, p *Parser) (*Configuration, error) {
	v, err := r.scan(p)
	if err != nil {
		return nil, err
	}
	return p.check(v)
}

// XDSOptions returns the options by which a program's file has resources in xDS form translated and tracked.
func XDSOptions(p *config.Program) (translate.Options, state.Options) {
	t := translate.Options{DefaultClass: p.XDS.Class}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, c.Name)
	}
	return t, state.Options{Listener: p.XDS.Listener, Route: p.XDS.Routes, RoutedClustersOnly: p.XDS.RoutedOnly}
}
