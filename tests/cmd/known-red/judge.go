package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State is how a listed test fared over all streams.
type State string

const (
	Failed  State = "failed"
	Passed  State = "passed after all"
	Skipped State = "was skipped"
	Unrun   State = "did not end"
	Unknown State = "does not exist"
)

type Verdict struct {
	States   []State  // one for each entry of the list
	Failures []string // why the whole fails; none if it passes
}

// Judge passes over failures of the listed tests and nothing else. A package that broke off fails even when a listed
// test broke it off: the tests after it never ran, and those are not on the list.
func Judge(list []Entry, streams []*Stream) Verdict {
	listed := map[Test]bool{}
	for _, e := range list {
		listed[e.Test] = true
	}
	v := Verdict{}
	if len(streams) == 0 {
		v.fail("no go test was recorded")
	}
	for _, s := range streams {
		v.judge(listed, s)
	}
	for _, e := range list {
		state := stateOf(e.Test, streams)
		v.States = append(v.States, state)
		if state == Unknown || state == Unrun {
			v.fail("listed, but %s: %s", state, e.Test)
		}
	}
	return v
}

func (v *Verdict) fail(format string, args ...any) {
	v.Failures = append(v.Failures, fmt.Sprintf(format, args...))
}

func (v *Verdict) judge(listed map[Test]bool, s *Stream) {
	if !s.ended {
		v.fail("%s: the stream is cut off", s.Name)
	}
	for _, path := range s.builds {
		v.fail("does not build: %s", path)
	}
	failed := false
	for _, path := range slices.Sorted(maps.Keys(s.packages)) {
		r := s.packages[path]
		failed = failed || r.ended == "fail"
		for _, why := range r.unexplained(path, listed) {
			v.fail("%s: %s", path, why)
		}
	}
	switch {
	case len(s.packages) == 0:
		v.fail("%s: no package was tested", s.Name)
	case s.code != 0 && !failed && len(s.builds) == 0:
		v.fail("%s: go test ended with %d, and no package failed", s.Name, s.code)
	}
}

// unexplained names what the list does not excuse.
func (r *run) unexplained(path string, listed map[Test]bool) []string {
	var why, open, failed []string
	for _, name := range slices.Sorted(maps.Keys(r.tests)) {
		top, _, _ := strings.Cut(name, "/")
		switch r.tests[name] {
		case "":
			open = append(open, name)
		case "fail":
			failed = append(failed, name)
			if !listed[Test{path, top}] {
				why = append(why, name+" failed")
			}
		}
	}
	switch {
	case r.build != "":
		return append(why, "does not build")
	case r.ended == "":
		return append(why, "did not end")
	case r.outside != "":
		why = append(why, "outside its tests: "+r.outside)
	}
	if r.ended != "fail" {
		if len(open) > 0 {
			why = append(why, "passed without an end of "+strings.Join(open, ", "))
		}
		return why
	}
	switch {
	case len(open) > 0:
		why = append(why, "broke off (panic, exit or timeout) in "+strings.Join(open, ", "))
	case !r.summary:
		why = append(why, "broke off (panic, exit or timeout) before all its tests had run")
	case r.reported != "":
		why = append(why, "failed after its tests: "+r.reported)
	case len(failed) == 0:
		why = append(why, "failed, and none of its tests did")
	}
	return why
}

// stateOf takes the worst of all runs; a test that ran nowhere counts as unrun where its package did not run to its end.
func stateOf(t Test, streams []*Stream) State {
	seen, cut := map[State]bool{}, false
	for _, s := range streams {
		r := s.packages[t.Package]
		if r == nil {
			continue
		}
		result, known := r.tests[t.Name]
		switch {
		case !known:
			cut = cut || r.build != "" || r.ended == "" || (r.ended == "fail" && !r.summary)
		case result == "fail":
			seen[Failed] = true
		case result == "pass":
			seen[Passed] = true
		case result == "skip":
			seen[Skipped] = true
		default:
			cut = true
		}
	}
	for _, state := range []State{Failed, Passed, Skipped} {
		if seen[state] {
			return state
		}
	}
	if cut {
		return Unrun
	}
	return Unknown
}
