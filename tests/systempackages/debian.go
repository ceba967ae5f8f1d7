package systempackages

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Package is an installed package. Depends are the names of those that it cannot be installed without, virtual ones
// and every alternative among them.
type Package struct {
	Name      string
	Essential bool
	Depends   []string
}

// Database is the package database of the machine.
type Database struct {
	packages map[string]Package
	// providers are the packages that stand for a virtual one.
	providers map[string][]string
}

// queryFormat is one line for each package, its fields separated by tabs.
const (
	queryFormat = "${db:Status-Status}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"
	queryFields = 5
)

// ReadDatabase reads the installed packages. Where dpkg is not installed the error is errors.NotFound.
func ReadDatabase() (*Database, error) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		return nil, errors.NewNotFound(err, "no Debian package database")
	}
	raw, err := exec.Command("dpkg-query", "--show", "--showformat="+queryFormat).Output()
	if err != nil {
		return nil, errors.Annotate(err, "dpkg-query")
	}
	return parseDatabase(string(raw)), nil
}

func parseDatabase(text string) *Database {
	db := &Database{packages: map[string]Package{}, providers: map[string][]string{}}
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Split(line, "\t")
		if len(fields) != queryFields || fields[0] != "installed" {
			continue
		}
		p := Package{Name: fields[1], Essential: fields[2] == "yes", Depends: packageNames(fields[3])}
		db.packages[p.Name] = p
		for _, virtual := range packageNames(fields[4]) {
			db.providers[virtual] = append(db.providers[virtual], p.Name)
		}
	}
	return db
}

// packageNames are the names in a list such as "libc6 (>= 2.36), cpp:any | cpp-12".
func packageNames(list string) []string {
	names := []string{}
	for _, item := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == '|' }) {
		item = strings.TrimSpace(item)
		name, _, _ := strings.Cut(item, " ")
		if name, _, _ = strings.Cut(name, ":"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// pulledIn are all installed packages that come with one, itself not among them unless it needs itself.
func (db *Database) pulledIn(name string) map[string]bool {
	seen := map[string]bool{}
	var visit func(string)
	visit = func(of string) {
		for _, needed := range db.packages[of].Depends {
			for _, real := range append([]string{needed}, db.providers[needed]...) {
				if _, installed := db.packages[real]; installed && !seen[real] {
					seen[real] = true
					visit(real)
				}
			}
		}
	}
	visit(name)
	return seen
}

// Owners names the package of each file, and the files that no package has.
func (db *Database) Owners(files []string) (owners map[string]string, strays []string) {
	names := []string{}
	for _, file := range files {
		names = append(names, packedNames(file)...)
	}
	packedIn := search(names)
	owners = map[string]string{}
	for _, file := range files {
		known := slices.IndexFunc(packedNames(file), func(name string) bool { return packedIn[name] != "" })
		if known < 0 {
			strays = append(strays, file)
			continue
		}
		owners[file] = packedIn[packedNames(file)[known]]
	}
	return owners, strays
}

// packedNames are the names under which a file may have been packed: /lib may be a link to /usr/lib.
func packedNames(file string) []string {
	names := []string{file, "/usr" + file, strings.TrimPrefix(file, "/usr")}
	if real, err := filepath.EvalSymlinks(file); err == nil {
		names = append(names, real, strings.TrimPrefix(real, "/usr"))
	}
	return names
}

// search names the package of each path that one has. dpkg-query fails where it knows one of them not, and has
// printed all others by then.
func search(paths []string) map[string]string {
	packedIn := map[string]string{}
	if len(paths) == 0 {
		return packedIn
	}
	raw, _ := exec.Command("dpkg-query", append([]string{"--search"}, paths...)...).Output()
	for _, line := range strings.Split(string(raw), "\n") {
		owner, path, found := strings.Cut(line, ": ")
		if !found || strings.HasPrefix(owner, "diversion by ") {
			continue
		}
		packedIn[path], _, _ = strings.Cut(owner, ":")
	}
	return packedIn
}
