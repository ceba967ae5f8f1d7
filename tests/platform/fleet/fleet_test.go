package fleet

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"petreltide/tests/rules"
)

// program builds the product once for a test.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "petreltide")
	if out, err := exec.Command("go", "build", "-o", path, "petreltide/cmd/petreltide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

func playRouted(t *testing.T, plan Plan, breaks func(*Fleet)) []rules.Breach {
	t.Helper()
	plan.Petreltide, plan.Folder = program(t), t.TempDir()
	plan.ControlNodes, plan.Gateways, plan.Cards, plan.Logs, plan.PerSecond = 3, 3, 4, 2, 30
	f, err := New(plan)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	if breaks != nil {
		breaks(f)
	}
	var out bytes.Buffer
	breaches, _, err := f.Play(t.Context(), &out)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	return breaches
}

func TestPlatformDayOnRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	for _, b := range playRouted(t, Plan{Seed: 3, Span: 9 * time.Second, Faults: []string{"kill-holder", "term-desk", "notice-replica"}}, nil) {
		t.Error(b)
	}
}

// Operators send up to eight orders under one number at once, and send orders again, while the leader is
// killed and a control node freezes. All that they are answered and read back fits one register.
func TestOperatorsOfRealProcessesSeeOneRegister(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	plan := Plan{Seed: 6, Span: 12 * time.Second, Faults: []string{"config-rivals", "kill-holder", "config-again", "config-rivals", "freeze-office", "config-race", "config-again"}}
	for _, b := range playRouted(t, plan, nil) {
		t.Error(b)
	}
}

// What the sockets saw must be able to condemn: replicas smaller than declared fall, and the rule says so.
func TestPlantedBreakOnRealProcessesIsCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	breaches := playRouted(t, Plan{Seed: 4, Span: 8 * time.Second}, func(f *Fleet) { f.narrow = true })
	for _, b := range breaches {
		if b.Rule == rules.Limit {
			return
		}
	}
	t.Fatalf("replicas that hold half of what is declared were not noticed: %v", breaches)
}

// QUOTA: no tenant runs more than its limit over all gateways, also while one sends many times of it and control nodes are
// killed, frozen and killed all together.
func TestTenantsOfRealProcessesKeepTheirLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	faults := []string{"hot-tenant", "kill-office", "hot-tenant", "freeze-office", "hot-tenant", "kill-offices", "hot-tenant"}
	for _, b := range playRouted(t, Plan{Seed: 7, Span: 20 * time.Second, Faults: faults, Tenants: true}, nil) {
		t.Error(b)
	}
}

// What the sockets saw must be able to condemn: a hot tenant that runs its limit passes a tenth of it.
func TestALimitThatIsPassedOnRealProcessesIsCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	breaches := playRouted(t, Plan{Seed: 8, Span: 8 * time.Second, Faults: []string{"hot-tenant"}, Tenants: true}, func(f *Fleet) { f.limitPart = 0.1 })
	for _, b := range breaches {
		if b.Rule == rules.Quota {
			return
		}
	}
	t.Fatalf("a tenant that passed a tenth of its limit was not noticed: %v", breaches)
}

// Replicas that deregister first, and answers on real sockets that come early or without a length.
func TestUnusualRepliesAndFarewellsOnRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	for _, b := range playRouted(t, Plan{Seed: 5, Span: 9 * time.Second, Faults: []string{"leave-first-replica", "garbling-replica", "leave-first-replica"}}, nil) {
		t.Error(b)
	}
}

// Guards against malformed responses that take a gateway's slots at a sound replica for good (review/6): a day ends with an error if
// a gateway still counts an attempt as open after its clients have ended.
func TestMalformedResponsesOfRealProcessesLeaveNoOpenAttempts(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	for _, b := range playRouted(t, Plan{Seed: 6, Span: 12 * time.Second, Faults: []string{"malformed-replica", "malformed-replica"}}, nil) {
		t.Error(b)
	}
}
