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
		"gateway, a flag that is unfit":          {gatewayCommand(), []string{"--settings", write(whole), "--listen", "nowhere"}, `at listen: "nowhere"`},
		"gateway, seeds by flag":                 {gatewayCommand(), []string{"--settings", write(whole), "--seeds", "here"}, `at seeds: "here"`},
		"gateway, a zone by flag":                {gatewayCommand(), []string{"--settings", write(whole), "--zone", strings.Repeat("z", 40)}, "at zone"},
		"gateway, an empty name by flag":         {gatewayCommand(), []string{"--settings", write(whole), "--name", ""}, "at name"},
		"gateway, advertise by flag":             {gatewayCommand(), []string{"--settings", write(whole), "--advertise", "0.0.0.0:1"}, "at advertise"},
		"gateway, a field nobody knows":          {gatewayCommand(), []string{"--settings", write(whole + "colour: blue\n")}, "colour"},
		"gateway, no file there":                 {gatewayCommand(), []string{"--settings", "/dev/null/none"}, "/dev/null/none"},
		"control node, the file is unfit":        {controlNodeCommand(), []string{"--settings", write(whole), "--data", t.TempDir()}, "at platform"},
		"control node, founding by flag":         {controlNodeCommand(), []string{"--settings", write(whole + "founding: 3\nplatform: 127.0.0.1:9\n"), "--data", t.TempDir(), "--founding", "2"}, "at founding"},
		"control node, data by flag is unfit":    {controlNodeCommand(), []string{"--settings", write(whole + "founding: 3\nplatform: 127.0.0.1:9\n"), "--data", "/dev/null/data"}, "data"},
		"control node, platform by flag too":     {controlNodeCommand(), []string{"--settings", write(whole), "--data", t.TempDir(), "--platform", "there"}, `at platform: "there"`},
		"control node, nothing but a short name": {controlNodeCommand(), []string{"--name", "n"}, "at listen"},
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
