package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tally is what became of one test, or of a package where the name is "".
type tally struct {
	pkg, name               string
	passed, failed, skipped int
	slowest                 float64 // seconds
}

// table collects the ends of tests by package and name. Subtests count for their test.
type table map[string]*tally

func (t table) add(e event) {
	if e.Action != "pass" && e.Action != "fail" && e.Action != "skip" || strings.Contains(e.Test, "/") {
		return
	}
	key := e.Package + " " + e.Test
	x := t[key]
	if x == nil {
		x = &tally{pkg: e.Package, name: e.Test}
		t[key] = x
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

func (t table) failed() (n int) {
	for _, x := range t {
		n += x.failed
	}
	return n
}

// print lists the tests, those that failed first, then the slowest.
func (t table) print(out io.Writer) {
	var rows []*tally
	for _, x := range t {
		if x.name != "" || x.failed > 0 {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.failed, a.failed), cmp.Compare(b.slowest, a.slowest), cmp.Compare(a.pkg+a.name, b.pkg+b.name))
	})
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "package\ttest\tpassed\tfailed\tskipped\tslowest s")
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\n", x.pkg, cmp.Or(x.name, "(the package)"), x.passed, x.failed, x.skipped, x.slowest)
	}
	w.Flush()
}
