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

// fieldPage is what docs/xds-fields.md says of each field, by message and field.
type fieldPage map[string]map[string]string

// readFieldPage reads the page and checks that it names no field twice.
func readFieldPage(t *testing.T) fieldPage {
	text, err := os.ReadFile("../../../docs/xds-fields.md")
	if err != nil {
		t.Fatal(err)
	}
	page := fieldPage{}
	message := ""
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(line, "## "); ok {
			message = strings.TrimSpace(name)
			page[message] = map[string]string{}
		}
		row := tableRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		for _, field := range strings.Split(row[1], ", ") {
			field = strings.Trim(field, "`")
			if page[message][field] != "" {
				t.Errorf("%s.%s stands there twice", message, field)
			}
			page[message][field] = row[2]
		}
	}
	return page
}

// checkField checks what the page says of a field: whether the resource is as without the field, another one, or
// rejected by the field's name. It reports whether the field has an example; otherwise its value is made up.
func (s *subject) checkField(t *testing.T, f protoreflect.FieldDescriptor, treatment string) (hasExample bool) {
	whole, part := s.make()
	baseName, base, err := options.Decode(s.t, pack(whole()))
	if err != nil {
		t.Fatalf("%s: the example is refused: %v", f.FullName(), err)
	}
	short := fmt.Sprintf("%s.%s", part.ProtoReflect().Descriptor().Name(), f.Name())
	set, hasExample := examples[short]
	if hasExample {
		set(part)
	} else {
		made(part.ProtoReflect(), f)
	}
	name, got, err := options.Decode(s.t, pack(whole()))
	same := err == nil && name == baseName && reflect.DeepEqual(got, base)
	switch {
	case treatment == "":
		t.Errorf("%s is missing", f.FullName())
	case treatment == "ignored" && !same:
		t.Errorf("%s is ignored, but: %v", short, err)
	case treatment == "refused" && (err == nil || !strings.Contains(err.Error(), string(f.Name()))):
		t.Errorf("%s is refused, but: %v", short, err)
	case (treatment == "honoured" || treatment == "mapped") && same:
		t.Errorf("%s is %s, but nothing changes", short, treatment)
	}
	return hasExample
}

// TestFieldTable checks that docs/xds-fields.md names each field once, and says of it what the code does.
func TestFieldTable(t *testing.T) {
	page := readFieldPage(t)
	used := 0
	for _, s := range subjects {
		_, part := s.make()
		message := part.ProtoReflect().Descriptor()
		rows := page[string(message.FullName())]
		for i := range message.Fields().Len() {
			f := message.Fields().Get(i)
			if s.checkField(t, f, rows[string(f.Name())]) {
				used++
			}
			delete(rows, string(f.Name()))
		}
		if len(rows) > 0 {
			t.Errorf("%s has no %v", message.FullName(), rows)
		}
		delete(page, string(message.FullName()))
	}
	if len(page) > 0 || used != len(examples) {
		t.Errorf("messages that are not looked at: %v; %d of %d examples used", page, used, len(examples))
	}
}
