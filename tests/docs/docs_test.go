package docs

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

const repository = "../.."

// productRoots are the folders whose declarations the pages may name.
var productRoots = []string{"internal", "platform", "cmd"}

// sources are the declarations and strings of the product's packages, without their tests.
type sources struct {
	// packages holds, by folder below the repository (internal/ left out), the names declared there: "Name" and
	// "Type.Member".
	packages map[string]map[string]bool
	// strings are all string constants, with formatting verbs cut off from where they begin.
	strings map[string]bool
	// jsonFields are the names in json tags.
	jsonFields map[string]bool
}

func readSources(t *testing.T) sources {
	t.Helper()
	found := sources{packages: map[string]map[string]bool{}, strings: map[string]bool{}, jsonFields: map[string]bool{}}
	for _, root := range productRoots {
		err := filepath.WalkDir(filepath.Join(repository, root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			folder, err := filepath.Rel(repository, filepath.Dir(path))
			found.add(strings.TrimPrefix(folder, "internal/"), file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

func (s sources) add(folder string, file *ast.File) {
	names := s.packages[folder]
	if names == nil {
		names = map[string]bool{}
		s.packages[folder] = names
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(names, spec)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
				s.strings[text] = true
			}
		case *ast.Field:
			if n.Tag != nil {
				if name := jsonName(n.Tag.Value); name != "" {
					s.jsonFields[name] = true
				}
			}
		}
		return true
	})
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		members := (*ast.FieldList)(nil)
		switch t := s.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				names[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	receiver := f.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

var jsonTag = regexp.MustCompile(`json:"([^,"]+)`)

func jsonName(tag string) string {
	match := jsonTag.FindStringSubmatch(tag)
	if match == nil {
		return ""
	}
	return match[1]
}

var (
	// codeReference is a package of the product in backticks, with or without a name that it declares:
	// `controlplane/chain`, `controlplane/chain.Node`, `controlplane/chain.Node.Step`.
	codeReference = regexp.MustCompile("`((?:api|controlplane|dataplane|operator|process)/[a-z]+|outlier|statistics|failuredetector|platform|cmd/petreltide)((?:\\.[A-Za-z]\\w*)*)`")
	// logReference is a log message as a runbook quotes it: `msg="..."`.
	logReference = regexp.MustCompile("`msg=\"([^\"`]+)\"`")
	// faultReference is a code of a fault: `fault:in_doubt`.
	faultReference = regexp.MustCompile("`fault:([a-z_]+)`")
	// statusReference is a field of what status prints as JSON: `status.waitsFor`.
	statusReference = regexp.MustCompile("`status\\.(\\w+)`")
)

// unknownNames are what a page names and the sources don't have.
func unknownNames(page string, s sources) []string {
	var unknown []string
	for _, m := range codeReference.FindAllStringSubmatch(page, -1) {
		names, ok := s.packages[m[1]]
		switch {
		case !ok:
			unknown = append(unknown, "package "+m[1])
		case m[2] != "" && !names[m[2][1:]]:
			unknown = append(unknown, m[1]+m[2])
		}
	}
	for _, m := range logReference.FindAllStringSubmatch(page, -1) {
		if !s.strings[m[1]] {
			unknown = append(unknown, fmt.Sprintf("log message %q", m[1]))
		}
	}
	for _, m := range faultReference.FindAllStringSubmatch(page, -1) {
		if !s.strings[m[1]] {
			unknown = append(unknown, "fault "+m[1])
		}
	}
	for _, m := range statusReference.FindAllStringSubmatch(page, -1) {
		if !s.jsonFields[m[1]] {
			unknown = append(unknown, "status field "+m[1])
		}
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

func TestPagesForReadersNameOnlyWhatTheSourcesHave(t *testing.T) {
	s := readSources(t)
	for _, page := range []string{"docs/ARCHITECTURE.md", "docs/RUNBOOK.md", "docs/glossary.md", "CONTRIBUTING.md"} {
		t.Run(page, func(t *testing.T) {
			raw, err := os.ReadFile(filepath.Join(repository, page))
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range unknownNames(string(raw), s) {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		})
	}
}

func TestUnknownNamesFindsEveryKindOfReference(t *testing.T) {
	s := sources{
		packages:   map[string]map[string]bool{"controlplane/chain": {"Node": true, "Node.Step": true}},
		strings:    map[string]bool{"started": true, "in_doubt": true},
		jsonFields: map[string]bool{"waitsFor": true},
	}
	tests := []struct {
		name, page string
		want       []string
	}{
		{"all exist", "`controlplane/chain`, `controlplane/chain.Node.Step`, `msg=\"started\"`, `fault:in_doubt`, `status.waitsFor`", nil},
		{"package", "`dataplane/chain.Node`", []string{"package dataplane/chain"}},
		{"member", "`controlplane/chain.Node.Walk`", []string{"controlplane/chain.Node.Walk"}},
		{"log message", "`msg=\"ended\"`", []string{`log message "ended"`}},
		{"fault", "`fault:no_doubt`", []string{"fault no_doubt"}},
		{"status field", "`status.waits`", []string{"status field waits"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := unknownNames(test.page, s); !slices.Equal(got, test.want) {
				t.Errorf("unknownNames(%q) = %q, want %q", test.page, got, test.want)
			}
		})
	}
}
