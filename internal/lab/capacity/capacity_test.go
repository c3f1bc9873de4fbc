package capacity

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/lab/process"
	"yokestall/internal/lab/scale"
)

// testFiles writes files of figures and returns them as read, with their folder: a run in which the CPU time of a voter is
// 10 ms/s and 2 ms/s for each node, a file of named numbers, and a report on a process.
func testFiles(t *testing.T) (Files, string) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "capacity")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	run := &scale.Figures{Name: "run", Voters: 3, Series: map[string]*scale.Series{
		"idle.voter.cpu": {Unit: "ms/s", Points: []scale.Point{
			{At: 50, Value: 110}, {At: 100, Value: 210}, {At: 200, Value: 410}, {At: 400, Value: 810},
		}},
		"idle.node.in": {Unit: "B/s", Points: []scale.Point{{At: 50, Value: 1651.7}}},
	}}
	for _, s := range run.Series {
		s.Finish()
	}
	run.Late = []scale.LateNodes{{Step: "apart", Size: 400, Count: 225}}
	plan := &scale.Figures{Name: "plan", Numbers: map[string]float64{"nodes": 1900}}
	for _, f := range []*scale.Figures{run, plan} {
		if err := f.Write(filepath.Join(folder, f.Name+".json")); err != nil {
			t.Fatal(err)
		}
	}
	writeReport(t, filepath.Join(folder, "one-process.json"))
	read, err := ReadFiles(folder)
	if err != nil {
		t.Fatal(err)
	}
	return read, folder
}

// writeReport writes a report on a process to a file.
func writeReport(t *testing.T, path string) {
	t.Helper()
	report := &process.Report{
		Seed: 7, Machine: process.Machine{Cores: 8, MemoryMB: 24150, Load: 31.5},
		Sizes: []process.Size{{Name: "plan", Services: 500, Servers: 30, Routes: 14000, Tenants: 1000, Nodes: 1900}},
		Figures: []process.Figure{
			{Key: "plan.rest.memory", Value: 250.609375, Unit: "MB"},
			{Key: "plan.load.121.services_4.cpu", Value: 15.1988, Unit: "% of a core"},
			{Key: "tenants-125.rest.memory", Value: 245, Unit: "MB"},
		},
	}
	text, err := report.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Check accepts a page whose figures all follow from the files.
func TestGoodPage(t *testing.T) {
	all, _ := testFiles(t)
	page := `# Capacity
A voter needs 3,810 ms/s<!-- fig: run:idle.voter.cpu.slope * plan:nodes + run:idle.voter.cpu.intercept -->, or 3.8 cores<!-- fig: run:idle.voter.cpu.at(plan:nodes)/1000 -->.
| voter | 2 ms/s<!-- fig: run:idle.voter.cpu.slope --> a node | 0.0 %<!-- fig: 100 * run:idle.voter.cpu.relative --> |
| some 4,000<!-- fig: run:idle.voter.cpu.at(1900) to 1000 --> | 410<!-- fig: run:idle.voter.cpu.n200 --> | 1.65 KB/s<!-- fig: run:idle.node.in.mean / 1000 --> |
With 3 voters<!-- fig: run:voters -->; -2.50 is left<!-- fig: 7.5 - (run:voters + 7) -->; no mark on 17.
At rest 251 MB<!-- fig: one_process:plan.rest.memory --> of 256, 15.2 %<!-- fig: one_process:plan.load.121.services_4.cpu --> of a core under load,
with 15,000<!-- fig: one_process:plan.services * one_process:plan.servers --> servers, 1,000<!-- fig: one_process:plan.tenants --> tenants and
14,000<!-- fig: one_process:plan.routes --> routes on one of 1,900<!-- fig: one_process:plan.nodes --> nodes; 8<!-- fig: one_process:cores --> cores,
24,150 MB<!-- fig: one_process:memory_mb -->, load 31.5<!-- fig: one_process:load -->, seed 7<!-- fig: one_process:seed -->.
A tenant more takes 6.4 KB<!-- fig: 1000 * (one_process:plan.rest.memory - one_process:tenants_125.rest.memory) / 875 -->.
Late were 225<!-- fig: run:untold.apart.n400 -->.`
	if err := Check("page.md", page, all); err != nil {
		t.Error(err)
	}
}

// Check reports a figure that was changed on the page, with its line, and accepts a figure with other decimals.
func TestChangedFigureOnPage(t *testing.T) {
	all, _ := testFiles(t)
	for number, good := range map[string]bool{
		"2": true, "2.0": true, "2.1": false, "1.9": false, "3": false, "-2": false, "20": false,
	} {
		page := fmt.Sprintf("# Capacity\n\n%s ms/s<!-- fig: run:idle.voter.cpu.slope -->\n", number)
		err := Check("page.md", page, all)
		if (err == nil) != good || err != nil && !strings.HasPrefix(err.Error(), "page.md:3: the page has "+number) {
			t.Errorf("number %s on the page: got error %v, want accepted: %v", number, err, good)
		}
	}
}

// CheckFile reports a figure that was changed in a file, because the page's figure or the file's derived figures no longer
// follow from it.
func TestChangedFigureInFile(t *testing.T) {
	page := "251 MB<!-- fig: one_process:plan.rest.memory -->, 225<!-- fig: run:untold.apart.n400 -->\n" +
		"2 ms/s<!-- fig: run:idle.voter.cpu.slope -->, 410<!-- fig: run:idle.voter.cpu.n200 -->, " +
		"385<!-- fig: run:idle.voter.cpu.mean -->, 1,900<!-- fig: plan:nodes -->\n"
	for _, change := range []struct{ file, old, new, want string }{
		{"run.json", `"value":410`, `"value":430`, "run.json:"},
		{"run.json", `"slope":2`, `"slope":2.1`, "slope is 2.1, but the points give 2"},
		{"run.json", `"intercept":10`, `"intercept":12`, "intercept is 12"},
		{"run.json", `"mean":385`, `"mean":380`, "mean is 380"},
		{"plan.json", `1900`, `1901`, "page.md:2: the page has 1,900, but plan:nodes is 1901"},
		{"run.json", `"seed"`, `"sed"`, `unknown field "sed"`},
		{"run.json", `"count": 225`, `"count": 22`, "page.md:1: the page has 225, but run:untold.apart.n400 is 22"},
		{"one-process.json", `250.609375`, `240.5`, "page.md:1: the page has 251, but one_process:plan.rest.memory is 240.5"},
		{"one-process.json", `"seed"`, `"sed"`, `one-process.json: json: unknown field "sed"`},
		{
			"one-process.json", `plan.load.121.services_4.cpu`, `plan.rest.memory`,
			"another figure has the name plan.rest.memory in marks too",
		},
		{"one-process.json", `"seed": 7`, `"seed": `, "one-process.json:"},
	} {
		_, folder := testFiles(t)
		path := filepath.Join(filepath.Dir(folder), "page.md")
		if err := os.WriteFile(path, []byte(page), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := CheckFile(path); err != nil {
			t.Fatal("the page is rejected before the change: ", err)
		}
		name := filepath.Join(folder, change.file)
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		changed := strings.Replace(string(text), change.old, change.new, 1)
		if changed == string(text) {
			t.Fatalf("the file %s has no text %s to change", change.file, change.old)
		}
		if err := os.WriteFile(name, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := CheckFile(path); err == nil || !strings.Contains(err.Error(), change.want) {
			t.Errorf("%s changed to %s: got error %v, want one with %q", change.old, change.new, err, change.want)
		}
	}
}

// Check rejects invalid pages with an error that says what is wrong.
func TestBadPages(t *testing.T) {
	all, _ := testFiles(t)
	for _, bad := range []struct{ page, want string }{
		{"nothing", "page.md: the page has no figure"},
		{"\n2<!-- fig: run:idle.voter.cpu.slope\n-->", `page.md:2: the mark has no closing "-->"`},
		{"| 2 | ms<!-- fig: run:voters -->", "page.md:1: the mark \"run:voters\" has no number before it"},
		{"2<!-- fig: 2 --> and<!-- fig: 2 -->", "the mark \"2\" has no number before it"},
		{"2<!-- fig: run:idle.voter.cpu -->", "run.json has no series idle.voter"},
		{"2<!-- fig: run:idle.voter.cpu.slop -->", "a series has no field slop"},
		{"2<!-- fig: run:idle.voter.cpu.n70 -->", "the series has no point at size 70"},
		{"2<!-- fig: run:idle.node.in.slope -->", "the series has no fitted line"},
		{"2<!-- fig: run:idle.node.in.at(3) -->", "the series has no fitted line"},
		{"2<!-- fig: other:voters -->", "there is no file of figures other.json"},
		{"2<!-- fig: run:words -->", "run.json has no words"},
		{"2<!-- fig: run:untold.apart.n40 -->", "run.json has no late nodes in step apart at size 40"},
		{"2<!-- fig: run:untold.apart -->", "is not untold.STEP.nSIZE"},
		{"2<!-- fig: one_process:plan.rest.cpu -->", "one-process.json has no plan.rest.cpu"},
		{"2<!-- fig: one_process:words -->", "one-process.json has no words"},
		{"2<!-- fig: one_process:plan.rest.memory.at(3) -->", "one-process.json has no series plan.rest.memory"},
		{"2<!-- fig: voters -->", "is not FILE:NAME"},
		{"2<!-- fig: 1 + -->", "the formula ends where a number"},
		{"2<!-- fig: (1 + 1 -->", "parenthesis is missing"},
		{"2<!-- fig: 1 1 -->", "is not expected here"},
		{"2<!-- fig: 1 % 1 -->", "is not expected here"},
		{"2<!-- fig: 1.2.3 -->", "is not a valid number"},
		{"2<!-- fig: 2 to 0 -->", "a finite number above 0"},
		{"2<!-- fig: 2 / (3 - run:voters) -->", "division by zero"},
		{"2<!-- fig: " + strings.Repeat("(", 100) + " -->", "nested too deep"},
	} {
		if err := Check("page.md", bad.page, all); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("page %q: got error %v, want one with %q", bad.page, err, bad.want)
		}
	}
}

// The repository's files of figures are valid, and its page follows from them if the page exists.
func TestOwnPage(t *testing.T) {
	const folder, page = "../../../docs/capacity", "../../../docs/CAPACITY.md"
	if _, err := ReadFiles(folder); err != nil {
		t.Error(err)
	}
	if err := CheckFile(page); err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}
