package config

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2/unstable"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
)

// The bounds of what a file may hold before it is decoded. They are found in one pass that keeps nothing of the file.
const (
	MaxItems    = 1_000_000 // of lists and inline tables, by commas and braces
	MaxKeyParts = 1000      // of a dotted key
	MaxHosts    = 5000      // virtual hosts
	MaxDomains  = 50_000    // over all virtual hosts
	maxFaults   = 20        // told of a file at a time
	maxFault    = 1000      // bytes of what is told of one
)

// tableLimits bounds how often tables or a list's values stand in a file, by their dotted names.
type tableLimits map[string]tableLimit

type tableLimit struct {
	most int
	what string
}

var (
	programLimits = tableLimits{
		"tenant": {MaxTenants, "tenants"}, "class": {MaxClasses, "classes"}, "listener": {MaxListeners, "listeners"},
		"host": {MaxHosts, "virtual hosts"}, "host.domains": {MaxDomains, "domains"}, "host.route": {route.MaxRoutes, "routes"},
	}
	tenantLimits  = tableLimits{"tenant": {MaxTenants, "tenants"}}
	clusterLimits = tableLimits{"endpoint": {cluster.MaxEndpoints, "servers"}, "cluster.removed": {cluster.MaxEndpoints, "servers"}}
)

// schema is what the keys of a table may be, by the type that it is decoded into.
type schema struct {
	path   string             // dotted; "" for the whole file
	fields map[string]*schema // nil: whatever it holds is looked at by decoding alone
}

var schemas sync.Map // of schema by reflect.Type

func schemaOf(t reflect.Type) *schema {
	if s, known := schemas.Load(t); known {
		return s.(*schema)
	}
	s := newSchema(t, "")
	schemas.Store(t, s)
	return s
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func newSchema(t reflect.Type, path string) *schema {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	s := &schema{path: path}
	if t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(textUnmarshaler) {
		return s
	}
	s.fields = map[string]*schema{}
	s.addFields(t)
	return s
}

func (s *schema) addFields(t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		switch {
		case f.Anonymous && name == "":
			s.addFields(f.Type)
		case name != "":
			s.fields[strings.ToLower(name)] = newSchema(f.Type, join(s.path, name))
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field gives that of a key, nil if there is none of the name. Letters' case doesn't count, as in decoding.
func (s *schema) field(key []byte) *schema {
	if f := s.fields[string(key)]; f != nil {
		return f
	}
	return s.fields[strings.ToLower(string(key))]
}

// survey tells what is too much in a file, or not known in many places, before it is decoded: decoding holds all of a
// file in memory, and looks for the line of each unknown key from the file's beginning. A few unknown keys, and
// faults of syntax, are left to decoding.
func survey(name string, text []byte, to any, limits tableLimits) error {
	if err := surveyItems(name, text); err != nil {
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
			table = s.enter(root, e.Key())
		case unstable.ArrayTable:
			table = s.enter(root, e.Key())
			s.count(table, e)
		case unstable.KeyValue:
			s.keyValue(table, e)
		}
		if s.tooMuch != nil {
			return s.tooMuch
		}
		if len(s.unknown) > maxFaults {
			return errors.Join(s.unknown[:maxFaults]...)
		}
	}
	return nil
}

// surveyItems bounds what one expression can make the parser hold.
func surveyItems(name string, text []byte) error {
	if n := bytes.Count(text, []byte(",")) + bytes.Count(text, []byte("{")); n > MaxItems {
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d commas and braces of lists and inline tables", MaxItems)}
	}
	for i, line := 1, []byte(nil); len(text) > 0; i++ {
		line, text, _ = bytes.Cut(text, []byte("\n"))
		if len(line) > 2*MaxKeyParts && longKey(line) {
			return &cluster.Problem{Source: name, Line: i, Text: fmt.Sprintf("a key of over %d parts", MaxKeyParts)}
		}
	}
	return nil
}

// longKey tells whether there are too many dots in a line with nothing between them that can't stand in a key.
func longKey(line []byte) bool {
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

type surveyor struct {
	name    string
	text    []byte
	parser  unstable.Parser
	limits  tableLimits
	counts  map[string]int
	tooMuch error
	unknown []error
}

// anything is what an unknown table may hold.
var anything = &schema{}

// enter gives what a key leads to.
func (s *surveyor) enter(from *schema, key unstable.Iterator) *schema {
	for key.Next() && from.fields != nil {
		part := key.Node()
		next := from.field(part.Data)
		if next == nil {
			s.unknown = append(s.unknown, s.problem(part, join(from.path, shorten(string(part.Data))), "is no known key"))
			return anything
		}
		from = next
	}
	return from
}

func (s *surveyor) keyValue(table *schema, n *unstable.Node) {
	field := s.enter(table, n.Key())
	value := n.Value()
	switch value.Kind {
	case unstable.InlineTable:
		s.inline(field, value)
	case unstable.Array:
		s.list(field, n, value)
	}
}

func (s *surveyor) list(field *schema, n, value *unstable.Node) {
	_, limited := s.limits[field.path]
	if !limited && field.fields == nil {
		return
	}
	for items := value.Children(); items.Next() && s.tooMuch == nil; {
		s.count(field, n)
		if items.Node().Kind == unstable.InlineTable {
			s.inline(field, items.Node())
		}
	}
}

func (s *surveyor) inline(field *schema, value *unstable.Node) {
	if field.fields == nil {
		return
	}
	for items := value.Children(); items.Next() && len(s.unknown) <= maxFaults; {
		s.keyValue(field, items.Node())
	}
}

// count counts one more of a table or of a list's values.
func (s *surveyor) count(field *schema, n *unstable.Node) {
	limit, limited := s.limits[field.path]
	if !limited {
		return
	}
	s.counts[field.path]++
	if s.counts[field.path] > limit.most && s.tooMuch == nil {
		key := n.Key()
		key.Next()
		s.tooMuch = s.problem(key.Node(), field.path, fmt.Sprintf("over %d %s", limit.most, limit.what))
	}
}

func (s *surveyor) problem(at *unstable.Node, field, text string) error {
	line := 1 + bytes.Count(s.text[:at.Raw.Offset], []byte("\n"))
	return &cluster.Problem{Source: s.name, Line: line, Field: field, Text: text}
}

// shorten bounds what is told of a fault.
func shorten(text string) string {
	if len(text) <= maxFault {
		return text
	}
	return text[:maxFault] + "..."
}

// shortenLines bounds what is told of many.
func shortenLines(text string) string {
	lines := strings.SplitN(text, "\n", maxFaults+1)
	lines = lines[:min(len(lines), maxFaults)]
	for i := range lines {
		lines[i] = shorten(lines[i])
	}
	return strings.Join(lines, "\n")
}
