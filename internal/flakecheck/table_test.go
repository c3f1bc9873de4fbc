package main

import (
	"strings"
	"testing"
)

// The table counts results by test and prints tests with failures first. A package that fails although none of its tests fails,
// for example because of a goroutine leak, counts as a failure too.
func TestTable(t *testing.T) {
	results := resultTable{}
	for _, e := range []event{
		{"run", "p", "TestA", "", 0}, {"pass", "p", "TestA", "", 2}, {"pass", "p", "TestA", "", 3},
		{"pass", "p", "TestB", "", 1}, {"fail", "p", "TestB", "", 1}, {"fail", "p", "TestB/sub", "", 1},
		{"skip", "p", "TestC", "", 0}, {"fail", "p", "", "", 6},
	} {
		results.add(e)
	}
	var out strings.Builder
	results.print(&out)
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"p (the package) 0 1 0 6.0", "p TestB 1 1 0 1.0", "p TestA 2 0 0 3.0", "p TestC 0 0 1 0.0"}
	for i, row := range want {
		if i+1 >= len(got) || strings.Join(strings.Fields(got[i+1]), " ") != row {
			t.Fatalf("row %d of the table\n%s\ndiffers, want %q", i+1, out.String(), row)
		}
	}
	if results.failed() != 2 {
		t.Errorf("%d failures, want 2", results.failed())
	}
}
