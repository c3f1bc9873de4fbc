package hotrestart

import (
	"testing"
)

func FuzzPresence(f *testing.F) {
	f.Add(Presence{Number: 3, Phase: PhaseServing, AppliedSeq: 7, Descriptors: 100, Successor: 4}.encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if p, err := parsePresence(text); err == nil && string(p.encode()) != string(text) {
			t.Errorf("%q was parsed as %+v, which is encoded differently", text, p)
		}
	})
}
