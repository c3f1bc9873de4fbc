package main

import (
	"testing"
)

func TestDeclaredTests(t *testing.T) {
	tests, err := declaredTests("../..")
	if err != nil {
		t.Fatal(err)
	}
	if folders := tests["TestDeclaredTests"]; len(folders) != 1 || folders[0] != "internal/knownred" {
		t.Errorf("TestDeclaredTests is declared in %v, want only internal/knownred", folders)
	}
}
