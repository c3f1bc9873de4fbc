package docscheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const logEventsPage = "docs/log-events.md"

// logEventsHead is the text of the page up to the first row of its table.
const logEventsHead = `# Log events

The log lines of the programs that serve, for searching: events are fixed strings, values are attributes. Attributes whose name ends with a unit
(` + "`_ms`, `_s`" + `) are numbers in it; others that are times carry their unit in the value. ` + "`err` and `cause`" + ` say what failed. The first four columns are
held against the source by ` + "`internal/docscheck`" + `; the last one is written by hand (` + "`YOKESTALL_WRITE=1 go test ./internal/docscheck -run TestLogEvents`" + ` writes
the page anew and keeps it).

| event | level | packages | attributes | what it means |
| --- | --- | --- | --- | --- |
`

// foldersWithoutLogEvents matches the folders of programs that don't serve, such as test rigs, labs and demos. Their log lines are
// not on the page.
var foldersWithoutLogEvents = regexp.MustCompile(`^internal/(fake|lab|demo|stress|flakecheck|testutil|compare|loadgen)(/|$)`)

// logEvent is a log line with one text and level, from all places in the source that write it.
type logEvent struct {
	text, level          string
	packages, attributes []string
}

// row returns the event's row of the table without the last column, its meaning.
func (e *logEvent) row() string {
	attributes := "-"
	if len(e.attributes) > 0 {
		attributes = "`" + strings.Join(e.attributes, "`, `") + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |", e.text, e.level, strings.Join(e.packages, ", "), attributes)
}

// addUse adds the package and the attributes of a place in the source that writes the event.
func (e *logEvent) addUse(folder string, attributes []string) {
	if !slices.Contains(e.packages, folder) {
		e.packages = append(e.packages, folder)
	}
	for _, a := range attributes {
		if !slices.Contains(e.attributes, a) {
			e.attributes = append(e.attributes, a)
		}
	}
}

// stringConstants returns the values of the string constants that a file declares outside functions, by name.
func stringConstants(file *ast.File) map[string]string {
	constants := map[string]string{}
	for _, d := range file.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		for _, spec := range decl.Specs {
			values := spec.(*ast.ValueSpec)
			for i, name := range values.Names {
				if i < len(values.Values) {
					if text, ok := literal(values.Values[i], nil); ok {
						constants[name.Name] = text
					}
				}
			}
		}
	}
	return constants
}

// literal returns the text of a string literal or of one of the constants. It returns false for other expressions.
func literal(expr ast.Expr, constants map[string]string) (string, bool) {
	switch expr := expr.(type) {
	case *ast.BasicLit:
		if expr.Kind == token.STRING {
			text, err := strconv.Unquote(expr.Value)
			return text, err == nil
		}
	case *ast.Ident:
		text, ok := constants[expr.Name]
		return text, ok
	}
	return "", false
}

// isLogger reports whether the receiver of a method call is a logger. It decides by the name of the receiver or its field.
func isLogger(receiver ast.Expr) bool {
	name := ""
	switch receiver := receiver.(type) {
	case *ast.Ident:
		name = receiver.Name
	case *ast.SelectorExpr:
		name = receiver.Sel.Name
	}
	name = strings.ToLower(name)
	return name == "log" || name == "slog" || name == "logger"
}

// addCall adds a call to the events if the call writes a log line with a constant text.
func addCall(events map[string]*logEvent, call *ast.CallExpr, folder string, constants map[string]string) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !isLogger(method.X) {
		return
	}
	level := strings.TrimSuffix(method.Sel.Name, "Context")
	if level != "Debug" && level != "Info" && level != "Warn" && level != "Error" {
		return
	}
	text, ok := literal(call.Args[0], constants)
	if !ok {
		return
	}
	var attributes []string
	for i := 1; i < len(call.Args); i += 2 {
		if key, ok := literal(call.Args[i], constants); ok {
			attributes = append(attributes, key)
		}
	}
	key := text + "\x00" + level
	if events[key] == nil {
		events[key] = &logEvent{text: text, level: strings.ToLower(level)}
	}
	events[key].addUse(folder, attributes)
}

// logEvents returns the log events of the programs that serve, sorted by text and level.
func logEvents(t *testing.T) []*logEvent {
	t.Helper()
	events := map[string]*logEvent{}
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil || foldersWithoutLogEvents.MatchString(folder) {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		constants := stringConstants(file)
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				addCall(events, call, folder, constants)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var list []*logEvent
	for _, e := range events {
		slices.Sort(e.packages)
		slices.Sort(e.attributes)
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y *logEvent) int { return strings.Compare(x.text+x.level, y.text+y.level) })
	return list
}

// meanings returns the last column of the page, which is written by hand. The keys are the first two columns, joined as they are
// in the page: the event and the level.
func meanings(page string) map[string]string {
	found := map[string]string{}
	for line := range strings.SplitSeq(page, "\n") {
		columns := strings.Split(line, " | ")
		if len(columns) == 5 && strings.HasPrefix(line, "| `") {
			found[columns[0]+columns[1]] = strings.Trim(columns[4], " |")
		}
	}
	return found
}

func TestLogEvents(t *testing.T) {
	path := filepath.Join(root, logEventsPage)
	before, err := os.ReadFile(path)
	if err != nil && os.Getenv("YOKESTALL_WRITE") == "" {
		t.Fatal(err)
	}
	known := meanings(string(before))
	var page strings.Builder
	page.WriteString(logEventsHead)
	for _, e := range logEvents(t) {
		meaning := known["| `"+e.text+"`"+e.level]
		if meaning == "" {
			t.Errorf("%s: the event %q has no meaning", logEventsPage, e.text)
		}
		fmt.Fprintf(&page, "%s %s |\n", e.row(), meaning)
	}
	switch {
	case os.Getenv("YOKESTALL_WRITE") != "":
		if err := os.WriteFile(path, []byte(page.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	case page.String() != string(before):
		t.Errorf("%s differs from the source; to update the page: YOKESTALL_WRITE=1 go test ./internal/docscheck -run TestLogEvents",
			logEventsPage)
	}
}
