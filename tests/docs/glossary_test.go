package docs

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the table of JSON names in docs/glossary.md anew")

const (
	glossaryPage  = "docs/glossary.md"
	tableStart    = "<!-- names in JSON: written by go test ./tests/docs -update -->\n"
	tableEnd      = "<!-- end -->\n"
	tableHeadings = "| JSON | in the code |\n| --- | --- |\n"
)

// renamedFields are the JSON names of the product that differ from the names of their Go fields, with those fields as
// package.Type.Field.
func renamedFields(t *testing.T) map[string][]string {
	t.Helper()
	fields := map[string][]string{}
	err := filepath.WalkDir(filepath.Join(repository, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		addRenamedFields(fields, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return fields
}

func addRenamedFields(fields map[string][]string, file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structure.Fields.List {
			if field.Tag == nil || len(field.Names) != 1 {
				continue
			}
			name, goName := jsonName(field.Tag.Value), field.Names[0].Name
			if name == "" || name == "-" || strings.EqualFold(name, goName) {
				continue
			}
			fields[name] = append(fields[name], fmt.Sprintf("%s.%s.%s", file.Name.Name, spec.Name.Name, goName))
		}
		return true
	})
}

func tableOf(fields map[string][]string) string {
	table := strings.Builder{}
	table.WriteString(tableHeadings)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		slices.Sort(fields[name])
		fmt.Fprintf(&table, "| `%s` | `%s` |\n", name, strings.Join(fields[name], "`, `"))
	}
	return table.String()
}

func TestGlossaryListsEveryJSONNameThatDiffersFromItsField(t *testing.T) {
	path := filepath.Join(repository, glossaryPage)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, hasStart := strings.Cut(string(raw), tableStart)
	table, after, hasEnd := strings.Cut(rest, tableEnd)
	if !hasStart || !hasEnd {
		t.Fatalf("%s has no table between %q and %q", glossaryPage, tableStart, tableEnd)
	}
	want := tableOf(renamedFields(t))
	if table == want {
		return
	}
	if !*update {
		t.Fatalf("the table of JSON names in %s is not that of the sources; write it anew with go test ./tests/docs -update", glossaryPage)
	}
	if err := os.WriteFile(path, []byte(before+tableStart+want+tableEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}
