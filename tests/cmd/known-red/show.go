package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// show prints what go test without -json would: of tests only those that failed or never ended, and packages' own lines.
func show(from io.Reader, out io.Writer) error {
	held := map[Test]*strings.Builder{}
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			showLine(line, held, out)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

func showLine(line string, held map[Test]*strings.Builder, out io.Writer) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Fprint(out, line)
		return
	}
	at := Test{e.Package, e.Test}
	switch {
	case e.Action == "build-output":
		fmt.Fprint(out, e.Output)
	case e.Action == "output" && e.Test == "":
		if e.Output != "PASS\n" {
			fmt.Fprint(out, e.Output)
		}
	case e.Action == "output":
		if held[at] == nil {
			held[at] = &strings.Builder{}
		}
		held[at].WriteString(e.Output)
	case e.Action == "pass" || e.Action == "skip":
		delete(held, at)
	}
	if e.Action != "fail" {
		return
	}
	for t, text := range held {
		if t == at || (e.Test == "" && t.Package == at.Package) {
			fmt.Fprint(out, text.String())
			delete(held, t)
		}
	}
}
