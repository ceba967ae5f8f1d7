package systempackages

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

const root = "../.."

// database is the one of the machine. Where there is none the test is left out, and says so.
func database(t *testing.T) *Database {
	t.Helper()
	db, err := ReadDatabase()
	if errors.Is(err, errors.NotFound) {
		t.Skip("NOT CHECKED: dpkg is not on this machine, so nothing says whose the files of a build are")
	}
	if err != nil {
		t.Fatal(err)
	}
	return db
}

func observed(t *testing.T, folder, build string) Use {
	t.Helper()
	folder, err := filepath.Abs(folder)
	if err != nil {
		t.Fatal(err)
	}
	use, err := Observe(folder, build, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return use
}

func TestTheDeployFileNamesThePackagesOfACleanBuild(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds everything on an empty cache")
	}
	db := database(t)
	deploy, err := ReadDeploy(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	need, err := NeedOf(observed(t, root, deploy.Build), db)
	if err != nil {
		t.Fatal(err)
	}
	derived := need.List(db)
	t.Logf("programs on PATH: %v", need.ByProgram)
	for name, files := range need.ByFile {
		t.Logf("%s: %d files, such as %s", name, len(files), files[0])
	}
	if d := Compare(deploy.Packages, derived); len(d.Missing)+len(d.Superfluous) > 0 {
		t.Fatalf("packages in deploy/system.toml should be %q: missing %q, superfluous %q", derived, d.Missing, d.Superfluous)
	}
	// The same comparison must be able to fail, in both ways.
	for at, name := range deploy.Packages {
		shorter := slices.Delete(slices.Clone(deploy.Packages), at, at+1)
		if d := Compare(shorter, derived); !slices.Equal(d.Missing, []string{name}) {
			t.Errorf("%s taken from the list was not missed: %+v", name, d)
		}
	}
	if d := Compare(append(slices.Clone(deploy.Packages), "make"), derived); !slices.Equal(d.Superfluous, []string{"make"}) {
		t.Errorf("make, which the build does not run, was not noticed in the list: %+v", d)
	}
}

const plantedProgram = `package main

// #include <sys/mman.h>
import "C"

func main() { println(C.PROT_READ) }
`

// A build that reads a header more than ours must be seen to read it.
func TestAHeaderOfAPlantedBuildIsSeen(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds on an empty cache")
	}
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module planted\n\ngo 1.26.0\n", "main.go": plantedProgram} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("GOWORK", "off")
	use := observed(t, folder, "go build -ldflags=-linkmode=external -o target/ .")
	if !slices.ContainsFunc(use.Files, func(file string) bool { return filepath.Base(file) == "mman-linux.h" }) {
		t.Errorf("the planted header is not among the %d files that were seen", len(use.Files))
	}
	if use.FetchesModules {
		t.Error("a module without requirements is said to fetch some")
	}
}

// plantedDatabase is a machine where gcc brings a linker and a library, but no headers, and two packages need
// each other.
const plantedDatabase = "installed\tgcc\t\t, cpp (= 4:12.2.0), gcc-12\t\n" +
	"installed\tgcc-12\t\t, binutils (>= 2.40), libgcc-12-dev (= 12.2.0)\tc-compiler\n" +
	"installed\tbinutils\t\t, libc6:any (>= 2.36)\t\n" +
	"installed\tlibgcc-12-dev\t\t, libgcc-s1\t\n" +
	"installed\tlibgcc-s1\t\t, libc6\t\n" +
	"installed\tlibc6\t\t, libgcc-s1\t\n" +
	"installed\tlibc6-dev\t\t, libc6, linux-libc-dev, libcrypt-dev | libcrypt1-dev\tlibc-dev\n" +
	"installed\tlinux-libc-dev\t\t, \t\n" +
	"installed\tdash\tyes\tlibc6, \t\n" +
	"deinstall\tswig\t\t, \t\n"

func TestTheListIsDerivedFromWhatWasUsed(t *testing.T) {
	db := parseDatabase(plantedDatabase)
	files := func(names ...string) map[string][]string {
		out := map[string][]string{}
		for _, name := range names {
			out[name] = []string{"/of/" + name}
		}
		return out
	}
	for name, c := range map[string]struct {
		need Need
		want []string
	}{
		"nothing":                         {Need{}, []string{}},
		"a shell alone":                   {Need{ByProgram: files("dash")}, []string{}},
		"what another pulls in":           {Need{ByProgram: files("gcc"), ByFile: files("libgcc-12-dev", "gcc-12", "libc6")}, []string{"gcc"}},
		"a program that another pulls in": {Need{ByProgram: files("gcc", "binutils")}, []string{"binutils", "gcc"}},
		"headers beside a compiler":       {Need{ByProgram: files("gcc"), ByFile: files("libc6-dev", "linux-libc-dev", "libc6")}, []string{"gcc", "libc6-dev"}},
		"headers alone":                   {Need{ByFile: files("linux-libc-dev", "libc6-dev")}, []string{"libc6-dev"}},
		"two that need each other":        {Need{ByFile: files("libc6", "libgcc-s1")}, []string{"libc6"}},
		"by a virtual package's name":     {Need{ByFile: files("gcc-12", "binutils")}, []string{"gcc-12"}},
	} {
		if diff := cmp.Diff(c.want, c.need.List(db)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestABuildCommandOfAnotherFormIsRefused(t *testing.T) {
	for _, build := range []string{"", "make", "go test ./...", "go build ./cmd/...", "go build -o target/ ./cmd/..."} {
		if _, err := traced(build, "/out/"); !errors.Is(err, errors.NotSupported) {
			t.Errorf("%q: %v", build, err)
		}
	}
	got, err := traced("go build -ldflags=-linkmode=external -o target/ ./cmd/...", "/out/")
	want := []string{"build", "-x", "-p=2", "-ldflags=-linkmode=external -v -extldflags=-Wl,--trace", "-o", "/out/", "./cmd/..."}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
}

// A file that came from nowhere that a package could bring must not be passed over.
func TestAFileOfNoPackageIsAnError(t *testing.T) {
	db := database(t)
	stray := filepath.Join(t.TempDir(), "stray.h")
	if err := os.WriteFile(stray, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := NeedOf(Use{Files: []string{stray}}, db); !errors.Is(err, errors.NotFound) {
		t.Errorf("%v", err)
	}
	if need, err := NeedOf(Use{}, db); err != nil || len(need.List(db)) > 0 {
		t.Errorf("a build that uses nothing needs %v: %v", need, err)
	}
}
