package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Expression is what a figure on a page is worked out by.
type Expression interface {
	// Value works it out from files of figures.
	Value(files Files) (float64, error)
}

// Number is a number in an expression.
type Number float64

// Value gives the number.
func (n Number) Value(Files) (float64, error) { return float64(n), nil }

// Operator combines two expressions.
type Operator byte

// Operation is two expressions, combined.
type Operation struct {
	Operator    Operator
	Left, Right Expression
}

var errZero = errors.New("division by zero")

// Value works out both sides and combines them.
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

// Line is a series' line at a size.
type Line struct {
	Series Figure
	At     Expression
}

// Formula is an expression, and the step that its value is rounded to; 0: as many decimals as the page shows.
type Formula struct {
	Expression
	Step float64
}

// Parse reads a formula.
func Parse(text string) (*Formula, error) {
	p := &parser{rest: text}
	p.next()
	e, err := p.sum()
	if err != nil {
		return nil, err
	}
	f := &Formula{Expression: e}
	if p.token == "to" {
		p.next()
		if f.Step, err = strconv.ParseFloat(p.token, 64); err != nil || f.Step <= 0 || math.IsInf(f.Step, 0) {
			return nil, fmt.Errorf("to %q: a step above 0 is wanted", p.token)
		}
		p.next()
	}
	if p.token != "" {
		return nil, fmt.Errorf("%q is not expected here", p.token)
	}
	return f, nil
}

// parser reads an expression by recursive descent, a token ahead.
type parser struct {
	token, rest string
	depth       int
}

const (
	signs      = "+-*/()"
	letters    = "abcdefghijklmnopqrstuvwxyz0123456789_.:"
	depthLimit = 32
)

// next reads a token: a sign, or a run of what makes names and numbers; "": the end.
func (p *parser) next() {
	p.rest = strings.TrimLeft(p.rest, " \t")
	end := 0
	for end < len(p.rest) && strings.IndexByte(letters, p.rest[end]) >= 0 {
		end++
	}
	if end == 0 && p.rest != "" {
		end = 1
	}
	p.token, p.rest = p.rest[:end], p.rest[end:]
}

// sum reads products that are added and subtracted.
func (p *parser) sum() (Expression, error) { return p.operations("+-", p.product) }

// product reads operands that are multiplied and divided.
func (p *parser) product() (Expression, error) { return p.operations("*/", p.operand) }

func (p *parser) operations(operators string, operand func() (Expression, error)) (Expression, error) {
	left, err := operand()
	for err == nil && p.token != "" && strings.Contains(operators, p.token) {
		operator := Operator(p.token[0])
		p.next()
		var right Expression
		if right, err = operand(); err == nil {
			left = Operation{operator, left, right}
		}
	}
	return left, err
}

func (p *parser) operand() (Expression, error) {
	if p.depth++; p.depth > depthLimit {
		return nil, errors.New("is nested too deep")
	}
	defer func() { p.depth-- }()
	token := p.token
	switch {
	case token == "":
		return nil, errors.New("ends too soon")
	case token == "-":
		p.next()
		e, err := p.operand()
		return Operation{'-', Number(0), e}, err
	case token == "(":
		p.next()
		return p.parenthesis()
	case strings.Contains(signs, token) || strings.IndexByte(letters, token[0]) < 0:
		return nil, fmt.Errorf("%q is not expected here", token)
	}
	p.next()
	if token[0] >= '0' && token[0] <= '9' {
		v, err := strconv.ParseFloat(token, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no number", token)
		}
		return Number(v), nil
	}
	return p.figure(token)
}

// parenthesis reads an expression up to its closing sign.
func (p *parser) parenthesis() (Expression, error) {
	e, err := p.sum()
	if err != nil {
		return nil, err
	}
	if p.token != ")" {
		return nil, errors.New("a closing parenthesis is missing")
	}
	p.next()
	return e, nil
}

func (p *parser) figure(token string) (Expression, error) {
	file, name, found := strings.Cut(token, ":")
	if !found || file == "" || name == "" || strings.ContainsAny(name, ":") || strings.Contains(file, ".") {
		return nil, fmt.Errorf("%q is not FILE:NAME", token)
	}
	series, isLine := strings.CutSuffix(name, ".at")
	if !isLine || p.token != "(" {
		return Figure{file, name}, nil
	}
	p.next()
	at, err := p.parenthesis()
	return Line{Figure{file, series}, at}, err
}
