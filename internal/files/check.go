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

// CheckResult is what Check found of a valid file.
type CheckResult struct {
	// Configuration is that of the program's file; nil: the file was of another kind.
	Configuration *Configuration
	// Warnings are about keys that are still valid but will soon not be.
	Warnings []string
	// Protections are those of the file and of the files that it names.
	Protections []Protection
}

// Check checks one configuration file according to its kind. A cluster file, a tenants file or a file in xDS form is
// checked alone. The program's file is checked together with the files and keys that it names. If the files are valid but
// the keys are not, Check returns both a result and an error.
func Check(path string) (*CheckResult, error) {
	text, err := ReadAtRest(path)
	if err != nil {
		return nil, err
	}
	if !xdsfile.HasExtension(path) && !config.IsTenants(text) && !config.IsCluster(text) {
		return checkProgram(path)
	}
	beside := false
	if xdsfile.HasExtension(path) {
		beside, err = checkXDS(path, text)
	} else {
		err = checkAlone(path, text)
	}
	if err != nil {
		return nil, err
	}
	return &CheckResult{Protections: protectionOf(path, text, beside)}, nil
}

// checkProgram checks the program's file together with the files and keys that it names.
func checkProgram(path string) (*CheckResult, error) {
	s, err := Load(path)
	if err != nil {
		return nil, err
	}
	result := &CheckResult{Configuration: s, Protections: s.Protections}
	if folder := s.Program.Keys.Folder; folder != "" {
		result.Warnings, err = checkKeys(Beside(path, folder), s)
	}
	return result, err
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

// checkXDS checks the resources of one file in xDS form, but not the resources in other files that they refer to. beside
// reports whether the file's checksum is in a file beside it.
func checkXDS(path string, text []byte) (beside bool, err error) {
	list := []config.File{{Name: path, Text: text}}
	sum, err := readFile(path + xdsfile.ChecksumSuffix)
	if beside = err == nil; beside {
		list = append(list, config.File{Name: path + xdsfile.ChecksumSuffix, Text: sum})
	}
	return beside, xdsfile.Check(list)
}
