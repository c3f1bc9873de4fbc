package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tally is the results of one test, or of a package where the test is "".
type tally struct {
	pkg     string
	test    string
	passed  int
	failed  int
	skipped int
	slowest float64 // seconds
}

// table counts the results of tests by package and name. Subtests count for their test.
type table map[string]*tally

// add counts an event if it is the result of a test.
func (t table) add(e event) {
	isResult := e.Action == "pass" || e.Action == "fail" || e.Action == "skip"
	isSubtest := strings.Contains(e.Test, "/")
	if !isResult || isSubtest {
		return
	}
	x := t[e.key()]
	if x == nil {
		x = &tally{pkg: e.Package, test: e.Test}
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

// failed returns the number of failures.
func (t table) failed() (n int) {
	for _, x := range t {
		n += x.failed
	}
	return n
}

// print prints a line a test: those that failed first, then the slowest.
func (t table) print(out io.Writer) {
	var rows []*tally
	for _, x := range t {
		if x.test != "" || x.failed > 0 {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b *tally) int {
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
