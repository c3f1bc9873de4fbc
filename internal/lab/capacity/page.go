package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// Problem is a place on a page that the files don't bear out.
type Problem struct {
	Page string
	Line int // from 1; 0: the whole page
	Text string
}

// Error says it as compilers do.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Page, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s", p.Page, p.Line, p.Text)
}

const markBegins, markEnds = "<!-- fig:", "-->"

// shown is a number at the end of a text, with what may stand between it and its mark.
var shown = regexp.MustCompile(`(^|[^0-9.,])([-−]?)([0-9][0-9,]*(?:\.([0-9]+))?)[^0-9|]*$`)

// CheckFile checks a page against the files in the folder "capacity" beside it.
func CheckFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files, err := Read(filepath.Join(filepath.Dir(path), "capacity"))
	if err != nil {
		return err
	}
	return Check(path, string(text), files)
}

// Check checks a page against files; the error has a Problem for each figure that is not theirs. name is what
// messages call the page.
func Check(name, text string, files Files) error {
	var problems []error
	marks := 0
	for i, line := range strings.Split(text, "\n") {
		report := func(format string, args ...any) {
			problems = append(problems, &Problem{name, i + 1, fmt.Sprintf(format, args...)})
		}
		before := ""
		for {
			prefix, rest, found := strings.Cut(line, markBegins)
			if !found {
				break
			}
			marks++
			formula, behind, closed := strings.Cut(rest, markEnds)
			if !closed {
				report("a mark has no %q on its line", markEnds)
				break
			}
			if err := checkFigure(before+prefix, strings.TrimSpace(formula), files); err != nil {
				report("%v", err)
			}
			before, line = "|", behind // a number belongs to one mark
		}
	}
	if marks == 0 {
		problems = append(problems, &Problem{Page: name, Text: "has no figure with a mark: nothing is checked"})
	}
	return errors.Join(problems...)
}

// checkFigure checks the number at the end of a text against a formula.
func checkFigure(before, formula string, files Files) error {
	m := shown.FindStringSubmatch(before)
	if m == nil {
		return fmt.Errorf("no number stands before the mark %q", formula)
	}
	number, decimals := m[3], len(m[4])
	value, err := strconv.ParseFloat(strings.ReplaceAll(number, ",", ""), 64)
	if err != nil {
		return fmt.Errorf("%q is no number", number)
	}
	if m[2] != "" {
		value = -value
	}
	f, err := Parse(formula)
	if err != nil {
		return fmt.Errorf("the mark %q: %w", formula, err)
	}
	want, err := f.Value(files)
	if err != nil {
		return fmt.Errorf("the mark %q: %w", formula, err)
	}
	if math.IsNaN(want) || math.IsInf(want, 0) {
		return fmt.Errorf("the mark %q gives %v", formula, want)
	}
	step := f.Step
	if step == 0 {
		step = math.Pow10(-decimals)
	}
	const slack = 1e-6 // of a step, for what floating point leaves over
	if math.Abs(value-want) > step*(0.5+slack) {
		return fmt.Errorf("the page has %s%s, and %s is %v", m[2], number, formula, strconv.FormatFloat(want, 'g', 6, 64))
	}
	return nil
}
