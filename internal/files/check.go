package files

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds/xdsfile"
)

// Check checks one file of the configuration by its kind: the program's own, with the files and keys that it names,
// whose configuration is returned, or a file of a cluster, of tenants or in xDS form alone. The warnings are of what
// will soon be wrong with the keys.
func Check(path string) (s *Configuration, warnings []string, err error) {
	text, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	switch {
	case xdsfile.HasExtension(path):
		return nil, nil, checkXDS(path, text)
	case config.IsTenants(text):
		_, err = config.ParseTenants(config.File{Name: path, Text: text})
		return nil, nil, err
	case config.IsCluster(text):
		_, err = config.ParseCluster(config.File{Name: path, Text: text})
		return nil, nil, err
	}
	if s, err = Load(path); err != nil || s.Program.Keys.Folder == "" {
		return s, nil, err
	}
	warnings, err = checkKeys(Beside(path, s.Program.Keys.Folder), s)
	return s, warnings, err
}

// checkKeys checks the keys of a folder, and that those that a configuration refers to are there.
func checkKeys(folder string, s *Configuration) (warnings []string, err error) {
	warnings, set, err := tlskeys.Check(folder, s.Program.Keys.First, time.Now())
	if err != nil {
		return warnings, err
	}
	var missing []error
	require := func(where, kind, name string, present bool) {
		if name != "" && !present {
			missing = append(missing, fmt.Errorf("%s: %s %q is not in %s", where, kind, name, folder))
		}
	}
	for _, l := range s.Program.Listeners {
		require("listener "+l.Address, "client_roots", l.ClientRoots, set.Roots(l.ClientRoots) != nil)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Version.Clusters)) {
		if t := s.Version.Clusters[name].Transport.TLS; t != nil {
			require("cluster "+name, "roots", t.Roots, set.Roots(t.Roots) != nil)
			require("cluster "+name, "certificate", t.Certificate, set.Pair(t.Certificate) != nil)
		}
	}
	return warnings, errors.Join(missing...)
}

// checkXDS checks one file in xDS form by itself: its resources, not what they refer to.
func checkXDS(path string, text []byte) error {
	list := []config.File{{Name: path, Text: text}}
	if sum, err := readFile(path + xdsfile.ChecksumSuffix); err == nil {
		list = append(list, config.File{Name: path + xdsfile.ChecksumSuffix, Text: sum})
	}
	return xdsfile.Check(list)
}
