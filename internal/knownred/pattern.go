package main

import (
	"fmt"
	"regexp"
	"strings"
)

// skipPattern returns the pattern for -skip that matches the tests of all entries. tests has the folders of the packages that
// declare a test function, by the function's name. It is an error if an entry's package doesn't declare its test, or if another
// package declares a test with the same name, because go test applies the pattern to all packages.
func skipPattern(entries []entry, tests map[string][]string) (string, error) {
	var patterns []string
	for _, e := range entries {
		name, _, _ := strings.Cut(e.test, "/")
		folders := tests[name]
		switch {
		case len(folders) == 0:
			return "", fmt.Errorf("no package declares a test %s", name)
		case len(folders) > 1:
			return "", fmt.Errorf("test %s is declared in %s, its name must be unique", name, strings.Join(folders, ", "))
		case folders[0] != e.folder:
			return "", fmt.Errorf("test %s is declared in %s, not in %s", name, folders[0], e.folder)
		}
		patterns = append(patterns, exactPattern(e.test))
	}
	return strings.Join(patterns, "|"), nil
}

// exactPattern returns the pattern that matches only the test or subtest with this full name.
func exactPattern(test string) string {
	var elements []string
	for _, element := range strings.Split(test, "/") {
		elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
	}
	return strings.Join(elements, "/")
}
