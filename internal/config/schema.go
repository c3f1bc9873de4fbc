package config

import (
	"encoding"
	"reflect"
	"strings"
	"sync"
)

// schema describes the known keys of a table, which are those of the struct type that the table is decoded into.
type schema struct {
	path   string             // dotted name of the table; "" for the whole file
	fields map[string]*schema // by key in lower case; nil: the survey does not check the keys, decoding does
}

// schemas caches the schemas of types that are decoded into: *schema by reflect.Type.
var schemas sync.Map

// schemaOf returns the schema of a type, from the cache if possible.
func schemaOf(t reflect.Type) *schema {
	if s, known := schemas.Load(t); known {
		return s.(*schema)
	}
	s := newSchema(t, "")
	schemas.Store(t, s)
	return s
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// newSchema returns the schema of a type at a dotted path. Types that are not structs, and types that decode themselves from
// text, have no fields.
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

// addFields adds the fields of a struct type that have a toml tag, and those of its embedded structs.
func (s *schema) addFields(t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		switch {
		case f.Anonymous && name == "":
			s.addFields(f.Type)
		case name != "":
			s.fields[strings.ToLower(name)] = newSchema(f.Type, joinKeys(s.path, name))
		}
	}
}

// joinKeys appends a name to a dotted path, which may be empty.
func joinKeys(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field returns the schema of a key, or nil if the key is unknown. It ignores the case of letters, as decoding does.
func (s *schema) field(key []byte) *schema {
	if f := s.fields[string(key)]; f != nil {
		return f
	}
	return s.fields[strings.ToLower(string(key))]
}
