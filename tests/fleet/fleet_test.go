package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/rpc"
	"petreltide/tests/callers"
	"petreltide/tests/loopback"
	"petreltide/tests/rules"
	"petreltide/tests/simulator"
)

var petreltide, self string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "petreltide-bin-")
	if err != nil {
		panic(err)
	}
	petreltide, self = filepath.Join(folder, "petreltide"), filepath.Join(folder, "fleet")
	for _, b := range [][]string{{"../..", petreltide, "./cmd/petreltide"}, {"..", self, "./cmd/fleet"}} {
		cmd := exec.Command("go", "build", "-o", b[1], b[2])
		cmd.Dir = b[0]
		if out, err := cmd.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func small(t *testing.T) (*Fleet, *configuration.Declaration, context.Context) {
	t.Helper()
	doc := simulator.ExampleDeclaration()
	f, err := New(Plan{Petreltide: petreltide, Self: self, Folder: t.TempDir(), ControlNodes: 3, Gateways: 2, Replicas: 3, Zones: doc.Zones,
		RoomMb: doc.Replica.CapacityMB, Slots: 8, PieceUs: 20_000, FirstUs: 5_000, PartUs: 1_000, Store: doc.Store})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	ctx, done := context.WithTimeout(context.Background(), 120*time.Second)
	t.Cleanup(done)
	return f, doc, ctx
}

// begun is a small fleet whose layout stands.
func begun(t *testing.T) (*Fleet, *configuration.Declaration, context.Context) {
	t.Helper()
	f, doc, ctx := small(t)
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if err := Begin(ctx, f, string(raw)); err != nil {
		t.Fatal(err)
	}
	return f, doc, ctx
}

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.Command(petreltide, args...).CombinedOutput()
	return string(out), err
}

func want(t *testing.T, out string, err error, parts ...string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, p := range parts {
		if !strings.Contains(out, p) {
			t.Fatalf("no %q in:\n%s", p, out)
		}
	}
}

func TestCommandLineOnRealProcesses(t *testing.T) {
	f, doc, ctx := small(t)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.Until(ctx, "the chain is open", func() bool { _, ok := f.Tail(ctx); return ok }); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "doc.yaml")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	controlNodes := strings.Join(f.Addrs("control-node"), ",")
	out, err := run(t, "apply", file, "--control-node", controlNodes, "--change", "one")
	want(t, out, err, `"revision":1`)
	out, err = run(t, "apply", file, "--control-node", controlNodes, "--change", "one", "--base", "0")
	want(t, out, err, `"again":true`)
	if err := f.Until(ctx, "the layout stands", func() bool { return f.Settled(ctx) }); err != nil {
		t.Fatal(err)
	}
	out, err = run(t, "diff", file, "--control-node", controlNodes)
	want(t, out, err, "no difference")
	out, err = run(t, "status", "--office", controlNodes)
	want(t, out, err, "view ", "leader ", "replica   gpu-1")
	out, err = run(t, "query", "--control-node", controlNodes, `holders("m0")`)
	want(t, out, err, "gpu-")
	patch := filepath.Join(t.TempDir(), "patch.json")
	if err := os.WriteFile(patch, []byte(`{"scaler":{"spares":0}}`), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err = run(t, "apply", patch, "--patch", "--control-node", controlNodes)
	want(t, out, err, `"revision":2`)
	out, err = run(t, "zone", "empty", "c", "--control-node", controlNodes)
	want(t, out, err, `"revision":3`)
	out, err = run(t, "query", "--control-node", controlNodes, `config["declaration"]["emptied"]`)
	want(t, out, err, `"c"`)
	out, err = run(t, "zone", "restore", "c", "--control-node", controlNodes)
	want(t, out, err, `"revision":4`)
	if out, err = run(t, "apply", file, "--control-node", controlNodes, "--base", "1"); err == nil || !strings.Contains(out, "stale_base") {
		t.Fatalf("a stale base got %v: %s", err, out)
	}
	replays(t, f)
	drains(t, f, ctx)
	refusesBadSettings(t)
	damagedFolder(t, f, ctx)
}

func replays(t *testing.T, f *Fleet) {
	body := `{\"kind\":\"fixes\",\"model\":\"m0\",\"prompt\":\"recorded\"}`
	entry := `{"startedDateTime":"2026-11-01T08:00:00.%03dZ","time":1,"request":{"method":"POST","url":"http://front/v1/calls","httpVersion":"HTTP/1.1","headers":[],"postData":{"mimeType":"application/json","text":"` + body + `"}}}`
	file := filepath.Join(t.TempDir(), "calls.har")
	har := `{"log":{"version":"1.2","entries":[` + fmt.Sprintf(entry, 0) + "," + fmt.Sprintf(entry, 90) + `]}}`
	if err := os.WriteFile(file, []byte(har), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, "replay", file, "--gateway", f.Addrs("gateway")[0], "--pace", "2")
	want(t, out, err, "fixes", "      2       2")
}

// drains: SIGTERM lets a streaming call end, and refuses the next with where it stands.
func drains(t *testing.T, f *Fleet, ctx context.Context) {
	name := f.Names("gateway")[0]
	addr := f.Proc(name).Addr
	got := make(chan rules.ClientAttempt, 1)
	go func() {
		got <- callers.Send(ctx, rpc.Client(500, ""), addr, gateway.CallRequest{Kind: "letters", Model: "m0", Prompt: "drain me", MaxOutput: 60}, "", rules.ClientAttempt{Tag: "drain"})
	}()
	if err := f.Until(ctx, "the call streams", func() bool {
		var st struct {
			Work struct {
				Calls int `json:"calls"`
			} `json:"work"`
		}
		r, err := f.Ask(ctx, addr, http.MethodGet, "/v1/status", "")
		return err == nil && json.Unmarshal(r.Body, &st) == nil && st.Work.Calls == 1
	}); err != nil {
		t.Fatal(err)
	}
	if r, err := f.Ask(ctx, addr, http.MethodGet, "/v1/ready", ""); err != nil || r.Status != http.StatusOK {
		t.Errorf("a working gateway is not ready: %d %s %v", r.Status, r.Body, err)
	}
	f.Signal(name, syscall.SIGTERM)
	if err := f.Until(ctx, "a draining desk says so to those who hand out clients", func() bool {
		r, err := f.Ask(ctx, addr, http.MethodGet, "/v1/ready", "")
		return err == nil && r.Status == http.StatusServiceUnavailable && strings.Contains(string(r.Body), "draining")
	}); err != nil {
		t.Error(err)
	}
	reported := <-got
	if !reported.Complete {
		t.Fatalf("a drained call ended with %+v", reported)
	}
	p := f.Proc(name)
	<-p.gone
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Fatalf("a drained gateway exits with %d", code)
	}
	if err := f.Again(name); err != nil {
		t.Fatal(err)
	}
}

func refusesBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "office.yaml")
	if err := os.WriteFile(file, []byte("name: x\nlisten: here\nseeds: [127.0.0.1:1]\ndata: /proc/none\nplatform: 127.0.0.1:1\nfounding: 2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, "control-node", "--settings", file)
	for _, part := range []string{"listen", "zone", "data", "founding"} {
		if err == nil || !strings.Contains(out, part) {
			t.Fatalf("bad settings got %v without %q: %s", err, part, out)
		}
	}
	if err := os.WriteFile(file, []byte("nmae: x\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, "gateway", "--settings", file); err == nil || !strings.Contains(out, "nmae") {
		t.Fatalf("an unknown setting got %v: %s", err, out)
	}
	for _, role := range []string{"control-node", "gateway", "office", "desk", "apply", "query"} {
		if out, err := run(t, role, "--help"); err != nil || !strings.Contains(out, "Usage:") {
			t.Fatalf("%s --help: %v %s", role, err, out)
		}
	}
}

// damagedFolder: a flipped bit is named, the folder kept, and the control node made good by copy.
func damagedFolder(t *testing.T, f *Fleet, ctx context.Context) {
	name := "core-2"
	before, ok := f.Tail(ctx)
	if !ok {
		t.Fatal("no open tail")
	}
	f.Kill(name)
	folder := filepath.Join(f.Plan.Folder, name)
	segments, err := filepath.Glob(filepath.Join(folder, "chain", "0*"))
	if err != nil || len(segments) == 0 {
		t.Fatal(segments, err)
	}
	raw, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/3] ^= 1
	if err := os.WriteFile(segments[0], raw, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := f.Again(name); err != nil {
		t.Fatal(err)
	}
	if err := f.Until(ctx, "the damaged office is back by copy, with a vote", func() bool {
		tail, ok := f.Tail(ctx)
		if !ok || len(tail.View.Replicas) != 3 {
			return false
		}
		for _, s := range tail.View.Replicas {
			if s.Name == name && before.View.IsVoter(s.ID) {
				return false
			}
		}
		votes := 0
		for _, v := range tail.View.Voters {
			if tail.View.HasReplica(v.ID) {
				votes++
			}
		}
		return votes == 3
	}); err != nil {
		t.Fatal(err)
	}
	kept, err := filepath.Glob(filepath.Join(folder, "chain.damaged-*"))
	if err != nil || len(kept) != 1 {
		t.Fatalf("the damaged folder is not kept: %v %v", kept, err)
	}
	said, err := os.ReadFile(filepath.Join(f.Plan.Folder, name+".out"))
	if err != nil || !strings.Contains(string(said), "damaged") {
		t.Fatalf("nothing said of the damage: %s", said)
	}
	foreign, err := exec.Command(petreltide, "office", "--name", "other", "--listen", f.FreeAddr(), "--zone", "a", "--seeds", "127.0.0.1:1",
		"--data", filepath.Join(f.Plan.Folder, "core-1"), "--platform", "127.0.0.1:1").CombinedOutput()
	if err == nil || !strings.Contains(string(foreign), "foreign_data") {
		t.Fatalf("another's folder got %v: %s", err, foreign)
	}
}

func TestDamagedFolderWithNoPeerStopsAndKeepsIt(t *testing.T) {
	folder := t.TempDir()
	kept := filepath.Join(folder, "chain.damaged-earlier")
	if err := os.Mkdir(kept, 0o755); err != nil {
		t.Fatal(err)
	}
	loop, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	out, err := run(t, "control-node", "--name", "core-1", "--listen", loop.Addr(), "--zone", "a", "--seeds", "127.0.0.1:1", "--data", folder, "--platform", "127.0.0.1:1", "--founding", "3")
	if err == nil || !strings.Contains(out, "no peer to copy one from was found") {
		t.Fatalf("got %v: %s", err, out)
	}
	if _, err := os.Stat(kept); err != nil {
		t.Fatal(err)
	}
}

// Killed control nodes, the controller and a replaced empty one, with demand running: the rules hold.
func TestKillsUnderDemandOnRealProcesses(t *testing.T) {
	f, doc, ctx := begun(t)
	if err := f.under(ctx, doc, 30, func() error {
		for _, place := range []int{0, 1, -1} {
			name := f.seat(ctx, place)
			f.Kill(name)
			r, err := f.AskAny(ctx, http.MethodPost, "/v1/zones/a/restore?change=after-"+fmt.Sprint(place), "")
			if err != nil {
				return fmt.Errorf("no change after %s was killed: %w", name, err)
			}
			if r.Status != http.StatusOK {
				return fmt.Errorf("no change after %s was killed: %s", name, r.Body)
			}
			if place == -1 {
				if err := os.RemoveAll(filepath.Join(f.Plan.Folder, name)); err != nil {
					return err
				}
				if err := f.AddControlNode(name, f.Proc(name).Zone, f.reaches("control-node", name), 0); err != nil {
					return err
				}
			} else if err := f.Again(name); err != nil {
				return err
			}
			if err := f.Until(ctx, "the view is whole again", func() bool {
				tail, ok := f.Tail(ctx)
				return ok && len(tail.View.Replicas) == 3
			}); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	before, ok := f.Tail(ctx)
	if !ok || before.Revision != 4 {
		t.Fatalf("three changes were acknowledged after the first, revision is %d", before.Revision)
	}
	if err := killControlNodes(ctx, f); err != nil {
		t.Fatal(err)
	}
	if err := f.Until(ctx, "all offices are back and the layout stands", func() bool {
		tail, ok := f.Tail(ctx)
		return ok && tail.View.Number > before.View.Number && len(tail.View.Replicas) == 3 && tail.Epoch > before.Epoch && f.Settled(ctx)
	}); err != nil {
		t.Fatal(err)
	}
	if tail, ok := f.Tail(ctx); !ok || tail.Revision != 4 || tail.CommitIndex < before.CommitIndex {
		t.Fatalf("all control nodes killed: revision %d commit %d, before 4 and %d", tail.Revision, tail.CommitIndex, before.CommitIndex)
	}
	seen, err := f.Seen()
	if err != nil {
		t.Fatal(err)
	}
	breaches, _ := rules.Check(seen)
	for _, b := range breaches {
		t.Error(b)
	}
	ended := 0
	for _, reported := range seen.Told {
		if reported.Complete {
			ended++
		}
	}
	if ended < 20 || ended*10 < len(seen.Told)*8 {
		t.Fatalf("%d of %d calls ended well", ended, len(seen.Told))
	}
}
