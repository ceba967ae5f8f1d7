package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"petreltide/examples"
	"petreltide/internal/controlplane/controlnode"
)

func policies(t *testing.T) (steady, chaser, broken string) {
	t.Helper()
	folder := t.TempDir()
	write := func(name, source string) string {
		path := filepath.Join(folder, name+".star")
		if err := os.WriteFile(path, []byte(source), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("other", examples.Steady), write("chaser", examples.Chaser), write("broken", "def propose(fleet:\n")
}

func (f *Fleet) now(t *testing.T, ctx context.Context) controlnode.CurrentConfig {
	t.Helper()
	r, err := f.AskAny(ctx, http.MethodGet, "/v1/config", "")
	if err != nil {
		t.Fatal(err)
	}
	now := controlnode.CurrentConfig{}
	if err := json.Unmarshal(r.Body, &now); err != nil {
		t.Fatal(err)
	}
	return now
}

// amid runs a comparison and acts once its first window is over.
func amid(t *testing.T, act func(*exec.Cmd), args ...string) (string, error) {
	t.Helper()
	cmd := exec.Command(petreltide, args...)
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	lines := bufio.NewScanner(pipe)
	for lines.Scan() {
		text.WriteString(lines.Text() + "\n")
		if act != nil && strings.HasPrefix(lines.Text(), "window 1 ") {
			act(cmd)
			act = nil
		}
	}
	return text.String(), cmd.Wait()
}

func TestCompareLiveOnRealProcesses(t *testing.T) {
	f, doc, ctx := begun(t)
	loaded, stop := context.WithCancel(ctx)
	over := make(chan struct{})
	go func() {
		f.Run(loaded, Demand{Doc: doc, PerSecond: 40, Seed: 1, Label: "compare"})
		close(over)
	}()
	defer func() {
		stop()
		<-over
	}()
	controlNodes := strings.Join(f.Addrs("control-node"), ",")
	other, chaser, broken := policies(t)
	args := func(a, b string, more ...string) []string {
		return append([]string{"compare", "--live", "--control-node", controlNodes, "--policy", a, "--policy", b, "--windows", "4", "--window", "3s", "--settle", "300ms"}, more...)
	}

	before := f.now(t, ctx).Revision
	for name, bad := range map[string][]string{
		"odd windows": args(other, chaser, "--windows", "3"), "no windows": args(other, chaser, "--windows", "0"),
		"an unknown file": args(other, chaser+"x"), "one that does not compile": args(other, broken),
		"one policy":        {"compare", "--live", "--control-node", controlNodes, "--policy", other},
		"no office reached": {"compare", "--live", "--control-node", f.FreeAddr(), "--policy", other, "--policy", chaser, "--windows", "2"},
	} {
		if out, err := run(t, bad...); err == nil {
			t.Errorf("%s: taken: %s", name, out)
		}
	}
	if now := f.now(t, ctx).Revision; now != before {
		t.Fatalf("refused comparisons moved the revision from %d to %d", before, now)
	}

	back := func(what string) {
		t.Helper()
		if now := f.now(t, ctx); now.Declaration.Policy != doc.Policy {
			t.Errorf("%s: policy %s stands", what, now.Declaration.Policy.Name)
		}
	}
	out, err := amid(t, nil, args(other, chaser)...)
	want(t, out, err, "2 clean pairs of 2", "policy steady is back", "fixes", "first piece p95")
	back("played to its end")

	out, err = amid(t, func(cmd *exec.Cmd) { _ = cmd.Process.Signal(syscall.SIGINT) }, args(other, chaser)...)
	if err == nil || !strings.Contains(out, "interrupted") {
		t.Errorf("an interrupt: %v\n%s", err, out)
	}
	back("an interrupt")

	out, err = amid(t, func(*exec.Cmd) {
		zone := f.Plan.Zones[0]
		if r, err := f.AskAny(ctx, http.MethodPost, "/v1/zones/"+zone+"/restore", ""); err != nil || r.Status != http.StatusOK {
			t.Errorf("%v %s", err, r.Body)
		}
	}, args(other, chaser)...)
	if err == nil || !strings.Contains(out, "foreign_change") {
		t.Errorf("a foreign change: %v\n%s", err, out)
	}
	back("a foreign change of something else")

	name := f.Names("replica")[0]
	out, err = amid(t, func(*exec.Cmd) { f.Take(name) }, args(other, chaser, "--settle", "0s")...)
	if err == nil || !strings.Contains(out, "window_spoilt") || !strings.Contains(out, name) {
		t.Errorf("a replica lost: %v\n%s", err, out)
	}
	back("a replica lost")
}

func TestMembersByCommandOnRealProcesses(t *testing.T) {
	f, _, ctx := begun(t)
	controlNodes := strings.Join(f.Addrs("control-node"), ",")
	member := func(args ...string) (string, error) {
		return run(t, append(append([]string{"member"}, args...), "--control-node", controlNodes)...)
	}
	for _, c := range []struct {
		args []string
		why  string
	}{
		{[]string{"add", "core-1"}, "is already a voter"},
		{[]string{"replace", "core-1"}, "is alive"},
		{[]string{"replace", "core-9"}, "no control node named"},
		{[]string{"remove", "core-1"}, "fewer than three"},
		{[]string{"cancel"}, "no change of members"},
	} {
		if out, err := member(c.args...); err == nil || !strings.Contains(out, c.why) {
			t.Errorf("%v: %v %s", c.args, err, out)
		}
	}
	out, err := member("add", "core-4", "--change", "four")
	want(t, out, err, `"state":"ordered"`)
	out, err = member("add", "core-4", "--change", "four")
	want(t, out, err, `"again":true`)
	if out, err = member("add", "core-5"); err == nil || !strings.Contains(out, "under way") {
		t.Errorf("a second order beside the first: %v %s", err, out)
	}
	out, err = member("list")
	want(t, out, err, "order  add core-4", "an empty control node named core-4", "vote   core-1")
	if err := f.AddControlNode("core-4", "a", f.reaches("control-node", ""), 0); err != nil {
		t.Fatal(err)
	}
	votes := func(n int) func() bool {
		return func() bool {
			tail, ok := f.Tail(ctx)
			return ok && len(tail.View.Voters) == n && len(tail.View.Replicas) == n && tail.MembershipChange == nil
		}
	}
	if err := f.Until(ctx, "four offices vote", votes(4)); err != nil {
		t.Fatal(err)
	}
	out, err = member("remove", "core-2")
	want(t, out, err, `"state":"ordered"`)
	if err := f.Until(ctx, "three are left", votes(3)); err != nil {
		t.Fatal(err)
	}
	f.Kill("core-2")
	out, err = member("list")
	want(t, out, err, "vote   core-4", "seat 3 of 3")
	if strings.Contains(out, "vote   core-2") {
		t.Errorf("the removed one still votes:\n%s", out)
	}
}
