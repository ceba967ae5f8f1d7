package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestTheListIsReadStrictly(t *testing.T) {
	list, err := ReadList(strings.NewReader("# a comment\n\n  example/a TestOne — races at its end — #12 \nexample/b FuzzTwo — slow disk — tracker/7\n"))
	want := []Entry{{Test{"example/a", "TestOne"}, "races at its end", "#12"}, {Test{"example/b", "FuzzTwo"}, "slow disk", "tracker/7"}}
	if err != nil || !slices.Equal(list, want) {
		t.Fatalf("got %+v, %v", list, err)
	}
	for name, line := range map[string]string{
		"no cause and issue":  "example/a TestOne",
		"no issue":            "example/a TestOne — cause",
		"empty cause":         "example/a TestOne —  — #1",
		"empty issue":         "example/a TestOne — cause — ",
		"a hyphen for a dash": "example/a TestOne - cause - #1",
		"no package":          "TestOne — cause — #1",
		"a pattern":           "example/a Test.* — cause — #1",
		"a subtest":           "example/a TestOne/sub — cause — #1",
		"a whole package":     "example/a ... — cause — #1",
		"a fourth part":       "example/a TestOne — cause — #1 — more",
		"twice":               "example/a TestOne — cause — #1\nexample/a TestOne — other — #2",
	} {
		if list, err := ReadList(strings.NewReader(line)); err == nil {
			t.Errorf("%s: taken as %+v", name, list)
		}
	}
}

// recorded runs the real go test on a module of the given files, as check does.
func recorded(t *testing.T, files map[string]string, args ...string) (streams []*Stream, shown string) {
	t.Helper()
	module, folder := t.TempDir(), t.TempDir()
	files["go.mod"] = "module example\n\ngo 1.26.0\n"
	for path, text := range files {
		at := filepath.Join(module, path)
		if err := os.MkdirAll(filepath.Dir(at), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(at, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("GOWORK", "off")
	t.Setenv("GOFLAGS", "")
	t.Chdir(module)
	var out strings.Builder
	if err := Record(folder, append([]string{"go", "test", "-json", "-count=1"}, args...), &out); err != nil {
		t.Fatal(err)
	}
	streams, err := readFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	return streams, out.String()
}

func file(imports, body string) string {
	return "package a\n\nimport (\n\t\"testing\"\n" + imports + ")\n\n" + body + "\n"
}

const (
	red   = `func TestRed(t *testing.T) { t.Run("sub", func(t *testing.T) { t.Error("broken") }) }` + "\n"
	green = `func TestGreen(t *testing.T) {}` + "\n"
)

var listedRed = []Entry{{Test{"example/a", "TestRed"}, "cause", "#1"}}

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		files map[string]string
		list  []Entry
		want  string // part of a failure; "" where all is passed over
		state State  // of the first listed test
		args  []string
	}{
		{name: "all pass", files: map[string]string{"a/a_test.go": file("", green)}},
		{name: "unlisted failure", files: map[string]string{"a/a_test.go": file("", red+green)}, want: "TestRed failed"},
		{name: "listed failure", files: map[string]string{"a/a_test.go": file("", red+green)}, list: listedRed, state: Failed},
		{name: "unlisted beside a listed one", files: map[string]string{"a/a_test.go": file("", red+`func TestToo(t *testing.T) { t.Fail() }`)}, list: listedRed, want: "TestToo failed", state: Failed},
		{name: "same name in another package", files: map[string]string{"a/a_test.go": file("", red), "b/b_test.go": file("", red)}, list: listedRed, want: "example/b: TestRed failed", state: Failed},
		{name: "longer name", files: map[string]string{"a/a_test.go": file("", red+`func TestRedder(t *testing.T) { t.Fail() }`)}, list: listedRed, want: "TestRedder failed", state: Failed},
		{name: "listed test passes", files: map[string]string{"a/a_test.go": file("", `func TestRed(t *testing.T) {}`)}, list: listedRed, state: Passed},
		{name: "listed test is skipped", files: map[string]string{"a/a_test.go": file("", `func TestRed(t *testing.T) { t.Skip() }`)}, list: listedRed, state: Skipped},
		{name: "listed test does not exist", files: map[string]string{"a/a_test.go": file("", green)}, list: listedRed, want: "does not exist: example/a TestRed", state: Unknown},
		{name: "listed package does not exist", files: map[string]string{"a/a_test.go": file("", green)}, list: []Entry{{Test{"example/gone", "TestGreen"}, "c", "#1"}}, want: "does not exist: example/gone TestGreen", state: Unknown},
		{name: "does not build", files: map[string]string{"a/a_test.go": file("", red+`func TestWrong(t *testing.T) { undefined() }`)}, list: listedRed, want: "does not build", state: Unrun},
		{name: "vet", files: map[string]string{"a/a_test.go": file("\t\"fmt\"\n", red+`func TestWrong(t *testing.T) { fmt.Printf("%d\n", "x") }`)}, list: listedRed, want: "does not build", state: Unrun},
		{name: "an import that is not there", files: map[string]string{"a/a_test.go": file("\t_ \"example/gone\"\n", red)}, list: listedRed, want: "does not build", state: Unrun},
		{name: "a built package beside a broken one", files: map[string]string{"a/a_test.go": file("", red), "b/b_test.go": file("", `func TestWrong(t *testing.T) { undefined() }`)}, list: listedRed, want: "does not build", state: Failed},
		{name: "panic of a listed test", files: map[string]string{"a/a_test.go": file("", `func TestRed(t *testing.T) { panic("broken") }`+"\n"+green)}, list: listedRed, want: "broke off", state: Failed},
		{name: "panic without a test's name", files: map[string]string{"a/a_test.go": file("\t\"time\"\n", `func TestRed(t *testing.T) { go func() { panic("broken") }(); time.Sleep(time.Minute) }`)}, list: listedRed, want: "broke off", state: Unrun},
		{name: "panic in TestMain", files: map[string]string{"a/a_test.go": file("", `func TestMain(m *testing.M) { panic("broken") }`+"\n"+red)}, list: listedRed, want: "broke off", state: Unrun},
		{name: "panic after all tests", files: map[string]string{"a/a_test.go": file("", `func TestMain(m *testing.M) { m.Run(); panic("broken") }`+"\n"+red)}, list: listedRed, want: "failed after its tests", state: Failed},
		{name: "exit after all tests passed", files: map[string]string{"a/a_test.go": file("\t\"os\"\n", `func TestMain(m *testing.M) { m.Run(); os.Exit(1) }`+"\n"+green)}, want: "broke off"},
		{name: "exit in a test after a listed failure", files: map[string]string{"a/a_test.go": file("\t\"os\"\n", red+`func TestExit(t *testing.T) { os.Exit(1) }`)}, list: listedRed, want: "broke off", state: Failed},
		{name: "timeout", files: map[string]string{"a/a_test.go": file("\t\"time\"\n", `func TestRed(t *testing.T) { time.Sleep(time.Minute) }`)}, list: listedRed, want: "broke off", state: Unrun, args: []string{"-timeout", "1s"}},
		{name: "race of a listed test", files: map[string]string{"a/a_test.go": file("", racing("TestRed"))}, list: listedRed, state: Failed, args: []string{"-race"}},
		{name: "race outside all tests", files: map[string]string{"a/a_test.go": file("", `func TestMain(m *testing.M) { m.Run(); race() }`+"\n"+racing("TestOther")+red)}, list: listedRed, want: "DATA RACE", state: Failed, args: []string{"-race", "-run", "TestRed"}},
		{name: "no package", files: map[string]string{}, want: "no package was tested"},
	} {
		t.Run(c.name, func(t *testing.T) {
			streams, shown := recorded(t, c.files, append(c.args, "./...")...)
			v := Judge(c.list, streams)
			all := strings.Join(v.Failures, "\n")
			if (c.want == "") != (len(v.Failures) == 0) || !strings.Contains(all, c.want) {
				t.Errorf("failures are %q, want %q; shown was\n%s", all, c.want, shown)
			}
			if len(c.list) > 0 && v.States[0] != c.state {
				t.Errorf("the listed test %s, want %s", v.States[0], c.state)
			}
			var told strings.Builder
			if err := Tell(&told, "LIST", c.list, v); (err != nil) != (c.want != "") {
				t.Errorf("told %v, want a failure: %v", err, c.want != "")
			}
			for i, e := range c.list {
				if line := string(v.States[i]) + ": " + e.Test.String() + " — " + e.Cause + " — " + e.Issue; !strings.Contains(told.String(), line) {
					t.Errorf("%q is not in %q", line, told.String())
				}
			}
		})
	}
}

func racing(test string) string {
	return "func race() {\n\tn, done := 0, make(chan bool)\n\tgo func() { n++; close(done) }()\n\tn++\n\t<-done\n\t_ = n\n}\n\nfunc " + test + "(t *testing.T) { race() }\n"
}

func TestAFailingTestIsShownAndAPassingOneIsNot(t *testing.T) {
	_, shown := recorded(t, map[string]string{"a/a_test.go": file("", red+`func TestGreen(t *testing.T) { t.Log("quiet") }`)}, "./...")
	if !strings.Contains(shown, "broken") || !strings.Contains(shown, "FAIL\texample/a") || strings.Contains(shown, "quiet") {
		t.Fatal(shown)
	}
}

func TestAListedTestThatFailsInOneOfTwoRunsFailed(t *testing.T) {
	failed, _ := recorded(t, map[string]string{"a/a_test.go": file("", red)}, "./...")
	passed, _ := recorded(t, map[string]string{"a/a_test.go": file("", "func TestRed(t *testing.T) {}")}, "./...")
	if v := Judge(listedRed, append(passed, failed...)); len(v.Failures) > 0 || v.States[0] != Failed {
		t.Fatalf("%+v", v)
	}
}

const whole = `{"Action":"start","Package":"a"}
{"Action":"run","Package":"a","Test":"TestOne"}
{"Action":"pass","Package":"a","Test":"TestOne"}
{"Action":"pass","Package":"a"}
{"Action":"exited"}
`

func TestWhatIsNotAWholeStreamFails(t *testing.T) {
	s, err := ReadStream("whole", strings.NewReader(whole))
	if err != nil {
		t.Fatal(err)
	}
	if v := Judge(nil, []*Stream{s}); len(v.Failures) > 0 {
		t.Fatal(v.Failures)
	}
	for name, text := range map[string]string{
		"empty":                     "",
		"cut before the exit":       strings.Replace(whole, `{"Action":"exited"}`+"\n", "", 1),
		"cut before a package ends": strings.Replace(whole, `{"Action":"pass","Package":"a"}`+"\n", "", 1),
		"a test without an end":     strings.Replace(whole, `{"Action":"pass","Package":"a","Test":"TestOne"}`+"\n", "", 1),
		"failed without a package":  strings.Replace(whole, `"exited"`, `"exited","Code":1`, 1),
		"text":                      "go: cannot find main module\n" + whole,
		"half a line":               whole[:20],
		"after the end":             whole + whole,
	} {
		s, err := ReadStream(name, strings.NewReader(text))
		if err == nil && len(Judge(nil, []*Stream{s}).Failures) == 0 {
			t.Errorf("%s is taken for a run that passed", name)
		}
	}
	if v := Judge(nil, nil); len(v.Failures) == 0 {
		t.Error("no stream at all is taken for a run that passed")
	}
}

func TestACommandThatCannotBeRunFailsAtOnce(t *testing.T) {
	if err := Record(t.TempDir(), []string{"no-such-command"}, &strings.Builder{}); err == nil {
		t.Error("a command that is not there was recorded")
	}
	if err := Record(filepath.Join(t.TempDir(), "gone"), []string{"go", "version"}, &strings.Builder{}); err == nil {
		t.Error("a folder that is not there was written to")
	}
}
