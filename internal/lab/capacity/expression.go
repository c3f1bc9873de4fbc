package capacity

import "errors"

// Expression is what a figure on a page is calculated by.
type Expression interface {
	// Value calculates it from files of figures.
	Value(files Files) (float64, error)
}

// Formula is an expression, and the step that its value is rounded to; 0: as many decimals as the page shows.
type Formula struct {
	Expression
	Step float64
}

// Number is a number in an expression.
type Number float64

// Value returns the number.
func (n Number) Value(Files) (float64, error) { return float64(n), nil }

// Operator combines two expressions: +, -, * or /.
type Operator byte

// Operation is two expressions, combined.
type Operation struct {
	Operator    Operator
	Left, Right Expression
}

var errZero = errors.New("division by zero")

// Value calculates both sides and combines them. The error is a side's, or a division by zero.
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
		return 0, errZero
	}
	return left / right, nil
}

// Figure is a figure of a file, by its name there.
type Figure struct {
	File, Name string
}

// Value returns the file's figure.
func (g Figure) Value(files Files) (float64, error) {
	f, err := files.file(g.File)
	if err != nil {
		return 0, err
	}
	return f.Value(g.Name)
}

// Line is the value of a series' line at a size.
type Line struct {
	Series Figure
	Size   Expression
}

// Value returns the line's value.
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
