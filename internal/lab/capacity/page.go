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

// Problem is a place on a page whose figure does not follow from the files.
type Problem struct {
	Page string
	Line int // from 1; 0: the whole page
	Text string
}

// Error returns the problem with its place, as compilers do.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Page, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s", p.Page, p.Line, p.Text)
}

// A mark is a formula between these.
const markBegins, markEnds = "<!-- fig:", "-->"

// numberAtEnd matches a number at the end of a text, with what may stand between it and its mark. Its groups are what
// stands before, the sign, the digits, and the decimals.
var numberAtEnd = regexp.MustCompile(`(^|[^0-9.,])([-−]?)([0-9][0-9,]*(?:\.([0-9]+))?)[^0-9|]*$`)

// CheckFile checks a page against the files in the folder "capacity" beside it. The error is as that of Check, or of a
// file that can't be read.
func CheckFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files, err := ReadFiles(filepath.Join(filepath.Dir(path), "capacity"))
	if err != nil {
		return err
	}
	return Check(path, string(text), files)
}

// Check checks a page against files. The error joins a *Problem for each figure that does not follow from them, and has
// one if the page has no mark. name is what messages call the page.
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

// roundingSlack is the part of a step that floating point may leave over.
const roundingSlack = 1e-6

// checkFigure checks the number at the end of a text against a formula.
func checkFigure(before, formula string, files Files) error {
	m := numberAtEnd.FindStringSubmatch(before)
	if m == nil {
		return fmt.Errorf("no number stands before the mark %q", formula)
	}
	sign, number, decimals := m[2], m[3], len(m[4])
	value, err := strconv.ParseFloat(strings.ReplaceAll(number, ",", ""), 64)
	if err != nil {
		return fmt.Errorf("%q is no number", number)
	}
	if sign != "" {
		value = -value
	}
	f, err := ParseFormula(formula)
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
	if math.Abs(value-want) > step*(0.5+roundingSlack) {
		return fmt.Errorf("the page has %s%s, and %s is %v", sign, number, formula, strconv.FormatFloat(want, 'g', 6, 64))
	}
	return nil
}
