package app

import (
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/testutil"
)

// Guards against a listener that a changed file opens anew while the program ends.
func TestNoListenerOpensAfterClose(t *testing.T) {
	a, err := New(newConfiguration(parse(t, program)), Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	listeners := a.NewListeners()
	wanted := []config.Listener{{Name: "a", Address: testutil.RefusingAddr(t)}}
	listeners.Close()
	if err := listeners.Apply(wanted); err != nil { // an attempt to open it would fail
		t.Errorf("Apply: %v, want no attempt to open a listener", err)
	}
}
