package brief

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"petreltide/tests/fleet"
	platformfleet "petreltide/tests/platform/fleet"
	"petreltide/tests/rules"
	"petreltide/tests/simulator"
)

// checked finds what a page names that is not there, and what is there that it does not name.
func checked(page string, tests map[string]bool, faults map[string][]string) (unknown, unnamed []string) {
	for _, name := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(page, -1) {
		if !tests[name] {
			unknown = append(unknown, name)
		}
	}
	for prefix, known := range faults {
		named := map[string]bool{}
		for _, name := range regexp.MustCompile(`\b`+prefix+`[a-z-]+`).FindAllString(page, -1) {
			fault := strings.TrimPrefix(name, prefix)
			named[fault] = true
			if !slices.Contains(known, fault) {
				unknown = append(unknown, name)
			}
		}
		for _, fault := range known {
			if !named[fault] {
				unnamed = append(unnamed, prefix+fault)
			}
		}
	}
	slices.Sort(unknown)
	slices.Sort(unnamed)
	return unknown, slices.Compact(unnamed)
}

func testsUnder(t *testing.T, root string) map[string]bool {
	t.Helper()
	return namedUnder(t, root, regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`))
}

func fuzzTestsUnder(t *testing.T, root string) map[string]bool {
	t.Helper()
	return namedUnder(t, root, regexp.MustCompile(`(?m)^func (Fuzz[A-Z]\w+)\(`))
}

// namedUnder are the functions of test files that a pattern names.
func namedUnder(t *testing.T, root string, name *regexp.Regexp) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	if err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range name.FindAllStringSubmatch(string(raw), -1) {
			tests[m[1]] = true
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	return tests
}

func TestThePageNamesOnlyWhatIsThereAndAllFaults(t *testing.T) {
	tests := testsUnder(t, "../..")
	for _, page := range []string{"brief.md", "faults.md", "design-platform.md", "operators-platform.md", "spotserve.md"} {
		raw, err := os.ReadFile(filepath.Join("../../docs", page))
		if err != nil {
			t.Fatal(err)
		}
		unknown, unnamed := checked(string(raw), tests, map[string][]string{
			"day:": simulator.DeclaredFaultNames(), "real:": fleet.FaultNames(), "routed:": simulator.RoutedFaultNames(), "platform:": platformfleet.FaultNames(),
		})
		if len(unknown) > 0 {
			t.Errorf("%s names what does not exist: %v", page, unknown)
		}
		if page == "brief.md" && len(unnamed) > 0 {
			t.Errorf("%s leaves out %v", page, unnamed)
		}
	}
	raw, err := os.ReadFile("../../docs/brief.md")
	if err != nil {
		t.Fatal(err)
	}
	_, never, _ := strings.Cut(string(raw), "## What must never happen")
	never, _, _ = strings.Cut(never, "\n## ")
	if rows := strings.Count(never, "\n| ") - 2; rows != len(rules.All) {
		t.Errorf("%d lines must never happen, the page has %d", len(rules.All), rows)
	}
}

// strayed are the links of a page to files that are not there.
func strayed(folder, page string) []string {
	found := []string{}
	for _, m := range regexp.MustCompile(`\]\(([^)#:]+)[^):]*\)`).FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join(folder, m[1])); err != nil {
			found = append(found, m[1])
		}
	}
	return found
}

func TestPagesLinkToWhatIsThereAndAreAllInTheIndex(t *testing.T) {
	index, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	if lost := strayed("../..", string(index)); len(lost) > 0 {
		t.Errorf("README.md links to %v", lost)
	}
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	for _, path := range pages {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if lost := strayed("../../docs", string(raw)); len(lost) > 0 {
			t.Errorf("%s links to %v", path, lost)
		}
		if !strings.Contains(string(index), "(docs/"+filepath.Base(path)+")") {
			t.Errorf("%s is not in the index", path)
		}
	}
	if lost := strayed("../../docs", "[a](glossary.md) [b](gone.md#x) [c](#here) [d](https://example.org/x)"); strings.Join(lost, " ") != "gone.md" {
		t.Errorf("of what was planted it finds %v", lost)
	}
}

func TestTheReaderOfThePageCanFail(t *testing.T) {
	unknown, unnamed := checked("`TestGone`, day:nothing, day:notice, real:kill-desk", map[string]bool{"TestHere": true}, map[string][]string{"day:": {"notice", "crowd"}, "real:": {"kill-desk", "kill-head"}})
	if strings.Join(unknown, " ") != "TestGone day:nothing" || strings.Join(unnamed, " ") != "day:crowd real:kill-head" {
		t.Fatal(unknown, unnamed)
	}
}
