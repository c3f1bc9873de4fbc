// Package files reads and watches the product program's files. A version is taken
// whole, over all files together, or not at all; the last good one stays.
package files

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
	"yokestall/internal/xds/xdsfile"
)

// Snapshot is a whole, checked version of all files.
type Snapshot struct {
	Program     *config.Program
	Version     *cluster.Version
	contentHash hash
}

// Load reads and checks the program's file and the cluster files that it points to. It
// is all that `check` does and all that the running program takes a version by, but for
// Review.
func Load(path string) (*Snapshot, error) {
	return load(newReader(path), NewParser())
}

func load(r *reader, p *Parser) (*Snapshot, error) {
	v, err := r.scan(p)
	if err != nil {
		return nil, err
	}
	return p.check(v)
}

// Check checks one file of the configuration: the program's own, with the cluster files and the keys that it points
// to, which it gives then, or a cluster file or one of tenants alone. The warnings are of what will be wrong before
// long.
func Check(path string) (s *Snapshot, warnings []string, err error) {
	text, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	if xdsfile.Is(path) {
		return nil, nil, checkXDS(path, text)
	}
	if config.IsTenants(text) {
		_, err = config.ParseTenants(config.File{Name: path, Text: text})
		return nil, nil, err
	}
	if config.IsCluster(text) {
		_, err = config.ParseCluster(config.File{Name: path, Text: text})
		return nil, nil, err
	}
	if s, err = Load(path); err != nil || s.Program.Keys.Folder == "" {
		return s, nil, err
	}
	warnings, err = checkKeys(Beside(path, s.Program.Keys.Folder), s)
	return s, warnings, err
}

// checkKeys checks the keys, and that each entry that something refers to is there.
func checkKeys(folder string, s *Snapshot) (warnings []string, err error) {
	warnings, set, err := tlskeys.Check(folder, s.Program.Keys.First, time.Now())
	if err != nil {
		return warnings, err
	}
	var found []error
	want := func(where, kind, name string, there bool) {
		if name != "" && !there {
			found = append(found, fmt.Errorf("%s: %s %q is not in %s", where, kind, name, folder))
		}
	}
	for _, l := range s.Program.Listeners {
		want("listener "+l.Address, "client_roots", l.ClientRoots, set.Roots(l.ClientRoots) != nil)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Version.Clusters)) {
		if t := s.Version.Clusters[name].Transport.TLS; t != nil {
			want("cluster "+name, "roots", t.Roots, set.Roots(t.Roots) != nil)
			want("cluster "+name, "certificate", t.Certificate, set.Pair(t.Certificate) != nil)
		}
	}
	return warnings, errors.Join(found...)
}

// checkXDS checks one file in xDS form by itself: its resources, not what they refer to.
func checkXDS(path string, text []byte) error {
	list := []config.File{{Name: path, Text: text}}
	if sum, err := readFile(path + xdsfile.SumSuffix); err == nil {
		list = append(list, config.File{Name: path + xdsfile.SumSuffix, Text: sum})
	}
	return xdsfile.Check(list)
}

// XDSOptions gives what resources in xDS form are read by under a program's file.
func XDSOptions(p *config.Program) (translate.Options, state.Options) {
	t := translate.Options{Class: p.XDS.Class}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, c.Name)
	}
	return t, state.Options{Listener: p.XDS.Listener, Route: p.XDS.Routes, Named: p.XDS.Named}
}
