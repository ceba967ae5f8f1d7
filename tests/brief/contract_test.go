package brief

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"petreltide/tests/simulator"
)

// codeName is a function as the page on the contract names it: `folder: function`. Files are not named, as functions
// move between them.
var codeName = regexp.MustCompile("`([a-z][\\w/]*): (\\w+)`")

// contractFaults are what is wrong with the page: rows that name no code, no test and no open point, and names of
// what is not there. source gives the code of a
// folder without its tests, or false.
func contractFaults(page string, tests map[string]bool, source func(folder string) (string, bool)) []string {
	faults := []string{}
	rows := 0
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| line |") {
			continue
		}
		rows++
		if len(cells) != 3 {
			faults = append(faults, fmt.Sprintf("%.60s: %d cells", line, len(cells)))
			continue
		}
		what, keeps, shown := strings.TrimPrefix(cells[0], "| "), cells[1], cells[2]
		named := regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`).FindAllString(shown, -1)
		if len(named) == 0 && !strings.Contains(shown, "*open*") {
			faults = append(faults, fmt.Sprintf("%.60s: neither a test nor open", what))
		}
		for _, name := range named {
			if !tests[name] {
				faults = append(faults, fmt.Sprintf("%.60s: no test %s", what, name))
			}
		}
		if !codeName.MatchString(keeps) && !strings.Contains(keeps, ".md)") {
			faults = append(faults, fmt.Sprintf("%.60s: no code is named", what))
		}
		for _, m := range codeName.FindAllStringSubmatch(keeps, -1) {
			text, there := source(m[1])
			switch {
			case !there:
				faults = append(faults, fmt.Sprintf("%.60s: no folder %s", what, m[1]))
			case !regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + m[2] + `[\[(]`).MatchString(text):
				faults = append(faults, fmt.Sprintf("%.60s: no function %s in %s", what, m[2], m[1]))
			}
		}
	}
	if rows == 0 {
		faults = append(faults, "no row at all")
	}
	return faults
}

func TestTheContractPageNamesWhatIsThere(t *testing.T) {
	raw, err := os.ReadFile("../../docs/contract.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := testsUnder(t, "../..")
	for name := range fuzzTestsUnder(t, "../..") {
		tests[name] = true
	}
	faults := contractFaults(string(raw), tests, codeOf)
	for _, f := range faults {
		t.Error(f)
	}
	unknown, _ := checked(string(raw), tests, map[string][]string{"routed:": simulator.RoutedFaultNames()})
	if len(unknown) > 0 {
		t.Errorf("it names what does not exist: %v", unknown)
	}
}

// codeOf is the code of a folder without its tests, or false where there is none.
func codeOf(folder string) (string, bool) {
	files, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
	if err != nil {
		return "", false
	}
	all := ""
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return "", false
		}
		all += string(text)
	}
	return all, all != ""
}

func TestTheReaderOfTheContractPageCanFail(t *testing.T) {
	page := "| line | kept by | shown by |\n| --- | --- | --- |\n" +
		"| sound | `a/b: keeps` | `TestHere` |\n" +
		"| open | `a/b: keeps` | *open*: nothing yet |\n" +
		"| no test | `a/b: keeps` | by word |\n" +
		"| a test that is gone | `a/b: keeps` | `TestGone`, *open* |\n" +
		"| a folder that is gone | `a/c: keeps` | `TestHere` |\n" +
		"| a function that is gone | `a/b: kept` | `TestHere` |\n" +
		"| no code | somewhere | `TestHere` |\n" +
		"| two cells | `a/b: keeps` |\n"
	got := contractFaults(page, map[string]bool{"TestHere": true}, func(folder string) (string, bool) {
		return "package a\n\nfunc (k *kept) keeps(n int) {}\n", folder == "a/b"
	})
	slices.Sort(got)
	want := []string{
		"a folder that is gone: no folder a/c", "a function that is gone: no function kept in a/b", "a test that is gone: no test TestGone",
		"no code: no code is named", "no test: neither a test nor open", "| two cells | `a/b: keeps` |: 2 cells",
	}
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("it finds %q, want %q", got, want)
	}
	if len(contractFaults("nothing", nil, nil)) == 0 {
		t.Error("an empty page passes")
	}
}
