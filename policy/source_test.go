package policy

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sourceFiles returns the files of the package without its tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") {
			files = append(files, name)
		}
	}
	if len(files) == 0 {
		t.Fatal("no source files")
	}
	return files
}

// The decisions are read at night: files, functions and lines stay short, and what is exported and each
// constant is documented.
func TestSourceSizeAndDocs(t *testing.T) {
	const maxFileLines, maxFuncLines, maxColumns, tabWidth = 300, 60, 110, 4
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, %d at most", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			line = bytes.ReplaceAll(line, []byte("\t"), bytes.Repeat([]byte(" "), tabWidth))
			if len(line) > maxColumns {
				t.Errorf("%s:%d has %d columns, %d at most", name, i+1, len(line), maxColumns)
			}
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, name, text, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok {
				if n := files.Position(f.End()).Line - files.Position(f.Pos()).Line + 1; n > maxFuncLines {
					t.Errorf("%s: %s has %d lines, %d at most", name, f.Name.Name, n, maxFuncLines)
				}
			}
			for _, ident := range undocumented(decl) {
				t.Errorf("%s: %s has no comment", files.Position(ident.Pos()), ident.Name)
			}
		}
	}
}

// undocumented returns the exported names and the constants of a declaration that have no comment. A comment
// after a specification counts, and so does that of a group whose specifications share one type.
func undocumented(decl ast.Decl) (names []*ast.Ident) {
	if f, ok := decl.(*ast.FuncDecl); ok {
		if f.Name.IsExported() && f.Doc == nil {
			names = append(names, f.Name)
		}
		return names
	}
	group := decl.(*ast.GenDecl)
	for _, spec := range group.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil && (group.Doc == nil || group.Lparen.IsValid()) {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			documented := s.Doc != nil || s.Comment != nil || group.Doc != nil
			for _, name := range s.Names {
				if !documented && (name.IsExported() || group.Tok == token.CONST) {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
