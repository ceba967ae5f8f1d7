package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// serverPackage is the only one that makes HTTP servers: a server that is made by hand has no bounds on what its callers take.
const serverPackage = "internal/process/httpserver"

// servingCalls are the functions of net/http that serve without a server of the caller's.
var servingCalls = map[string]bool{"ListenAndServe": true, "ListenAndServeTLS": true, "Serve": true, "ServeTLS": true}

func TestServersAreMadeInOnePackage(t *testing.T) {
	made := 0
	for _, root := range productRoots {
		err := filepath.WalkDir(filepath.Join(repository, root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			inPackage := filepath.ToSlash(filepath.Dir(path)) == repository+"/"+serverPackage
			ast.Inspect(file, func(node ast.Node) bool {
				switch {
				case !makesServer(node):
				case inPackage:
					made++
				default:
					t.Errorf("%s: an HTTP server is made here, want it made by %s", files.Position(node.Pos()), serverPackage)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if made == 0 {
		t.Errorf("no HTTP server is made in %s: this test no longer sees them", serverPackage)
	}
}

// makesServer reports whether a node makes an HTTP server of net/http, or serves without one.
func makesServer(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CompositeLit:
		return isHTTP(node.Type, map[string]bool{"Server": true})
	case *ast.CallExpr:
		if name, ok := node.Fun.(*ast.Ident); ok && name.Name == "new" && len(node.Args) == 1 {
			return isHTTP(node.Args[0], map[string]bool{"Server": true})
		}
		return isHTTP(node.Fun, servingCalls)
	}
	return false
}

// isHTTP reports whether an expression is one of the names of net/http.
func isHTTP(expression ast.Expr, names map[string]bool) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	of, ok := selector.X.(*ast.Ident)
	return ok && of.Name == "http" && names[selector.Sel.Name]
}
