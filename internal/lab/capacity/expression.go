package capacity

import "errors"

// Expression calculates a figure on a page.
type Expression interface {
	// Value calculates the figure from files of figures.
	Value(files Files) (float64, error)
}

// Formula is the content of a mark: an expression, and the step to whose multiples its value is rounded. If Step is 0, the
// value is rounded to as many decimals as the number on the page has.
type Formula struct {
	Expression
	Step float64
}

// Number is a literal number in an expression.
type Number float64

// Value returns the number.
func (n Number) Value(Files) (float64, error) { return float64(n), nil }

// Operator is an arithmetic operator: +, -, * or /.
type Operator byte

// Operation combines two expressions by an operator.
type Operation struct {
	Operator    Operator
	Left, Right Expression
}

var errDivisionByZero = errors.New("division by zero")

// Value calculates both operands and combines them. It returns an error if an operand has one, or on division by zero.
func (o Operation) Value(files Files) (float64, error) {
	left, err := o.Left.Value(files)
	if err != nil {
		return 0, err
	}
	right, err := o.Right.Value(files)
	if err != nil {
		return 0, err
	}
	switch o.Operator {
	case '+':
		return left + right, nil
	case '-':
		return left - right, nil
	case '*':
		return left * right, nil
	}
	if right == 0 {
		return 0, errDivisionByZero
	}
	return left / right, nil
}

// Figure is a reference to a figure by its name in a file.
type Figure struct {
	File, Name string
}

// Value returns the figure's value in the file.
func (g Figure) Value(files Files) (float64, error) {
	f, err := files.file(g.File)
	if err != nil {
		return 0, err
	}
	return f.Value(g.Name)
}

// Line is a reference to the value, at a size, of the line fitted to a series.
type Line struct {
	Series Figure
	Size   Expression
}

// Value returns the value of the fitted line at the size.
func (l Line) Value(files Files) (float64, error) {
	f, err := files.file(l.Series.File)
	if err != nil {
		return 0, err
	}
	size, err := l.Size.Value(files)
	if err != nil {
		return 0, err
	}
	return f.LineAt(l.Series.Name, size)
}
