package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// testResults counts the results of one test or package over all rounds.
type testResults struct {
	pkg     string
	test    string // "" for the package itself
	passed  int
	failed  int
	skipped int
	slowest float64 // longest time of one run, in seconds
}

// resultTable has the results of the tests and packages, by event.key. It has no results of subtests: a test fails if one of its
// subtests fails.
type resultTable map[string]*testResults

// add counts an event if it is the result of a test or package.
func (t resultTable) add(e event) {
	isResult := e.Action == "pass" || e.Action == "fail" || e.Action == "skip"
	isSubtest := strings.Contains(e.Test, "/")
	if !isResult || isSubtest {
		return
	}
	x := t[e.key()]
	if x == nil {
		x = &testResults{pkg: e.Package, test: e.Test}
		t[e.key()] = x
	}
	switch e.Action {
	case "pass":
		x.passed++
	case "fail":
		x.failed++
	case "skip":
		x.skipped++
	}
	x.slowest = max(x.slowest, e.Elapsed)
}

// failed returns the number of failures of all tests and packages.
func (t resultTable) failed() (n int) {
	for _, x := range t {
		n += x.failed
	}
	return n
}

// print prints one line for each test and each package that failed. The lines are sorted by the number of failures and then by
// the longest time, in descending order.
func (t resultTable) print(out io.Writer) {
	var rows []*testResults
	for _, x := range t {
		if x.test != "" || x.failed > 0 {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b *testResults) int {
		return cmp.Or(
			cmp.Compare(b.failed, a.failed),
			cmp.Compare(b.slowest, a.slowest),
			cmp.Compare(a.pkg+a.test, b.pkg+b.test),
		)
	})
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "package\ttest\tpassed\tfailed\tskipped\tslowest s")
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\n",
			x.pkg, cmp.Or(x.test, "(the package)"), x.passed, x.failed, x.skipped, x.slowest)
	}
	w.Flush()
}
