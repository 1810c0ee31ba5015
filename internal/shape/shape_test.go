// Package shape checks the structure of the code base: one type per file, doc
// comments on exported items, rings as the only links between duties, no waiting by
// sleeping, and the imports allowed to decision cores and to package platform.
package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

// sources parses every Go file but generated ones (*.pb.go); keys are paths.
func sources(t *testing.T) (*token.FileSet, map[string]*ast.File) {
	t.Helper()
	set := token.NewFileSet()
	files := map[string]*ast.File{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		files[path], err = parser.ParseFile(set, path, nil, parser.ParseComments)
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 100, "found only %d Go files", len(files))
	return set, files
}

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

func TestOneTypePerFile(t *testing.T) {
	_, files := sources(t)
	for path, file := range files {
		types := 0
		for _, decl := range file.Decls {
			if group, ok := decl.(*ast.GenDecl); ok && group.Tok == token.TYPE {
				types += len(group.Specs)
			}
		}
		if types > 1 && !isTest(path) {
			t.Errorf("%s declares %d types", path, types)
		}
	}
}

func TestPublicItemsAreDocumented(t *testing.T) {
	set, files := sources(t)
	packages := map[string]bool{}
	for path, file := range files {
		if isTest(path) {
			continue
		}
		packages[filepath.Dir(path)] = packages[filepath.Dir(path)] || file.Doc != nil
		for _, decl := range file.Decls {
			if name := undocumented(decl); name != "" {
				t.Errorf("%s: %s has no doc comment", set.Position(decl.Pos()), name)
			}
		}
	}
	for dir, documented := range packages {
		if !documented {
			t.Errorf("package in %s has no doc comment", dir)
		}
	}
}

func undocumented(decl ast.Decl) string {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil {
			return d.Name.Name
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			if s, ok := spec.(*ast.TypeSpec); ok && s.Name.IsExported() && d.Doc == nil && s.Doc == nil {
				return s.Name.Name
			}
		}
	}
	return ""
}

func TestDutiesAreJoinedByRings(t *testing.T) {
	forbidden := map[string]string{
		"time.Sleep(": "waits by sleeping", "runtime.Gosched(": "waits by yielding", "make(chan ": "makes a channel outside package ring",
		"sync.Mutex": "locks", "sync.RWMutex": "locks", "sync.Map": "shares a map",
		"fmt.Errorf(": "makes an error without package eris", "errors.New(": "makes an error without package eris",
	}
	_, files := sources(t)
	for path := range files {
		if isTest(path) || strings.Contains(path, "/internal/ring/") {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for text, problem := range forbidden {
			if strings.Contains(string(data), text) {
				t.Errorf("%s %s", path, problem)
			}
		}
	}
}

// TestCoresAreApartFromEncodings checks that decision cores import no adapter, no wire
// format and no library that does I/O, so that another front end can use them.
func TestCoresAreApartFromEncodings(t *testing.T) {
	cores := []string{"consensus", "fsm", "controller", "lease", "placement", "session", "balancer", "admission", "gateway", "executor", "fleet", "call", "routes"}
	forbidden := []string{"net", "os", "io", "google.golang.org", "github.com/gofiber", "github.com/valyala", "encoding/json", "endivespring/internal/wire", "endivespring/internal/ring", "endivespring/internal/duty"}
	_, files := sources(t)
	for path, file := range files {
		if isTest(path) || !contains(cores, filepath.Base(filepath.Dir(path))) {
			continue
		}
		for _, spec := range file.Imports {
			name := strings.Trim(spec.Path.Value, `"`)
			for _, bad := range forbidden {
				if name == bad || strings.HasPrefix(name, bad+"/") {
					t.Errorf("%s imports %s", path, name)
				}
			}
		}
	}
}

func contains(list []string, item string) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}

// TestPlatformIsAtTheEdge checks that no other package depends on the users' platform:
// only cmd/endivespring imports package platform, and only that package holds the
// platform's headers, paths and field names.
func TestPlatformIsAtTheEdge(t *testing.T) {
	names := []string{
		"X-Endivespring-", "ENDIVESPRING_NODE_FILE", "path_prefix", "cold_remaining_s", "heartbeat_address", "traffic_split",
		"/api/instances", "/api/configuration", "/api/evacuations", "/api/readiness",
	}
	_, files := sources(t)
	for path, file := range files {
		if filepath.Base(filepath.Dir(path)) == "platform" || strings.HasSuffix(path, "shape_test.go") {
			continue
		}
		for _, spec := range file.Imports {
			if strings.Trim(spec.Path.Value, `"`) == "endivespring/platform" && !strings.HasSuffix(path, "cmd/endivespring/main.go") {
				t.Errorf("%s imports the platform", path)
			}
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, name := range names {
			if strings.Contains(string(data), name) {
				t.Errorf("%s contains %s, a name of the platform", path, name)
			}
		}
	}
}

// TestPlatformDecidesNothing checks that package platform stays small and imports no
// package that decides. It only translates and keeps no state: what it needs comes
// with each call.
func TestPlatformDecidesNothing(t *testing.T) {
	const maxLines = 1500
	lines := 0
	_, files := sources(t)
	for path, file := range files {
		if filepath.Base(filepath.Dir(path)) != "platform" || isTest(path) {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		lines += strings.Count(string(data), "\n")
		for _, spec := range file.Imports {
			for _, core := range []string{"consensus", "controller", "placement", "balancer", "routes", "session", "lease"} {
				if strings.Trim(spec.Path.Value, `"`) == "endivespring/internal/"+core {
					t.Errorf("%s imports the decision package %s", path, core)
				}
			}
		}
	}
	assert.Assert(t, lines > 0 && lines <= maxLines, "package platform has %d lines outside tests", lines)
}
