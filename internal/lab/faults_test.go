package lab

import (
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/fleet"
)

// Faults are read with the place of what is wrong, and a script that was printed is read back the same.
func TestFaultsOfFiles(t *testing.T) {
	_, good := read(t, "power-at-once.toml")
	var text strings.Builder
	text.Write(good)
	script := fleet.Draw(4, 20, 5, 12, 40*time.Second)
	for _, f := range script {
		text.WriteString(f.String())
	}
	e, err := Parse("x.toml", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	for i, f := range e.Faults {
		if f.String() != script[i].String() {
			t.Errorf("%v is read as %v", script[i], f)
		}
	}
	for _, tc := range []struct{ text, want string }{
		{"[[fault]]\nfrom = \"1s\"\nto = \"2s\"\nkind = \"bend\"\nnodes = [0]\n", "kind"},
		{"[[fault]]\nfrom = \"1s\"\nto = \"2s\"\nkind = \"stop\"\nnodes = [5]\n", "nodes: 5 is not among the 5"},
	} {
		if _, err := Parse("x.toml", append(good[:len(good):len(good)], tc.text...)); err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "x.toml:") {
			t.Errorf("%q: %v", tc.text, err)
		}
	}
}
