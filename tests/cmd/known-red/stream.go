package main

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/juju/errors"
)

// event is a line of `go test -json` (see `go doc test2json`), or the line with which Record ends a stream.
type event struct {
	Action      string
	Package     string `json:",omitempty"`
	ImportPath  string `json:",omitempty"`
	Test        string `json:",omitempty"`
	Output      string `json:",omitempty"`
	FailedBuild string `json:",omitempty"`
	Code        int    `json:",omitempty"`
}

// exited is the action of Record's own last line; test2json has none of that name.
const exited = "exited"

// run is what one package did in one `go test`.
type run struct {
	ended    string // "pass", "fail", "skip"; "" while it goes on
	tests    map[string]string
	build    string
	summary  bool   // the line "FAIL" with which a test binary ends that ran all its tests
	outside  string // a fault that the binary named outside all of its tests
	reported string // what was printed after the summary
}

// Stream is what one `go test -json` said.
type Stream struct {
	Name     string
	code     int
	ended    bool
	builds   []string
	packages map[string]*run
}

func (s *Stream) at(path string) *run {
	if s.packages[path] == nil {
		s.packages[path] = &run{tests: map[string]string{}}
	}
	return s.packages[path]
}

// ReadStream reads one recorded stream. Judge decides what it means.
func ReadStream(name string, from io.Reader) (*Stream, error) {
	s := &Stream{Name: name, packages: map[string]*run{}}
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return s, nil
		}
		if err != nil && err != io.EOF {
			return nil, errors.Trace(err)
		}
		var e event
		if json.Unmarshal([]byte(line), &e) != nil || e.Action == "" {
			return nil, errors.Errorf("%s: not a line of go test -json: %q", name, line)
		}
		if s.ended {
			return nil, errors.Errorf("%s: goes on after its end: %q", name, line)
		}
		s.take(e)
	}
}

func (s *Stream) take(e event) {
	switch {
	case e.Action == exited:
		s.code, s.ended = e.Code, true
	case e.Action == "build-fail":
		s.builds = append(s.builds, e.ImportPath)
	case e.Package == "":
	case e.Test == "":
		s.at(e.Package).take(e)
	case e.Action == "run":
		s.at(e.Package).tests[e.Test] = ""
	case e.Action == "pass" || e.Action == "fail" || e.Action == "skip":
		s.at(e.Package).tests[e.Test] = e.Action
	}
}

// take reads what a package says outside its tests.
func (r *run) take(e event) {
	switch e.Action {
	case "pass", "fail", "skip":
		r.ended, r.build = e.Action, e.FailedBuild
	case "output":
		switch {
		case strings.Contains(e.Output, "DATA RACE"), strings.Contains(e.Output, "race detected outside of test execution"):
			r.outside = strings.TrimSpace(e.Output)
		case e.Output == "FAIL\n":
			r.summary, r.reported = true, ""
		case e.Output == "exit status 1\n", strings.HasPrefix(e.Output, "FAIL\t"), strings.TrimSpace(e.Output) == "":
		case r.summary && r.reported == "":
			r.reported = strings.TrimSpace(e.Output)
		}
	}
}
