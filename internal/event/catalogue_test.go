package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCatalogueIsComplete(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, d := range Catalogue() {
		assert.Assert(t, !numbers[d.Number] && !names[d.Name], "%d %s is used twice", d.Number, d.Name)
		numbers[d.Number], names[d.Name] = true, true
		assert.Assert(t, strings.HasSuffix(d.Meaning, "."), d.Name)
		_, known := eventDocs[d]
		assert.Assert(t, known, "%s has no documentation", d.Name)
		assert.Equal(t, d.Action() != "", d.Level != Info, "%s: warnings and alarms, and only they, have an operator's action", d.Name)
	}
}

// TestEventsAreUsed searches the code: each event of the catalogue must be
// recorded somewhere, and the fields recorded with it must be documented.
func TestEventsAreUsed(t *testing.T) {
	variables := variables(t)
	used, literals := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "../../internal/event" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			if name := selected(node); variables[name] != nil {
				used[name] = true
			}
			if call, ok := node.(*ast.CallExpr); ok {
				checkCall(t, path, call, variables, literals)
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	for name, definition := range variables {
		if definition == LinesOmitted {
			continue // the log records it itself: TestOmittedLinesAreReported
		}
		assert.Assert(t, used[name], "%s is never recorded", name)
		for _, field := range definition.Fields() {
			assert.Assert(t, literals[field], "%s: no code writes field %s", definition.Name, field)
		}
	}
}

// checkCall checks that the fields of a call that names an event are
// documented.
func checkCall(t *testing.T, path string, call *ast.CallExpr, variables map[string]*Definition, literals map[string]bool) {
	t.Helper()
	if selected(call.Fun) == "F" && len(call.Args) == 2 {
		literals[literal(call.Args[0])] = true
	}
	var definition *Definition
	for _, arg := range call.Args {
		if d := variables[selected(arg)]; d != nil {
			definition = d
		}
		if field, ok := arg.(*ast.CallExpr); ok && definition != nil && selected(field.Fun) == "F" {
			name := literal(field.Args[0])
			assert.Assert(t, slices.Contains(definition.Fields(), name), "%s: field %s of %s is not documented", path, name, definition.Name)
		}
	}
}

// selected returns X of an expression event.X.
func selected(node ast.Node) string {
	if s, ok := node.(*ast.SelectorExpr); ok {
		if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "event" {
			return s.Sel.Name
		}
	}
	return ""
}

func literal(expression ast.Expr) string {
	if l, ok := expression.(*ast.BasicLit); ok {
		return strings.Trim(l.Value, `"`)
	}
	return ""
}

// variables returns the definitions by the names of their variables.
func variables(t *testing.T) map[string]*Definition {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	assert.NilError(t, err)
	out := map[string]*Definition{}
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			if call, ok := spec.Values[0].(*ast.CallExpr); ok && len(call.Args) == 4 {
				name := literal(call.Args[1])
				i := slices.IndexFunc(catalogue, func(d *Definition) bool { return d.Name == name })
				out[spec.Names[0].Name] = catalogue[i]
			}
		}
		return true
	})
	assert.Equal(t, len(out), len(catalogue))
	return out
}
