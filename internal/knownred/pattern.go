package main

import (
	"fmt"
	"regexp"
	"strings"
)

// skipPattern returns the pattern for -skip. go test applies one pattern to all packages, so a name that another
// package declares too is an error, as is one that its package does not declare. tests has the folders that declare a
// test function, by its name.
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
		patterns = append(patterns, exactPattern(e.test))
	}
	return strings.Join(patterns, "|"), nil
}

// exactPattern returns the pattern that matches a test, or a subtest, by its full name alone.
func exactPattern(test string) string {
	var elements []string
	for _, element := range strings.Split(test, "/") {
		elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
	}
	return strings.Join(elements, "/")
}
