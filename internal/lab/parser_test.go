package lab

import (
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/fleet"
)

// A file with a problem is rejected with the file's name, the key and the problem.
func TestBadFiles(t *testing.T) {
	_, good := readExperiment(t, "calm.toml")
	for _, tc := range []struct{ old, new, want string }{
		{"servers = 10", "servers = 10\nsevers = 3", "severs: is no known key"},
		{"rate = 800", "rate = -1", "class 1: rate: -1 is not from"},
		{"rate = 800", "rate = 1e9", "class 1: rate: 1e+09 is not from"},
		{"length = \"30s\"", "length = \"24h\"", "requests in total; the maximum is 50000000"},
		{"effect = \"safe\"", "effect = \"sound\"", `"sound" is none of`},
		{"cores = 4", "cores = 0", "kind: cores: 0 is not from 1"},
		{"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"3s\"\ndown = true\n[expect]", "from 5s to 3s: a fault must begin within the day and end after its beginning"},
		{
			"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"6s\"\nfirst = 8\nlast = 12\ndown = true\n[expect]",
			"servers 8 to 12 are not among the 10",
		},
		{"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"6s\"\n[expect]", "one kind of fault must be set: down, drain"},
		{
			"[expect]", "[[load]]\nat = \"5s\"\nvalue = 1\n[[load]]\nat = \"5s\"\nvalue = 1\n[expect]",
			"5s is not after the time of the previous point",
		},
	} {
		text := strings.Replace(string(good), tc.old, tc.new, 1)
		_, err := Parse("x.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "x.toml:") {
			t.Errorf("file with %s: got error %v, want one that names x.toml and contains %q", tc.new, err, tc.want)
		}
	}
}

// Faults that were printed as text are parsed back unchanged, and a bad fault is rejected with the file's name and the key.
func TestFaultsOfFiles(t *testing.T) {
	_, good := readExperiment(t, "power-at-once.toml")
	var text strings.Builder
	text.Write(good)
	script := fleet.RandomFaults(4, 20, 5, 12, 40*time.Second)
	for _, f := range script {
		text.WriteString(f.String())
	}
	e, err := Parse("x.toml", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	for i, f := range e.Faults {
		if f.String() != script[i].String() {
			t.Errorf("parsed fault: got %v, want %v", f, script[i])
		}
	}
	for _, tc := range []struct{ text, want string }{
		{"[[fault]]\nfrom = \"1s\"\nto = \"2s\"\nkind = \"bend\"\nnodes = [0]\n", "kind"},
		{"[[fault]]\nfrom = \"1s\"\nto = \"2s\"\nkind = \"stop\"\nnodes = [5]\n", "nodes: 5 is not among the 5"},
	} {
		_, err := Parse("x.toml", append(good[:len(good):len(good)], tc.text...))
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "x.toml:") {
			t.Errorf("file with %q: got error %v, want one that names x.toml and contains %q", tc.text, err, tc.want)
		}
	}
}
