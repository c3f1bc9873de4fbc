package capacity

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// signs are the tokens that consist of one character.
	signs = "+-*/()"
	// nameCharacters are the characters of names and numbers.
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789_.:"
	// maxDepth is the maximum depth of nested operands.
	maxDepth = 32
)

// ParseFormula parses the formula of a mark: an expression, and optionally "to STEP".
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
			return nil, fmt.Errorf("to %q: the step must be a finite number above 0", p.token)
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
	token string // the next token; "" at the end of the text
	rest  string // the text after the token
	depth int    // depth of nested operands
}

// advance reads the next token: a sign, a name or a number. Any other character is a token too, which operand and
// ParseFormula reject.
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

// sum parses products that are combined by + and -.
func (p *parser) sum() (Expression, error) { return p.operations("+-", p.product) }

// product parses operands that are combined by * and /.
func (p *parser) product() (Expression, error) { return p.operations("*/", p.operand) }

// operations parses operands that are combined by operators of one precedence, from left to right.
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

// operand parses a number, a figure, an operand after a minus sign, or an expression in parentheses.
func (p *parser) operand() (Expression, error) {
	if p.depth++; p.depth > maxDepth {
		return nil, errors.New("the formula is nested too deep")
	}
	defer func() { p.depth-- }()
	token := p.token
	switch {
	case token == "":
		return nil, errors.New("the formula ends where a number, a figure or a parenthesis is expected")
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
			return nil, fmt.Errorf("%q is not a valid number", token)
		}
		return Number(v), nil
	}
	return p.figure(token)
}

// parenthesis parses an expression and the closing parenthesis, after the opening parenthesis.
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

// figure parses a figure, or the value of a fitted line at a size. token is the name with which it begins; p.token is the
// token after the name.
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
