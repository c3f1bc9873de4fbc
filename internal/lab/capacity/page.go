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

// Problem describes a figure on a page that does not follow from the files, or another error of the page.
type Problem struct {
	Page string
	Line int // line number from 1, or 0 for the whole page
	Text string
}

// Error returns the problem's text after the page and the line, in the form of a compiler's messages: PAGE:LINE: TEXT.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Page, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s", p.Page, p.Line, p.Text)
}

// A mark is a formula between markStart and markEnd.
const markStart, markEnd = "<!-- fig:", "-->"

// lastNumber matches the last number in the text before a mark, with the text that may follow it up to the mark. Its
// groups are the character before the number, the sign, the number without its sign, and the decimals.
var lastNumber = regexp.MustCompile(`(^|[^0-9.,])([-−]?)([0-9][0-9,]*(?:\.([0-9]+))?)[^0-9|]*$`)

// CheckFile checks a page against the files in the folder "capacity" that is in the page's folder. It returns the error of
// Check, or an error if the page or a file of figures can't be read.
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

// Check checks the text of a page against files. The error joins a *Problem for each figure that does not follow from the
// files, or has a *Problem for the whole page if the page has no mark. name is the page's name in messages.
func Check(name, text string, files Files) error {
	var problems []error
	marks := 0
	for i, line := range strings.Split(text, "\n") {
		report := func(format string, args ...any) {
			problems = append(problems, &Problem{name, i + 1, fmt.Sprintf(format, args...)})
		}
		before := ""
		for {
			prefix, rest, found := strings.Cut(line, markStart)
			if !found {
				break
			}
			marks++
			formula, behind, closed := strings.Cut(rest, markEnd)
			if !closed {
				report("the mark has no closing %q on its line", markEnd)
				break
			}
			if err := checkFigure(before+prefix, strings.TrimSpace(formula), files); err != nil {
				report("%v", err)
			}
			before, line = "|", behind // ends the search for the next mark's number, as a number belongs to one mark only
		}
	}
	if marks == 0 {
		problems = append(problems, &Problem{Page: name, Text: "the page has no figure with a mark, so that nothing is checked"})
	}
	return errors.Join(problems...)
}

// roundingSlack is the tolerance for floating-point errors, as a fraction of the rounding step.
const roundingSlack = 1e-6

// checkFigure checks the last number in the text before a mark against the mark's formula.
func checkFigure(before, formula string, files Files) error {
	m := lastNumber.FindStringSubmatch(before)
	if m == nil {
		return fmt.Errorf("the mark %q has no number before it", formula)
	}
	sign, number, decimals := m[2], m[3], len(m[4])
	value, err := strconv.ParseFloat(strings.ReplaceAll(number, ",", ""), 64)
	if err != nil {
		return fmt.Errorf("%q before the mark is not a valid number", number)
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
		return fmt.Errorf("the mark %q has the value %v, which is not a finite number", formula, want)
	}
	step := f.Step
	if step == 0 {
		step = math.Pow10(-decimals)
	}
	if math.Abs(value-want) > step*(0.5+roundingSlack) {
		return fmt.Errorf("the page has %s%s, but %s is %v", sign, number, formula, strconv.FormatFloat(want, 'g', 6, 64))
	}
	return nil
}
