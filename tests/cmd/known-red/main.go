// Command known-red runs go test under a list of tests that are known to fail: it passes over exactly those.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "known-red", Short: "Pass over the tests that a list names, and only over those", SilenceUsage: true}
	root.AddCommand(listCommand(), recordCommand(), judgeCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list LIST",
		Short: "Print LIST, or fail where it cannot be read, before any test has run",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := readListFile(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s: %d tests may fail\n", args[0], len(list))
			for _, e := range list {
				fmt.Printf("  %s\n", e)
			}
			return nil
		},
	}
}

func recordCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "record FOLDER COMMAND...",
		Short: "Run a `go test -json` and keep what it says in FOLDER; whether it passed is for judge to say",
		// The flags after FOLDER are the command's.
		DisableFlagParsing: true,
		Args:               cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return Record(args[0], args[1:], os.Stdout)
		},
	}
}

func judgeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "judge LIST FOLDER",
		Short: "Print how the tests of LIST fared, and fail if anything else failed",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := readListFile(args[0])
			if err != nil {
				return err
			}
			streams, err := readFolder(args[1])
			if err != nil {
				return err
			}
			return Tell(os.Stdout, args[0], list, Judge(list, streams))
		},
	}
}

// Record runs a command, shows what a reader of plain go test would see, and keeps the stream with the command's exit
// status. It fails only where it could not do that.
func Record(folder string, command []string, out io.Writer) error {
	file, err := os.CreateTemp(folder, "stream-*.json")
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stderr = os.Stderr
	reader, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Trace(err)
	}
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	shown := show(io.TeeReader(reader, file), out)
	if err := cmd.Wait(); err != nil {
		if _, ended := errors.AsType[*exec.ExitError](err); !ended {
			return errors.Trace(err)
		}
	}
	if shown != nil {
		return errors.Trace(shown)
	}
	code := cmd.ProcessState.ExitCode()
	if code < 0 {
		return errors.Errorf("%s: %v", command[0], cmd.ProcessState)
	}
	last, err := json.Marshal(event{Action: exited, Code: code})
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := file.Write(append(last, '\n')); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func readListFile(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	list, err := ReadList(file)
	return list, errors.Annotate(err, path)
}

func readFolder(folder string) ([]*Stream, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "stream-*.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var streams []*Stream
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		s, err := ReadStream(filepath.Base(path), file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		streams = append(streams, s)
	}
	return streams, nil
}

// Tell prints the list with how each test fared, then what else failed.
func Tell(out io.Writer, path string, list []Entry, v Verdict) error {
	fmt.Fprintf(out, "%s: %d listed\n", path, len(list))
	for i, e := range list {
		fmt.Fprintf(out, "  %s: %s\n", v.States[i], e)
	}
	for _, why := range v.Failures {
		fmt.Fprintf(out, "not excused: %s\n", why)
	}
	if len(v.Failures) > 0 {
		return errors.Errorf("%d failures that %s does not excuse", len(v.Failures), path)
	}
	return nil
}
