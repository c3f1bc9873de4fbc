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

// Check checks one configuration file according to its kind. A cluster file, a tenants file or a file in xDS form is
// checked alone. The program's file is checked together with the files and keys that it names, and its configuration is
// returned. The warnings are about keys that are still valid but will soon not be.
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

// checkKeys checks the keys in a folder, and that the folder has all keys that the configuration refers to.
func checkKeys(folder string, s *Configuration) (warnings []string, err error) {
	warnings, set, err := tlskeys.Check(folder, s.Program.Keys.First, time.Now())
	if err != nil {
		return warnings, err
	}
	var missing []error
	require := func(where, kind, name string, present bool) {
		if name != "" && !present {
			missing = append(missing, fmt.Errorf("%s: %s %q is not in the keys folder %s", where, kind, name, folder))
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

// checkXDS checks the resources of one file in xDS form, but not the resources in other files that they refer to.
func checkXDS(path string, text []byte) error {
	list := []config.File{{Name: path, Text: text}}
	if sum, err := readFile(path + xdsfile.ChecksumSuffix); err == nil {
		list = append(list, config.File{Name: path + xdsfile.ChecksumSuffix, Text: sum})
	}
	return xdsfile.Check(list)
}
