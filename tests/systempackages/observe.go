package systempackages

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Use is what a build was seen to use of the machine it ran on.
type Use struct {
	// Programs are the absolute paths of programs that were looked up on PATH, but for go itself.
	Programs []string
	// Files are the headers, start files and libraries that the compiler and the linker read, and the parts of the
	// compiler that it finds without PATH.
	Files []string
	// FetchesModules says that a clean checkout has to fetch modules over HTTPS first.
	FetchesModules bool
}

// goEnvironment is what is needed of go env; the commands are those that a build may run beside its own tools.
type goEnvironment struct {
	CC         string
	CXX        string
	FC         string
	AR         string
	PkgConfig  string `json:"PKG_CONFIG"`
	GOROOT     string
	GOMODCACHE string
}

func (e goEnvironment) commands() []string {
	return []string{e.CC, e.CXX, e.FC, e.AR, e.PkgConfig, "git", "swig"}
}

// compilerParts are the programs that a C compiler runs in its turn.
var compilerParts = []string{"as", "cc1", "collect2", "ld"}

// Observe runs the build command at the root on an empty build cache and returns what it used. Everything that it
// writes goes to the scratch folder.
func Observe(root, build, scratch string) (Use, error) {
	env, err := readGoEnvironment(root)
	if err != nil {
		return Use{}, err
	}
	args, err := traced(build, filepath.Join(scratch, "out")+string(filepath.Separator))
	if err != nil {
		return Use{}, err
	}
	headers := filepath.Join(scratch, "headers")
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	// The compiler adds the headers of each file, those of the system as well, to the file of this name.
	cmd.Env = append(os.Environ(), "GOCACHE="+filepath.Join(scratch, "cache"), "SUNPRO_DEPENDENCIES="+headers)
	trace, err := cmd.CombinedOutput()
	if err != nil {
		return Use{}, errors.Annotatef(err, "%s: %s", build, lastLines(string(trace)))
	}
	dependencies, err := os.ReadFile(headers)
	if err != nil && !os.IsNotExist(err) {
		return Use{}, errors.Trace(err)
	}
	use := Use{}
	if use.FetchesModules, err = fetchesModules(root); err != nil {
		return Use{}, err
	}
	use.addPrograms(env, string(trace))
	outside := []string{root, scratch, env.GOROOT, env.GOMODCACHE}
	use.addFiles(outside, string(trace)+"\n"+string(dependencies))
	use.sort()
	return use, nil
}

func readGoEnvironment(root string) (goEnvironment, error) {
	var env goEnvironment
	cmd := exec.Command("go", "env", "-json")
	cmd.Dir = root
	raw, err := cmd.Output()
	if err != nil {
		return env, errors.Annotate(err, "go env")
	}
	return env, errors.Trace(json.Unmarshal(raw, &env))
}

// fetchesModules says whether the build takes packages from modules that the repository does not hold.
func fetchesModules(root string) (bool, error) {
	if _, err := os.Stat(filepath.Join(root, "vendor", "modules.txt")); err == nil {
		return false, nil
	}
	cmd := exec.Command("go", "list", "-deps", "-f", "{{with .Module}}{{if not .Main}}{{.Path}}{{end}}{{end}}", "./...")
	cmd.Dir = root
	raw, err := cmd.Output()
	return len(strings.TrimSpace(string(raw))) > 0, errors.Annotate(err, "go list")
}

// addPrograms adds the commands that the trace shows at the start of a line, those that the linker says it calls,
// and the parts of a compiler among them.
func (u *Use) addPrograms(env goEnvironment, trace string) {
	for _, command := range env.commands() {
		// go env may give a command with arguments.
		name, _, _ := strings.Cut(command, " ")
		run := regexp.MustCompile(`(?m)^(?:\w+='?[^ ]*'? )*` + regexp.QuoteMeta(name) + ` |host link: "` + regexp.QuoteMeta(name) + `"`)
		if name != "" && run.MatchString(trace) {
			u.addProgram(name)
		}
	}
	// The command itself is handed to a shell.
	u.addProgram("sh")
}

// addProgram adds a program by its name on PATH, and the parts of one that is a C compiler.
func (u *Use) addProgram(name string) {
	path, err := exec.LookPath(name)
	if err != nil || slices.Contains(u.Programs, path) {
		return
	}
	u.Programs = append(u.Programs, path)
	for _, part := range compilerParts {
		raw, err := exec.Command(path, "-print-prog-name="+part).Output()
		where := strings.TrimSpace(string(raw))
		switch {
		case err != nil || where == "":
			return
		case filepath.IsAbs(where):
			u.Files = append(u.Files, where)
		default:
			u.addProgram(where)
		}
	}
}

// addFiles adds the absolute paths in a text that are files of the system. Names of temporary files are gone by
// now, and what lies in the given folders is the project's or the Go toolchain's own.
func (u *Use) addFiles(outside []string, text string) {
	for _, path := range regexp.MustCompile(`(?m)(?:^| )(/\S+)`).FindAllStringSubmatch(text, -1) {
		name := filepath.Clean(path[1])
		own := slices.ContainsFunc(outside, func(folder string) bool { return strings.HasPrefix(name, folder+string(filepath.Separator)) })
		if info, err := os.Stat(name); own || err != nil || !info.Mode().IsRegular() {
			continue
		}
		u.Files = append(u.Files, name)
	}
}

func (u *Use) sort() {
	slices.Sort(u.Programs)
	slices.Sort(u.Files)
	u.Files = slices.Compact(u.Files)
}

// lastLines are the end of an output that is too long to be shown whole.
func lastLines(output string) string {
	const most = 20
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}
