package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pathSpan matches a path of the repository at the start of a text in backquotes. Its first group is the path.
var pathSpan = regexp.MustCompile("`((?:internal|cmd|policy|deploy|docs|scripts)/[\\w./-]*\\w)[`:*]")

// testCommand matches a go test command up to the end of the line, a backquote or a shell operator.
var testCommand = regexp.MustCompile("go test [^`&|#\n]*")

// runFlag and packageArgument match the parts of a go test command that are checked: the -run flag and the packages' paths.
var (
	runFlag         = regexp.MustCompile(`-run '?([^'\s]+)'?`)
	packageArgument = regexp.MustCompile(`\./[\w/-]+`)
)

// noTestPattern is the value of -run in commands that run only benchmarks or fuzz targets. No test has this name.
const noTestPattern = "xxx"

// testFunction matches the declaration of a test, a fuzz target or an example. Its first group is the function's name.
var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)\w*)\(`)

// readPages returns the texts of README.md and of the pages in docs, by file name. The glossary is without its last section, which
// lists former names.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, name := range append(names, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		page := filepath.Base(name)
		texts[page] = string(text)
		if page == "glossary.md" {
			texts[page], _, _ = strings.Cut(texts[page], "\n## Packages\n")
		}
	}
	return texts
}

func TestPagesNameExistingPaths(t *testing.T) {
	checked := 0
	for page, text := range readPages(t) {
		for _, span := range pathSpan.FindAllStringSubmatch(text, -1) {
			checked++
			if _, err := os.Stat(filepath.Join(root, span[1])); err != nil {
				t.Errorf("%s: %s does not exist", page, span[1])
			}
		}
	}
	if checked < 100 {
		t.Errorf("checked %d paths, want at least 100", checked)
	}
}

func TestPagesNameExistingTests(t *testing.T) {
	checked := 0
	for page, text := range readPages(t) {
		for _, command := range testCommand.FindAllString(text, -1) {
			run, folders := runFlag.FindStringSubmatch(command), packageArgument.FindAllString(command, -1)
			if run == nil || run[1] == noTestPattern || len(folders) == 0 {
				continue
			}
			checked++
			name, _, _ := strings.Cut(run[1], "/")
			pattern, err := regexp.Compile(name)
			if err != nil {
				t.Errorf("%s: %s: the value of -run is not a regular expression: %v", page, command, err)
				continue
			}
			declared := false
			for _, folder := range folders {
				declared = declared || declaresTest(t, folder, pattern)
			}
			if !declared {
				t.Errorf("%s: %s matches no test of its packages", page, command)
			}
		}
	}
	if checked < 20 {
		t.Errorf("checked %d commands, want at least 20", checked)
	}
}

// declaresTest reports whether the package in a folder declares a test whose name matches a pattern.
func declaresTest(t *testing.T, folder string, pattern *regexp.Regexp) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, function := range testFunction.FindAllStringSubmatch(string(text), -1) {
			if pattern.MatchString(function[1]) {
				return true
			}
		}
	}
	return false
}
