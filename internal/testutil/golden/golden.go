// Package golden compares values with golden files. The files have data in the form in which the program has stored or sent
// it, and which later versions of the program must still read.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Lines compares a file that has one JSON value on each line with the values in want. It decodes each line with Strict and
// compares the result with the line's value, and it encodes the value and compares the bytes with the line. No field of a value
// may have its zero value.
func Lines(t *testing.T, path string, want ...any) {
	t.Helper()
	lines := bytes.Split(bytes.TrimSuffix(Read(t, path), []byte("\n")), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%s: %d lines; want %d", path, len(lines), len(want))
	}
	for i, line := range lines {
		NonZero(t, want[i])
		got := reflect.New(reflect.TypeOf(want[i]))
		Strict(t, line, got.Interface())
		if !reflect.DeepEqual(got.Elem().Interface(), want[i]) {
			t.Errorf("%s:%d: decoded %+v; want %+v", path, i+1, got.Elem().Interface(), want[i])
		}
		text, err := json.Marshal(want[i])
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, line) {
			t.Errorf("%s:%d: encoded\n%s\nwant\n%s", path, i+1, text, line)
		}
	}
}

// Read returns the content of a golden file.
func Read(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Strict decodes JSON into the value that to points to. The test fails if the JSON has a field that the value's type doesn't
// have.
func Strict(t *testing.T, data []byte, to any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		t.Fatalf("decoding JSON: %v in %s", err, data)
	}
}

// NonZero fails the test if a field of a value that is encoded in JSON has its zero value. A new field therefore has to be added
// to the golden file.
func NonZero(t *testing.T, v any) {
	t.Helper()
	checkNonZero(t, reflect.TypeOf(v).String(), reflect.ValueOf(v))
}

// checkNonZero fails the test for each zero value within v. path names v in the failure message.
func checkNonZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s has its zero value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkNonZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
				checkNonZero(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkNonZero(t, path+"[]", v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			checkNonZero(t, path+"[]", v.MapIndex(key))
		}
	}
}
