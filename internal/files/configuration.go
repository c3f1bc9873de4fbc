package files

import (
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// Configuration is a complete and checked version of the configuration, parsed from all its files.
type Configuration struct {
	Program     *config.Program
	Version     *cluster.Version
	Protections []Protection // of all files; empty for a version of a fleet
	contentHash hash
}

// Load reads and checks the program's file and the files that it names. Unlike Check, it does not check the keys folder.
// Unlike the running program, it does not apply cluster.CheckRemovals, which compares a version with the one before. The
// error names the file and, where it is known, the line of each problem.
func Load(path string) (*Configuration, error) {
	return load(newReader(path), NewParser())
}

// load reads the first version of a reader. If it is accepted, the reader records its files.
func load(r *reader, p *Parser) (*Configuration, error) {
	v, err := r.scanAtRest(p)
	if err != nil {
		return nil, err
	}
	s, err := p.check(v)
	if err != nil {
		return nil, err
	}
	s.Protections = protections(v)
	r.accept(v)
	return s, nil
}

// XDSOptions returns the options that a program's file sets for translating and tracking resources in xDS form.
func XDSOptions(p *config.Program) (translate.Options, state.Options) {
	t := translate.Options{DefaultClass: p.XDS.Class}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, c.Name)
	}
	return t, state.Options{Listener: p.XDS.Listener, Route: p.XDS.Routes, RoutedClustersOnly: p.XDS.RoutedOnly}
}
