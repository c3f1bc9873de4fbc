package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var testDeclaration = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// declaredTests gives the folders of the packages that declare each test function.
func declaredTests(root string) (map[string][]string, error) {
	tests := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			tests[match[1]] = append(tests[match[1]], folder)
		}
		return nil
	})
	return tests, err
}

// skipPattern gives the pattern for -skip. go test applies one pattern to all packages, so a name that another
// package declares too is an error, as is one that its package does not declare.
func skipPattern(entries []entry, tests map[string][]string) (string, error) {
	var patterns []string
	for _, e := range entries {
		name, _, _ := strings.Cut(e.test, "/")
		folders := tests[name]
		switch {
		case len(folders) == 0:
			return "", fmt.Errorf("no test is called %s", name)
		case len(folders) > 1:
			return "", fmt.Errorf("%s is declared in %s: give it a name of its own", name, strings.Join(folders, ", "))
		case folders[0] != e.folder:
			return "", fmt.Errorf("%s is declared in %s, not in %s", name, folders[0], e.folder)
		}
		var elements []string
		for _, element := range strings.Split(e.test, "/") {
			elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
		}
		patterns = append(patterns, strings.Join(elements, "/"))
	}
	return strings.Join(patterns, "|"), nil
}
