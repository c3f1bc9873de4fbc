package translate

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

var tableRow = regexp.MustCompile("^\\| ((?:`[a-z0-9_]+`(?:, )?)+) \\| (honoured|mapped|ignored|refused) \\|")

// fieldTable is the table of docs/xds-fields.md: the treatment of each field, by message and field name.
type fieldTable map[string]map[string]string

// readFieldTable reads docs/xds-fields.md and checks that it lists no field twice.
func readFieldTable(t *testing.T) fieldTable {
	text, err := os.ReadFile("../../../docs/xds-fields.md")
	if err != nil {
		t.Fatal(err)
	}
	table := fieldTable{}
	message := ""
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(line, "## "); ok {
			message = strings.TrimSpace(name)
			table[message] = map[string]string{}
		}
		row := tableRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		for _, field := range strings.Split(row[1], ", ") {
			field = strings.Trim(field, "`")
			if table[message][field] != "" {
				t.Errorf("%s.%s is listed twice in docs/xds-fields.md", message, field)
			}
			table[message][field] = row[2]
		}
	}
	return table
}

// checkField sets or clears a field of a valid resource, and checks that the result is as the treatment says: unchanged
// for "ignored", changed for "honoured" and "mapped", and an error that names the field for "refused". It reports
// whether examples has a value for the field; otherwise the value comes from setOrClear.
func (s *subject) checkField(t *testing.T, f protoreflect.FieldDescriptor, treatment string) (hasExample bool) {
	whole, part := s.make()
	baseName, base, err := options.Decode(s.t, pack(whole()))
	if err != nil {
		t.Fatalf("%s: the valid resource is rejected: %v", f.FullName(), err)
	}
	short := fmt.Sprintf("%s.%s", part.ProtoReflect().Descriptor().Name(), f.Name())
	set, hasExample := examples[short]
	if hasExample {
		set(part)
	} else {
		setOrClear(part.ProtoReflect(), f)
	}
	name, got, err := options.Decode(s.t, pack(whole()))
	same := err == nil && name == baseName && reflect.DeepEqual(got, base)
	switch {
	case treatment == "":
		t.Errorf("%s is missing in docs/xds-fields.md", f.FullName())
	case treatment == "ignored" && !same:
		t.Errorf("%s is listed as ignored, but the result changes, or an error is returned: %v", short, err)
	case treatment == "refused" && (err == nil || !strings.Contains(err.Error(), string(f.Name()))):
		t.Errorf("%s is listed as refused, but the error does not name it: %v", short, err)
	case (treatment == "honoured" || treatment == "mapped") && same:
		t.Errorf("%s is listed as %s, but the result does not change", short, treatment)
	}
	return hasExample
}

// TestFieldTable checks that docs/xds-fields.md lists each field once, with the treatment that the code gives it.
func TestFieldTable(t *testing.T) {
	table := readFieldTable(t)
	used := 0
	for _, s := range subjects {
		_, part := s.make()
		message := part.ProtoReflect().Descriptor()
		rows := table[string(message.FullName())]
		for i := range message.Fields().Len() {
			f := message.Fields().Get(i)
			if s.checkField(t, f, rows[string(f.Name())]) {
				used++
			}
			delete(rows, string(f.Name()))
		}
		if len(rows) > 0 {
			t.Errorf("message %s has no fields %v, which docs/xds-fields.md lists", message.FullName(), rows)
		}
		delete(table, string(message.FullName()))
	}
	if len(table) > 0 || used != len(examples) {
		t.Errorf("messages listed in docs/xds-fields.md but not tested: %v; %d of %d examples used", table, used, len(examples))
	}
}
