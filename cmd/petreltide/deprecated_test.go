package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/gateway"
	"petreltide/platform"
)

// The subcommands of earlier releases run the same roles, are named in no help text and say what to use.
func TestDeprecatedCommandsRunTheRolesOfToday(t *testing.T) {
	for old, name := range map[string]string{"office": "control-node", "desk": "gateway", "platform office": "control-node", "platform desk": "gateway"} {
		t.Run(old, func(t *testing.T) {
			t.Setenv(platform.SettingsVariable, "/dev/null/none")
			args := strings.Fields(old)
			cmd := root()
			parent := cmd
			if len(args) == 2 {
				found, _, err := cmd.Find(args[:1])
				if err != nil {
					t.Fatal(err)
				}
				parent = found
			} else {
				args = append(args, "--settings", "/dev/null/none")
			}
			if help := parent.UsageString(); strings.Contains(help, "\n  "+args[len(strings.Fields(old))-1]+" ") || !strings.Contains(help, "\n  "+name+" ") {
				t.Errorf("the help text names the old word, or not the new one: %s", help)
			}
			var out, messages bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&messages)
			cmd.SetArgs(args)
			err := cmd.ExecuteContext(t.Context())
			if err == nil || !strings.Contains(err.Error(), "/dev/null/none") {
				t.Errorf("%v does not name the settings file that it was given", err)
			}
			if said := out.String() + messages.String(); !strings.Contains(said, "deprecated") || !strings.Contains(said, name) {
				t.Errorf("it says %q", said)
			}
		})
	}
}

// The flags of earlier releases set what those of today set, are named in no help text and say what to use.
func TestDeprecatedFlagsSetTheFlagsOfToday(t *testing.T) {
	front := serve(t, map[string]any{"/v1/status": gateway.Status{Gateway: "front-1", Zone: "a"}})
	core := serve(t, map[string]any{"/v1/status": fleetStatus(front.addr())})
	for name, c := range map[string]struct {
		args, today []string
		flag        string
		want        string
	}{
		"status --office": {[]string{"status", "--office", core.addr()}, []string{"status", "--control-node", core.addr()}, "--control-node", "leader    core-1-ab"},
		"status --desks":  {[]string{"status", "--control-node", core.addr(), "--desks"}, []string{"status", "--control-node", core.addr(), "--gateways"}, "--gateways", "work      front-1"},
		"status --desk":   {[]string{"status", "--desk", front.addr()}, []string{"status", "--gateway", front.addr()}, "--gateway", "work      front-1"},
		"query --office":  {[]string{"query", "--office", core.addr(), `len(replicas())`}, []string{"query", "--control-node", core.addr(), `len(replicas())`}, "--control-node", "3"},
		"member --office": {[]string{"member", "list", "--office", core.addr()}, []string{"member", "list", "--control-node", core.addr()}, "--control-node", "view 0"},
	} {
		t.Run(name, func(t *testing.T) {
			say := func(args []string) (string, string) {
				var out, messages bytes.Buffer
				cmd := root()
				cmd.SetOut(&out)
				cmd.SetErr(&messages)
				cmd.SetArgs(args)
				if err := cmd.ExecuteContext(t.Context()); err != nil {
					t.Fatal(err)
				}
				return out.String(), messages.String()
			}
			old, said := say(c.args)
			now, none := say(c.today)
			if !strings.Contains(now, c.want) || none != "" {
				t.Errorf("today's flag gives %q and says %q", now, none)
			}
			if !strings.Contains(old, c.want) || !strings.Contains(old+said, "use "+c.flag) {
				t.Errorf("the old flag gives %q and says %q", old, said)
			}
			cmd, _, err := root().Find(c.args)
			if err != nil {
				t.Fatal(err)
			}
			if help := cmd.UsageString(); strings.Contains(help, "--office") || strings.Contains(help, "--desk") {
				t.Errorf("the help text names the old flag: %s", help)
			}
		})
	}
	var bad *fault.Fault
	if _, err := runCommand(t, replayCommand(), "--desk", front.addr(), "/dev/null/none.har"); !errors.As(err, &bad) || bad.Code != fault.NotFound {
		t.Errorf("replay --desk goes on to the file: %v", err)
	}
}
