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

// The limits of a file that are checked before the file is decoded, in one pass that stores nothing of it.
const (
	MaxItems    = 1_000_000 // commas and opening braces in a file, which bound the items of arrays and inline tables
	MaxKeyParts = 1000      // parts of a dotted key
	MaxHosts    = 5000      // virtual hosts
	MaxDomains  = 50_000    // domains of all virtual hosts
)

// tableLimits limits the number of tables, or of an array's values, in a file, by the dotted names of the tables or arrays.
type tableLimits map[string]tableLimit

type tableLimit struct {
	max  int
	noun string // plural noun for the items in problems
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

// survey checks a file before it is decoded into the type of to. It returns the limit that the file exceeds, or, if
// the file has over maxProblems unknown keys, the first maxProblems of them. Decoding alone would be too expensive for such
// files: it holds the whole file in memory, and searches for the line of each unknown key from the beginning of the file. Up to
// maxProblems unknown keys, and syntax errors, are left to decoding.
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

// checkExpressionSizes limits the items and the parts of keys in a file, and with them the memory that the parser can need for
// one expression.
func checkExpressionSizes(name string, text []byte) error {
	if n := bytes.Count(text, []byte(",")) + bytes.Count(text, []byte("{")); n > MaxItems {
		text := fmt.Sprintf("over %d commas and braces of lists and inline tables", MaxItems)
		return &cluster.Problem{Source: name, Text: text}
	}
	for i, line := 1, []byte(nil); len(text) > 0; i++ {
		line, text, _ = bytes.Cut(text, []byte("\n"))
		if len(line) > 2*MaxKeyParts && hasLongKey(line) {
			return &cluster.Problem{Source: name, Line: i, Text: fmt.Sprintf("a key has over %d parts", MaxKeyParts)}
		}
	}
	return nil
}

// hasLongKey reports whether a line may have a key with over MaxKeyParts parts: whether it has more dots than that without an
// equals sign, a comma or a brace between them.
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
	counts        map[string]int // tables or array values so far, by the keys of limits
	limitExceeded error          // problem of the first limit that is exceeded
	unknown       []error        // problems of unknown keys
}

// unknownTable is the schema of an unknown key. The content of such a table or value is not checked.
var unknownTable = &schema{}

// resolve returns the schema of a dotted key in a table. It records the key as unknown if the table has no such key.
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

// keyValue surveys a key of a table and its value.
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

// array surveys the values of an array.
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

// inlineTable surveys an inline table.
func (s *surveyor) inlineTable(field *schema, value *unstable.Node) {
	if field.fields == nil {
		return
	}
	for items := value.Children(); items.Next() && len(s.unknown) <= maxProblems; {
		s.keyValue(field, items.Node())
	}
}

// countItem counts a table or an array's value, and records the limit if the count exceeds it.
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

// problem returns a problem with the line of a node of the syntax tree.
func (s *surveyor) problem(at *unstable.Node, field, text string) error {
	line := 1 + bytes.Count(s.text[:at.Raw.Offset], []byte("\n"))
	return &cluster.Problem{Source: s.name, Line: line, Field: field, Text: text}
}
