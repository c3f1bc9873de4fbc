package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// signs are the tokens of one character.
	signs = "+-*/()"
	// nameCharacters are what names and numbers are made of.
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789_.:"
	// maxDepth is how deep operands may be nested.
	maxDepth = 32
)

// ParseFormula parses a formula.
func ParseFormula(text string) (*Formula, error) {
	p := &parser{rest: text}
	p.advance()
	e, err := p.sum()
	if err != nil {
		return nil, err
	}
	f := &Formula{Expression: e}
	if p.token == "to" {
		p.advance()
		if f.Step, err = strconv.ParseFloat(p.token, 64); err != nil || f.Step <= 0 || math.IsInf(f.Step, 0) {
			return nil, fmt.Errorf("to %q: a step above 0 is wanted", p.token)
		}
		p.advance()
	}
	if p.token != "" {
		return nil, fmt.Errorf("%q is not expected here", p.token)
	}
	return f, nil
}

// parser parses an expression by recursive descent.
type parser struct {
	token string // the next one; "": the end
	rest  string // of the text, after the token
	depth int
}

// advance reads the next token: a sign, or a name or number.
func (p *parser) advance() {
	p.rest = strings.TrimLeft(p.rest, " \t")
	end := 0
	for end < len(p.rest) && strings.IndexByte(nameCharacters, p.rest[end]) >= 0 {
		end++
	}
	if end == 0 && p.rest != "" {
		end = 1
	}
	p.token, p.rest = p.rest[:end], p.rest[end:]
}

// sum parses products that are added and subtracted.
func (p *parser) sum() (Expression, error) { return p.operations("+-", p.product) }

// product parses operands that are multiplied and divided.
func (p *parser) product() (Expression, error) { return p.operations("*/", p.operand) }

// operations parses operands between operators of one precedence, from left to right.
func (p *parser) operations(operators string, operand func() (Expression, error)) (Expression, error) {
	left, err := operand()
	for err == nil && p.token != "" && strings.Contains(operators, p.token) {
		operator := Operator(p.token[0])
		p.advance()
		var right Expression
		if right, err = operand(); err == nil {
			left = Operation{operator, left, right}
		}
	}
	return left, err
}

// operand parses a number, a figure, an operand with a minus, or an expression in parentheses.
func (p *parser) operand() (Expression, error) {
	if p.depth++; p.depth > maxDepth {
		return nil, errors.New("is nested too deep")
	}
	defer func() { p.depth-- }()
	token := p.token
	switch {
	case token == "":
		return nil, errors.New("ends too soon")
	case token == "-":
		p.advance()
		e, err := p.operand()
		return Operation{'-', Number(0), e}, err
	case token == "(":
		p.advance()
		return p.parenthesis()
	case strings.Contains(signs, token) || strings.IndexByte(nameCharacters, token[0]) < 0:
		return nil, fmt.Errorf("%q is not expected here", token)
	}
	p.advance()
	if token[0] >= '0' && token[0] <= '9' {
		v, err := strconv.ParseFloat(token, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no number", token)
		}
		return Number(v), nil
	}
	return p.figure(token)
}

// parenthesis parses an expression up to its closing sign, after the opening one.
func (p *parser) parenthesis() (Expression, error) {
	e, err := p.sum()
	if err != nil {
		return nil, err
	}
	if p.token != ")" {
		return nil, errors.New("a closing parenthesis is missing")
	}
	p.advance()
	return e, nil
}

// figure parses what a name, the token before the next, begins: a figure, or a line's value at a size.
func (p *parser) figure(token string) (Expression, error) {
	file, name, found := strings.Cut(token, ":")
	if !found || file == "" || name == "" || strings.ContainsAny(name, ":") || strings.Contains(file, ".") {
		return nil, fmt.Errorf("%q is not FILE:NAME", token)
	}
	series, isLine := strings.CutSuffix(name, ".at")
	if !isLine || p.token != "(" {
		return Figure{file, name}, nil
	}
	p.advance()
	size, err := p.parenthesis()
	return Line{Figure{file, series}, size}, err
}
