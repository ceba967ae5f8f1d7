package systempackages

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// certificateTool writes the file of root certificates, which no package holds itself.
const certificateTool = "/usr/sbin/update-ca-certificates"

// Need is which packages a build needs, and why: the files that it used of each.
type Need struct {
	// ByProgram are the packages of programs that are looked up on PATH.
	ByProgram map[string][]string
	// ByFile are the packages of everything else.
	ByFile map[string][]string
}

// NeedOf finds the packages of all that a build used. A file that no package has is an error: it came from
// somewhere that the list of packages cannot name.
func NeedOf(use Use, db *Database) (Need, error) {
	programs := use.Programs
	if use.FetchesModules {
		programs = append(slices.Clone(programs), certificateTool)
	}
	byProgram, strayPrograms := db.Owners(programs)
	byFile, strayFiles := db.Owners(use.Files)
	if strays := append(strayPrograms, strayFiles...); len(strays) > 0 {
		return Need{}, errors.NotFoundf("the packages of %v", strays)
	}
	return Need{ByProgram: grouped(byProgram), ByFile: grouped(byFile)}, nil
}

// grouped are the files of each owner, in order.
func grouped(owners map[string]string) map[string][]string {
	files := map[string][]string{}
	for _, file := range slices.Sorted(maps.Keys(owners)) {
		files[owners[file]] = append(files[owners[file]], file)
	}
	return files
}

// List is the list that the deploy file should hold, in order: every package of a program that is looked up on
// PATH, and of the others those that none of the needed packages pulls in. Essential packages are on every machine.
func (n Need) List(db *Database) []string {
	list := slices.AppendSeq([]string{}, maps.Keys(n.ByProgram))
	slices.Sort(list)
	rest := slices.Sorted(maps.Keys(n.ByFile))
	for _, program := range list {
		pulled := db.pulledIn(program)
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == program || pulled[name] })
	}
	for at := 0; at < len(rest); at++ {
		name, pulled := rest[at], db.pulledIn(rest[at])
		rest = slices.DeleteFunc(rest, func(other string) bool { return other != name && pulled[other] })
		at = slices.Index(rest, name)
	}
	list = slices.DeleteFunc(append(list, rest...), func(name string) bool { return db.packages[name].Essential })
	slices.Sort(list)
	return list
}

// Difference is where a list of packages and what a build needs part.
type Difference struct {
	Missing     []string
	Superfluous []string
}

// Compare compares a list with the one that it should be.
func Compare(listed, derived []string) Difference {
	return Difference{Missing: without(derived, listed), Superfluous: without(listed, derived)}
}

// without are the names of one list that are not in the other.
func without(names, others []string) []string {
	left := []string{}
	for _, name := range names {
		if !slices.Contains(others, name) {
			left = append(left, name)
		}
	}
	return left
}
