package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"petreltide/internal/api/fault"
)

// A flag wins over the file and the file over the default, for both roles; what is unfit is named.
func TestFlagsAreLaidOverTheSettingsFile(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	whole := "name: n\nlisten: 127.0.0.1:0\nadvertise: 127.0.0.1:1\nzone: a\nseeds: [127.0.0.1:2]\n"
	for name, c := range map[string]struct {
		cmd   *cobra.Command
		args  []string
		names string
	}{
		"desk, a flag that is unfit":       {gatewayCommand(), []string{"--settings", write(whole), "--listen", "nowhere"}, `at listen: "nowhere"`},
		"desk, seeds by flag":              {gatewayCommand(), []string{"--settings", write(whole), "--seeds", "here"}, `at seeds: "here"`},
		"desk, a zone by flag":             {gatewayCommand(), []string{"--settings", write(whole), "--zone", strings.Repeat("z", 40)}, "at zone"},
		"desk, an empty name by flag":      {gatewayCommand(), []string{"--settings", write(whole), "--name", ""}, "at name"},
		"desk, advertise by flag":          {gatewayCommand(), []string{"--settings", write(whole), "--advertise", "0.0.0.0:1"}, "at advertise"},
		"desk, a field nobody knows":       {gatewayCommand(), []string{"--settings", write(whole + "colour: blue\n")}, "colour"},
		"desk, no file there":              {gatewayCommand(), []string{"--settings", "/dev/null/none"}, "/dev/null/none"},
		"office, the file is unfit":        {controlNodeCommand(), []string{"--settings", write(whole), "--data", t.TempDir()}, "at platform"},
		"office, founding by flag":         {controlNodeCommand(), []string{"--settings", write(whole + "founding: 3\nplatform: 127.0.0.1:9\n"), "--data", t.TempDir(), "--founding", "2"}, "at founding"},
		"office, data by flag is unfit":    {controlNodeCommand(), []string{"--settings", write(whole + "founding: 3\nplatform: 127.0.0.1:9\n"), "--data", "/dev/null/data"}, "data"},
		"office, platform by flag too":     {controlNodeCommand(), []string{"--settings", write(whole), "--data", t.TempDir(), "--platform", "there"}, `at platform: "there"`},
		"office, nothing but a short name": {controlNodeCommand(), []string{"--name", "n"}, "at listen"},
	} {
		ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
		c.cmd.SetContext(ctx)
		_, err := runCommand(t, c.cmd, c.args...)
		done()
		var bad *fault.Fault
		if !errors.As(err, &bad) || !strings.Contains(bad.Error(), c.names) {
			t.Errorf("%s: %v does not name %s", name, err, c.names)
		}
	}
}
