package systempackages

import (
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// Deploy is what the deploy file says of building the system.
type Deploy struct {
	// Build is the command that a shell runs at the root of the repository.
	Build string `toml:"build"`
	// Packages are the Debian packages that Build needs, by name.
	Packages []string `toml:"packages"`
}

// ReadDeploy reads a deploy file; what it says of roles is left alone.
func ReadDeploy(path string) (Deploy, error) {
	var d Deploy
	_, err := toml.DecodeFile(path, &d)
	return d, errors.Trace(err)
}

const (
	ldflagsOption = "-ldflags="
	outputOption  = "-o"
	// traceLdflags make the Go linker print how it calls the system's, and that one every file it reads.
	traceLdflags = " -v -extldflags=-Wl,--trace"
	// atOnce bounds how much of the machine the build takes: tests of real processes run beside it.
	atOnce = "-p=2"
)

// traced is the build command with a trace of what it runs, and its output in another folder. It knows only
// commands of the form of the one in use, so that another form is not passed over in silence.
func traced(build, outputFolder string) ([]string, error) {
	words := strings.Fields(build)
	if len(words) < 2 || words[0] != "go" || words[1] != "build" {
		return nil, errors.NotSupportedf("a build command other than go build: %q", build)
	}
	args := []string{"build", "-x", atOnce}
	linker, output := false, false
	for i, word := range words[2:] {
		switch {
		case strings.HasPrefix(word, ldflagsOption):
			linker = true
			word += traceLdflags
		case words[i+1] == outputOption:
			output = true
			word = outputFolder
		}
		args = append(args, word)
	}
	if !linker || !output {
		return nil, errors.NotSupportedf("a build command without %s and %s: %q", ldflagsOption, outputOption, build)
	}
	return args, nil
}
