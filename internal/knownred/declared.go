package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// testDeclaration matches the declaration of a test function. Its first group is the function's name.
var testDeclaration = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// declaredTests returns the folders, relative to root, of the packages below root that declare a test function, by the
// function's name.
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
