package main

import (
	"bufio"
	"io"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

// Test is one top-level test of one package. Its subtests go with it.
type Test struct{ Package, Name string }

func (t Test) String() string { return t.Package + " " + t.Name }

// Entry is one line of the list: a test that may fail, why, and where that is followed up.
type Entry struct {
	Test
	Cause, Issue string
}

func (e Entry) String() string { return e.Test.String() + dash + e.Cause + dash + e.Issue }

const dash = " — "

var name = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)

// ReadList reads lines of the form "package TestName — cause — issue". Whatever is not such a line, a comment or blank is
// an error: a list that is misread would excuse the wrong test.
func ReadList(from io.Reader) ([]Entry, error) {
	var list []Entry
	seen := map[Test]bool{}
	lines := bufio.NewScanner(from)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, dash)
		names := strings.Fields(parts[0])
		if len(parts) != 3 || len(names) != 2 || strings.TrimSpace(parts[1]) == "" || strings.TrimSpace(parts[2]) == "" {
			return nil, errors.Errorf("line %d: want \"package TestName — cause — issue\", got %q", number, line)
		}
		if !name.MatchString(names[1]) {
			return nil, errors.Errorf("line %d: %q is not the name of a top-level test", number, names[1])
		}
		e := Entry{Test{names[0], names[1]}, strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		if seen[e.Test] {
			return nil, errors.Errorf("line %d: %s is listed twice", number, e.Test)
		}
		seen[e.Test] = true
		list = append(list, e)
	}
	return list, errors.Trace(lines.Err())
}
