package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2/unstable"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
)

// The limits of a file that are checked before it is decoded, in one pass that stores nothing of the file.
const (
	MaxItems    = 1_000_000 // of lists and inline tables, by commas and braces
	MaxKeyParts = 1000      // of a dotted key
	MaxHosts    = 5000      // virtual hosts
	MaxDomains  = 50_000    // over all virtual hosts
)

// tableLimits limits the number of tables, or of a list's values, in a file, by their dotted names.
type tableLimits map[string]tableLimit

type tableLimit struct {
	max  int
	noun string // what problems call them
}

var (
	programLimits = tableLimits{
		"tenant": {MaxTenants, "tenants"}, "class": {MaxClasses, "classes"}, "listener": {MaxListeners, "listeners"},
		"host": {MaxHosts, "virtual hosts"}, "host.domains": {MaxDomains, "domains"},
		"host.route": {route.MaxRoutes, "routes"},
	}
	tenantLimits  = tableLimits{"tenant": {MaxTenants, "tenants"}}
	clusterLimits = tableLimits{
		"endpoint": {cluster.MaxEndpoints, "servers"}, "cluster.removed": {cluster.MaxEndpoints, "servers"},
	}
)

// survey returns the limit that a file exceeds, or its unknown keys if they are many, before it is decoded: decoding
// has the whole file in memory, and searches for the line of each unknown key from the file's beginning. A few unknown
// keys, and errors of syntax, are left to decoding.
func survey(name string, text []byte, to any, limits tableLimits) error {
	if err := checkExpressionSizes(name, text); err != nil {
		return err
	}
	s := surveyor{name: name, text: text, limits: limits, counts: map[string]int{}}
	root := schemaOf(reflect.TypeOf(to))
	table := root
	s.parser.Reset(text)
	for s.parser.NextExpression() {
		e := s.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = s.resolve(root, e.Key())
		case unstable.ArrayTable:
			table = s.resolve(root, e.Key())
			s.countItem(table, e)
		case unstable.KeyValue:
			s.keyValue(table, e)
		}
		if s.limitExceeded != nil {
			return s.limitExceeded
		}
		if len(s.unknown) > maxProblems {
			return errors.Join(s.unknown[:maxProblems]...)
		}
	}
	return nil
}

// checkExpressionSizes limits the memory that one expression can take in the parser.
func checkExpressionSizes(name string, text []byte) error {
	if n := bytes.Count(text, []byte(",")) + bytes.Count(text, []byte("{")); n > MaxItems {
		text := fmt.Sprintf("over %d commas and braces of lists and inline tables", MaxItems)
		return &cluster.Problem{Source: name, Text: text}
	}
	for i, line := 1, []byte(nil); len(text) > 0; i++ {
		line, text, _ = bytes.Cut(text, []byte("\n"))
		if len(line) > 2*MaxKeyParts && hasLongKey(line) {
			return &cluster.Problem{Source: name, Line: i, Text: fmt.Sprintf("a key of over %d parts", MaxKeyParts)}
		}
	}
	return nil
}

// hasLongKey reports whether a line has too many dots with nothing between them that can't be in a key.
func hasLongKey(line []byte) bool {
	dots := 0
	for _, b := range line {
		switch b {
		case '.':
			if dots++; dots > MaxKeyParts {
				return true
			}
		case '=', ',', '{', '}':
			dots = 0
		}
	}
	return false
}

// surveyor is the state of a survey.
type surveyor struct {
	name          string
	text          []byte
	parser        unstable.Parser
	limits        tableLimits
	counts        map[string]int // by the keys of limits
	limitExceeded error          // the first limit that is exceeded
	unknown       []error        // of unknown keys
}

// unknownTable is the schema of an unknown table.
var unknownTable = &schema{}

// resolve returns the schema that a key leads to, and records an unknown key.
func (s *surveyor) resolve(from *schema, key unstable.Iterator) *schema {
	for key.Next() && from.fields != nil {
		part := key.Node()
		next := from.field(part.Data)
		if next == nil {
			s.unknown = append(s.unknown, s.problem(part, joinKeys(from.path, truncate(string(part.Data))), "is no known key"))
			return unknownTable
		}
		from = next
	}
	return from
}

// keyValue surveys the value of a key.
func (s *surveyor) keyValue(table *schema, n *unstable.Node) {
	field := s.resolve(table, n.Key())
	value := n.Value()
	switch value.Kind {
	case unstable.InlineTable:
		s.inlineTable(field, value)
	case unstable.Array:
		s.array(field, n, value)
	}
}

// array surveys the values of a array.
func (s *surveyor) array(field *schema, n, value *unstable.Node) {
	_, limited := s.limits[field.path]
	if !limited && field.fields == nil {
		return
	}
	for items := value.Children(); items.Next() && s.limitExceeded == nil; {
		s.countItem(field, n)
		if items.Node().Kind == unstable.InlineTable {
			s.inlineTable(field, items.Node())
		}
	}
}

// inlineTable surveys an inlineTable table.
func (s *surveyor) inlineTable(field *schema, value *unstable.Node) {
	if field.fields == nil {
		return
	}
	for items := value.Children(); items.Next() && len(s.unknown) <= maxProblems; {
		s.keyValue(field, items.Node())
	}
}

// countItem counts a table or a list's value.
func (s *surveyor) countItem(field *schema, n *unstable.Node) {
	limit, limited := s.limits[field.path]
	if !limited {
		return
	}
	s.counts[field.path]++
	if s.counts[field.path] > limit.max && s.limitExceeded == nil {
		key := n.Key()
		key.Next()
		s.limitExceeded = s.problem(key.Node(), field.path, fmt.Sprintf("over %d %s", limit.max, limit.noun))
	}
}

func (s *surveyor) problem(at *unstable.Node, field, text string) error {
	line := 1 + bytes.Count(s.text[:at.Raw.Offset], []byte("\n"))
	return &cluster.Problem{Source: s.name, Line: line, Field: field, Text: text}
}
