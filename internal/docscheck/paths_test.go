package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pathSpan matches a path of the repository at the start of a text in backquotes.
var pathSpan = regexp.MustCompile("`((?:internal|cmd|policy|deploy|docs|scripts)/[\\w./-]*\\w)[`:*]")

// testCommand matches a command that runs tests, on one line.
var testCommand = regexp.MustCompile("go test [^`&|#\n]*")

// runFlag and packageArgument match the two parts of such a command that are checked.
var (
	runFlag         = regexp.MustCompile(`-run '?([^'\s]+)'?`)
	packageArgument = regexp.MustCompile(`\./[\w/-]+`)
)

// noTest is the pattern of commands that run benchmarks or fuzz targets alone.
const noTest = "xxx"

// testFunction matches the declaration of a test, a fuzz target or an example.
var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Example)\w*)\(`)

// pages gives the text of README and of each page under docs, but for the former names in the glossary.
func pages(t *testing.T) map[string]string {
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
	for page, text := range pages(t) {
		for _, span := range pathSpan.FindAllStringSubmatch(text, -1) {
			checked++
			if _, err := os.Stat(filepath.Join(root, span[1])); err != nil {
				t.Errorf("%s: %s does not exist", page, span[1])
			}
		}
	}
	if checked < 100 {
		t.Errorf("%d paths were checked; want at least 100", checked)
	}
}

func TestPagesNameExistingTests(t *testing.T) {
	checked := 0
	for page, text := range pages(t) {
		for _, command := range testCommand.FindAllString(text, -1) {
			run, folders := runFlag.FindStringSubmatch(command), packageArgument.FindAllString(command, -1)
			if run == nil || run[1] == noTest || len(folders) == 0 {
				continue
			}
			checked++
			name, _, _ := strings.Cut(run[1], "/")
			pattern, err := regexp.Compile(name)
			if err != nil {
				t.Errorf("%s: %s: %v", page, command, err)
				continue
			}
			declared := false
			for _, folder := range folders {
				declared = declared || declaresTest(t, folder, pattern)
			}
			if !declared {
				t.Errorf("%s: %s matches no test", page, command)
			}
		}
	}
	if checked < 20 {
		t.Errorf("%d commands were checked; want at least 20", checked)
	}
}

// declaresTest reports whether a package declares a test whose name a pattern matches.
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
