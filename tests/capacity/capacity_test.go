package capacity

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/tests/loopback"
)

func built(t *testing.T) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "petreltide")
	cmd := exec.Command("go", "build", "-o", to, "./cmd/petreltide")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return to
}

func TestTheSmallestSizePlays(t *testing.T) {
	z := Part(0.01)
	z.ChangesPerS = 1
	plan := Plan{Size: z, Axis: "together", Petreltide: built(t), Folder: t.TempDir(), Window: 4 * time.Second, Warm: 2 * time.Second, Ready: 40 * time.Second, Regions: 3, Faults: []string{killOne}}
	ctx, done := context.WithTimeout(context.Background(), 3*time.Minute)
	defer done()
	run, err := Play(ctx, plan, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range formulas() {
		if _, ok := run.value(q.role, q.quantity); !ok {
			t.Errorf("%s, %s was not measured", q.role, q.quantity)
		}
	}
	for _, want := range []struct {
		role, quantity string
		least, most    float64
	}{
		{"fleet", "all knew all", 1, 1},
		{"member", "descriptors", 10, 4_096},
		{"member", "processor", 0.0001, 1.05},
		{"replica's side", "heartbeats out", 0.1, 1.2},
		{"desk's side", "reports out", 0.5, 4.5},
		{"operator", "changes not in force everywhere in 12 s", 0, 0},
		{killOne, "changes taken again", 0.001, 40},
		{killOne, "every desk follows two offices and has the newest", 0.001, 40},
	} {
		if v, ok := run.value(want.role, want.quantity); !ok || v < want.least || v > want.most {
			t.Errorf("%s, %s: %v (%v), want %v to %v", want.role, want.quantity, v, ok, want.least, want.most)
		}
	}
}

func TestBadSizesAreRefusedAndNothingIsStarted(t *testing.T) {
	machine := Machine{MemoryMb: 32_000, Descriptors: 20_000}
	if bad := Small.Check(machine); bad != nil {
		t.Fatal(bad)
	}
	for name, change := range map[string]struct {
		set  func(*Size)
		code fault.Code
		at   string
	}{
		"no desks":            {func(z *Size) { z.Gateways = 0 }, fault.BadField, "desks"},
		"negative replicas":   {func(z *Size) { z.Replicas = -5 }, fault.BadField, "replicas"},
		"two offices":         {func(z *Size) { z.ControlNodes = 2 }, fault.BadField, "offices"},
		"no models":           {func(z *Size) { z.Models = 0 }, fault.BadField, "models"},
		"negative adapters":   {func(z *Size) { z.Adapters = -1 }, fault.BadField, "adapters"},
		"nothing running":     {func(z *Size) { z.Running = 0 }, fault.BadField, "running"},
		"no changes":          {func(z *Size) { z.ChangesPerS = 0 }, fault.BadField, "changes"},
		"changes no number":   {func(z *Size) { z.ChangesPerS = math.NaN() }, fault.BadField, "changes"},
		"negative loads":      {func(z *Size) { z.LoadsPerS = -1 }, fault.BadField, "loads"},
		"no heartbeat":        {func(z *Size) { z.HeartbeatMs = 0 }, fault.BadField, "heartbeat-ms"},
		"no real desk":        {func(z *Size) { z.RealGateways = 0 }, fault.BadField, "real-desks"},
		"beyond memory":       {func(z *Size) { z.ControlNodes, z.Replicas = 64, 20_000 }, fault.TooLarge, "memory"},
		"beyond descriptors":  {func(z *Size) { z.Replicas = 19_000 }, fault.TooLarge, "descriptors"},
		"beyond all replicas": {func(z *Size) { z.Replicas = 1 << 40 }, fault.BadField, "replicas"},
	} {
		z := Small
		change.set(&z)
		bad := z.Check(machine)
		if bad == nil || bad.Code != change.code || !strings.Contains(bad.Error(), change.at) {
			t.Errorf("%s: %v", name, bad)
			continue
		}
		if change.code != fault.BadField {
			continue
		}
		folder := t.TempDir()
		_, err := Play(context.Background(), Plan{Size: z, Petreltide: "/bin/false", Folder: folder}, io.Discard)
		var typed *fault.Fault
		if !errors.As(err, &typed) || typed.Code != change.code {
			t.Errorf("%s: played, %v", name, err)
		}
		if left, _ := os.ReadDir(folder); len(left) > 0 {
			t.Errorf("%s: something was begun: %v", name, left)
		}
	}
}

func TestAFolderThatCannotBeWrittenIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"", filepath.Join(file, "below"), "/proc/nowhere"} {
		bad := Writable(folder)
		if bad == nil || (bad.Code != fault.DataNotWritable && bad.Code != fault.BadField) {
			t.Errorf("%q: %v", folder, bad)
		}
	}
	_, err := Play(context.Background(), Plan{Size: Small, Petreltide: "/bin/false", Folder: filepath.Join(file, "below")}, io.Discard)
	var typed *fault.Fault
	if !errors.As(err, &typed) || typed.Code != fault.DataNotWritable {
		t.Errorf("played: %v", err)
	}
	_, err = Play(context.Background(), Plan{Size: Small, Petreltide: filepath.Join(file, "none"), Folder: t.TempDir()}, io.Discard)
	if !errors.As(err, &typed) || typed.Code != fault.BadSettings {
		t.Errorf("played without a program: %v", err)
	}
	if _, bad := Select([]string{"replicas", "nothing"}); bad == nil || bad.Code != fault.BadField {
		t.Errorf("an axis that is none: %v", bad)
	}
	if bad := CheckFaults([]string{killOne, "nothing"}); bad == nil || bad.Code != fault.BadField {
		t.Errorf("a fault that is none: %v", bad)
	}
}

func TestThePagesTablesAreThoseOfTheCSV(t *testing.T) {
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	runs, err := LoadCSV(filepath.Join("../../docs", CSVFile))
	if err != nil {
		t.Fatal(err)
	}
	filled, bad := Filled(string(raw), runs, "../../docs/capacity")
	if bad != nil {
		t.Fatal(bad)
	}
	if filled != string(raw) {
		t.Error("docs/CAPACITY.md has other tables than its CSV gives: run `fleet capacity page`")
	}
	for _, link := range []string{CSVFile, "fleet capacity"} {
		if !strings.Contains(string(raw), link) {
			t.Errorf("the page does not name %s", link)
		}
	}
	for _, axis := range axesOf(runs) {
		sizes, low, high := 0, math.Inf(1), 0.0
		for _, r := range runs {
			if r.Axis == axis {
				sizes++
				low, high = min(low, along(r)), max(high, along(r))
			}
		}
		if sizes < 4 || high < 9.5*low {
			t.Errorf("%s: %d sizes from %v to %v; wanted are four that span ten times", axis, sizes, low, high)
		}
	}
	if len(runs) == 0 {
		t.Fatal("no runs")
	}
	recovered := map[string]int{}
	for _, r := range runs {
		for _, name := range FaultNames() {
			if slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Role == name }) {
				recovered[name]++
			}
		}
	}
	for _, name := range FaultNames() {
		if recovered[name] < 4 {
			t.Errorf("%s: caused at %d sizes; wanted are four", name, recovered[name])
		}
	}
	if _, bad := Filled(strings.Replace(string(raw), "<!-- end runs -->", "", 1), runs, "../../docs/capacity"); bad == nil {
		t.Error("a page without the end of a table is taken")
	}
	runs[0].Rows[0].Value *= 3
	runs[0].Size.Replicas *= 2
	if other, _ := Filled(string(raw), runs, "../../docs/capacity"); other == string(raw) {
		t.Error("the check cannot fail")
	}
}

func TestRunsComeBackFromTheCSV(t *testing.T) {
	runs := []*Run{{Axis: "replicas", Size: Small, BeatS: 83.3}, {Axis: "replicas", Size: Small, BeatS: 1}}
	runs[0].add("member", "processor", "cores", 0.123456)
	runs[0].add("desk", "memory", "MB", 12)
	runs[1].add("member", "processor", "cores", 2)
	var text bytes.Buffer
	if err := WriteCSV(&text, runs); err != nil {
		t.Fatal(err)
	}
	back, err := ReadCSV(&text)
	if err != nil || len(back) != 2 || len(back[0].Rows) != 2 || back[0].BeatS != 83.3 || back[0].Size.Replicas != Small.Replicas {
		t.Fatal(back, err)
	}
	if v, _ := back[0].value("member", "processor"); v != 0.123456 {
		t.Error(v)
	}
	for _, bad := range []string{"", "a,b\n1,2\n", strings.Join(columns, ",") + "\n1,x,no,1,1,1,1,1,1,1,1,1,r,q,u,1\n"} {
		if _, err := ReadCSV(strings.NewReader(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func TestAFitFindsTheSlopesItWasGivenAndLeavesOutWhatIsNotThere(t *testing.T) {
	runs := []*Run{}
	for i, n := range []int{10, 30, 100, 300, 1_000} {
		z := Small
		z.Replicas, z.Gateways = n, 5*(i+1)*(1+i%2)
		r := &Run{Axis: "replicas", Size: z, BeatS: float64(n)}
		noise := 1 + 0.01*float64(1-2*(i%2))
		r.add("member", "memory", "MB", (20+0.5*float64(n))*noise)
		runs = append(runs, r)
	}
	f, bad := FitTo(runs, "member", "memory", "MB", []string{"1", "R", "N"}, 1)
	if bad != nil || len(f.Slopes) < 2 {
		t.Fatal(f, bad)
	}
	for _, s := range f.Slopes {
		want := map[string]float64{"1": 20, "R": 0.5}[s.Term]
		if s.Term != "N" && math.Abs(s.Value-want) > 0.1*want {
			t.Errorf("%s: %v, want %v", s.Term, s.Value, want)
		}
		if s.Value <= 0 {
			t.Errorf("%s has the slope %v", s.Term, s.Value)
		}
	}
	if f.RMS > 0.05 || f.Runs != 5 {
		t.Errorf("error %v of %d runs", f.RMS, f.Runs)
	}
	z := Small
	z.Replicas = 10_000
	if v, e := f.At(z, 1); math.Abs(v-5_020) > 600 || e <= 0 {
		t.Errorf("%v ± %v", v, e)
	}
	if _, bad := FitTo(runs, "member", "memory", "MB", []string{"1", "Z"}, 1); bad == nil {
		t.Error("a letter that stands for nothing was taken")
	}
}

func TestFiguresHaveThreeDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.00012345: "1.23e-4", 0.012345: "0.0123", 0.5: "0.5", 3: "3", 31.26: "31.3", 245_646: "246,000", 1_234: "1,230", 999.6: "1000", 66_800_000: "66,800,000", -1_234: "-1,230"} {
		if got := figure(v); got != want {
			t.Errorf("%v is written %s, want %s", v, got, want)
		}
	}
}

// What never came back stands in the tables as such, and is no empty cell.
func TestWhatDidNotComeBackIsNamed(t *testing.T) {
	r := &Run{Axis: "together", Size: Small, BeatS: 1}
	r.add(regionAway, notRecovered, "0 or 1", 1)
	if text := forceTable([]*Run{r}); !strings.Contains(text, "not in 40 s") {
		t.Error(text)
	}
	for _, q := range recoveries {
		r.add(killAll, tooLate+q, "0 or 1", 1)
	}
	if text := recoveryTable([]*Run{r}); strings.Count(text, "not in 40") != len(recoveries) {
		t.Error(text)
	}
}

// A control node that is silent costs the operator a second or a little more, as on the users' platform.
func TestTheOperatorGoesOnAfterASecondOfSilence(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	answers := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer answers.Close()
	o := newOperator(&world{own: &loopback.Network{}}, []string{strings.TrimPrefix(answers.URL, "http://"), silent.Addr().String()})
	ctx, done := context.WithTimeout(context.Background(), 8*time.Second)
	defer done()
	if c, err := o.edit(ctx); err != nil || c.acked.Sub(c.sent) < silentMost {
		t.Fatal(err, c)
	}
}

func TestFleetsThatRunAtOnceTakeOtherAddresses(t *testing.T) {
	worlds := []*world{}
	for range 2 {
		networks := []*loopback.Network{}
		for range 2 {
			n, err := loopback.Claim()
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			networks = append(networks, n)
		}
		worlds = append(worlds, newWorld(Size{Models: 4, Replicas: 300, Gateways: 300}, networks[0], networks[1], nil, []string{"a"}))
	}
	a, b := worlds[0], worlds[1]
	if a.port == b.port {
		t.Errorf("the replicas of both listen at port %d", a.port)
	}
	taken := map[string]bool{}
	for _, w := range worlds {
		ips := []string{w.own.Host(0, 1)}
		for _, r := range w.replicas {
			ips = append(ips, r.ip)
		}
		for _, d := range w.gateways {
			ips = append(ips, d.ip)
		}
		for _, ip := range ips {
			if taken[ip] {
				t.Fatalf("%s is taken twice", ip)
			}
			taken[ip] = true
		}
	}
}
