package main

import "testing"

const oneEntry = `# Tests that fail because of a known fault.

test: internal/engine TestA/sub
command: go test ./internal/engine -run TestA
seen: 1 of 3 requests without an answer, seed 7
issue: 51
`

func TestSkipPattern(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		tests map[string][]string
		want  string
		fails bool
	}{
		"one subtest":             {oneEntry, map[string][]string{"TestA": {"internal/engine"}}, "^TestA$/^sub$", false},
		"two tests":               {oneEntry + "\ntest: policy TestB\ncommand: c\nseen: s\nissue: 1\n", map[string][]string{"TestA": {"internal/engine"}, "TestB": {"policy"}}, "^TestA$/^sub$|^TestB$", false},
		"no such test":            {oneEntry, map[string][]string{"TestB": {"internal/engine"}}, "", true},
		"in another package":      {oneEntry, map[string][]string{"TestA": {"policy"}}, "", true},
		"name in two packages":    {oneEntry, map[string][]string{"TestA": {"internal/engine", "policy"}}, "", true},
		"without an issue":        {"test: policy TestB\ncommand: c\nseen: s\n", map[string][]string{"TestB": {"policy"}}, "", true},
		"test without its folder": {"test: TestB\ncommand: c\nseen: s\nissue: 1\n", map[string][]string{"TestB": {"policy"}}, "", true},
		"a name with a space":     {"test: policy TestB/a b\ncommand: c\nseen: s\nissue: 1\n", map[string][]string{"TestB": {"policy"}}, "", true},
		"not key and value":       {"TestB\n", map[string][]string{"TestB": {"policy"}}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parse(c.text)
			got := ""
			if err == nil {
				got, err = skipPattern(entries, c.tests)
			}
			if got != c.want || (err != nil) != c.fails {
				t.Errorf("pattern %q, error %v; want %q, fails %v", got, err, c.want, c.fails)
			}
		})
	}
}

func TestDeclaredTests(t *testing.T) {
	tests, err := declaredTests("../..")
	if err != nil {
		t.Fatal(err)
	}
	if folders := tests["TestDeclaredTests"]; len(folders) != 1 || folders[0] != "internal/knownred" {
		t.Errorf("declared in %v", folders)
	}
}
