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

// sourceFiles returns the names of the package's Go files without its tests.
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

// Checks that the package stays readable for operators during an incident: files, functions and lines must
// be short, and every exported name and every constant must have a comment.
func TestSourceSizeAndDocs(t *testing.T) {
	const maxFileLines, maxFuncLines, maxColumns, tabWidth = 300, 60, 110, 4
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
		if len(lines) > maxFileLines {
			t.Errorf("file %s has %d lines, want at most %d", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			line = bytes.ReplaceAll(line, []byte("\t"), bytes.Repeat([]byte(" "), tabWidth))
			if len(line) > maxColumns {
				t.Errorf("line %s:%d has %d columns, want at most %d", name, i+1, len(line), maxColumns)
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
					t.Errorf("%s: function %s has %d lines, want at most %d", name, f.Name.Name, n, maxFuncLines)
				}
			}
			for _, ident := range undocumented(decl) {
				t.Errorf("%s: %s has no comment", files.Position(ident.Pos()), ident.Name)
			}
		}
	}
}

// undocumented returns the exported names and the constants of a declaration that have no comment. For
// constants and variables, an end-of-line comment and the comment of their group count as well.
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
