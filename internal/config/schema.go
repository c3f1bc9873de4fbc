package config

import (
	"encoding"
	"reflect"
	"strings"
	"sync"
)

// schema is the known keys of a table, by the type that it is decoded into.
type schema struct {
	path   string             // dotted; "" for the whole file
	fields map[string]*schema // nil: its content is checked by decoding alone
}

var schemas sync.Map // *schema by reflect.Type

// schemaOf returns the schema of a type.
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
			s.fields[strings.ToLower(name)] = newSchema(f.Type, joinKeys(s.path, name))
		}
	}
}

func joinKeys(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// field returns the schema of a key, whatever the case of its letters, as in decoding; nil: the key is unknown.
func (s *schema) field(key []byte) *schema {
	if f := s.fields[string(key)]; f != nil {
		return f
	}
	return s.fields[strings.ToLower(string(key))]
}
