package main

import "testing"

const oneEntry = `# Tests that fail because of a known fault.

test: internal/engine TestA/sub
command: go test ./internal/engine -run TestA
seen: 1 of 3 requests without an answer, seed 7
issue: 51
`

func TestSkipPattern(t *testing.T) {
	const (
		otherEntry   = "\ntest: policy TestB\ncommand: c\nseen: s\nissue: 1\n"
		noIssue      = "test: policy TestB\ncommand: c\nseen: s\n"
		noFolder     = "test: TestB\ncommand: c\nseen: s\nissue: 1\n"
		nameAndSpace = "test: policy TestB/a b\ncommand: c\nseen: s\nissue: 1\n"
	)
	type declared = map[string][]string
	both := declared{"TestA": {"internal/engine"}, "TestB": {"policy"}}
	onlyB := declared{"TestB": {"policy"}}
	for name, c := range map[string]struct {
		text  string
		tests declared
		want  string
		fails bool
	}{
		"one subtest":             {oneEntry, declared{"TestA": {"internal/engine"}}, "^TestA$/^sub$", false},
		"two tests":               {oneEntry + otherEntry, both, "^TestA$/^sub$|^TestB$", false},
		"no such test":            {oneEntry, onlyB, "", true},
		"in another package":      {oneEntry, declared{"TestA": {"policy"}}, "", true},
		"name in two packages":    {oneEntry, declared{"TestA": {"internal/engine", "policy"}}, "", true},
		"without an issue":        {noIssue, onlyB, "", true},
		"test without its folder": {noFolder, onlyB, "", true},
		"a name with a space":     {nameAndSpace, onlyB, "", true},
		"not key and value":       {"TestB\n", onlyB, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parseEntries(c.text)
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
