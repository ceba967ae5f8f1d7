package simulator

import (
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"testing"

	"petreltide/tests/rules"
)

// tenantFaultKinds strike tenants, and who counts their requests.
var tenantFaultKinds = []string{
	"hot-tenant", "quota-down", "quota-up", "revoke-key", "kill-tail", "power-tail", "freeze-tail", "kill-everything",
	"cut-office", "split-core", "one-way", "cut-both", "cut-behind", "cut-turn", "kill-offices", "roll-offices", "replace-office", "freeze-office", "clock-step",
	"cut-desk", "kill-desk", "herd-kill", "freeze-desk", "loss", "kill-zone", "config-storm", "retry-abuse", "power-after-taking",
}

// tenantPlan is a day with tenants, two of which send many times their limits throughout. On every other day the tail is cut
// off, from the core alone or from the gateways too.
func tenantPlan(seed int64, count int) RoutedPlan {
	p := RoutedPlan{Seed: seed, ControlNodes: 3, Gateways: 6, CardReplicas: 6, LogReplicas: 2, CallsPerSecond: 25, QuietUs: 8 * second, DurationUs: 24 * second, Tenants: true,
		Closing: Closings[int(seed/2)%len(Closings)]}
	if seed%3 == 0 {
		p.ControlNodes = 5
	}
	r := rand.New(rand.NewSource(seed * 19))
	for i := range 2 {
		p.Faults = append(p.Faults, Fault{Kind: "hot-tenant", AtUs: int64(i) * second, DurationUs: 22 * second, A: int(seed) + 2*i, N: r.Intn(100)})
	}
	for i := range count {
		at := seed*int64(count) + int64(i)
		deck := rand.New(rand.NewSource(at / int64(len(tenantFaultKinds)))).Perm(len(tenantFaultKinds))
		p.Faults = append(p.Faults, Fault{Kind: tenantFaultKinds[deck[at%int64(len(tenantFaultKinds))]], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12),
			AtUs: p.DurationUs*int64(i)/int64(count) + r.Int63n(p.DurationUs/int64(count)), DurationUs: 500*millisecond + r.Int63n(4*second)})
	}
	if seed%2 == 0 {
		p.Partitions = []Partition{{Role: []Role{TailRole, HeadRole, FollowedRole}[seed/2%3], Direction: []Direction{SilentWay, MuteWay, DeafWay, ResetWay}[seed/6%4],
			Count: 1 + int(seed/4%2), IncludesGateways: seed%4 == 0, AtUs: r.Int63n(10 * second), DurationUs: 4*second + r.Int63n(8*second)}}
	}
	return p
}

// quotaReport says how near tenants came to what is allowed, and what was refused to those that kept to their limits.
func quotaReport(out RoutedOutcome) string {
	worst := rules.QuotaUse{Allowed: 1}
	for _, u := range out.QuotaUses {
		if float64(u.Most)*worst.Allowed > float64(worst.Most)*u.Allowed {
			worst = u
		}
	}
	d := out.QuotaDecisions
	return fmt.Sprintf("at most %d of %.1f (%s); usual: %d admitted, %d over, %d unanswered; hot: %d admitted, %d over, %d unanswered; served %d of %d",
		worst.Most, worst.Allowed, worst.Tenant, d["admitted"], d["over"], d["unanswered"], d["hot admitted"], d["hot over"], d["hot unanswered"], out.Served, out.Offered)
}

func breaksOf(out RoutedOutcome, rule string) []rules.Breach {
	return slices.DeleteFunc(slices.Clone(out.Breaches), func(b rules.Breach) bool { return b.Rule != rule })
}

func TestQuietRoutedDayWithTenants(t *testing.T) {
	p := tenantPlan(1, 0)
	p.Closing, p.Partitions, p.Faults = "", nil, nil
	out := judgeRouted(t, p)
	t.Log(quotaReport(out), out.Statuses)
	if out.Served*100 < out.Offered*98 || out.QuotaDecisions["unanswered"] > 0 || out.QuotaDecisions["over"]*100 > out.QuotaDecisions["admitted"] {
		t.Fatalf("on a quiet day: %s", quotaReport(out))
	}
	ran, refused := map[string]int{}, map[string]int{}
	for _, a := range out.Observed.Arrivals {
		ran[out.Observed.Keys[a.Request]]++
	}
	for _, a := range out.Observed.Attempts {
		if a.Status == http.StatusUnauthorized {
			refused[out.Observed.Keys[a.ID]]++
		}
	}
	if ran[wanderingKey] == 0 || ran[spareKey] == 0 || ran[""] == 0 || refused[spareKey] == 0 || refused[strayKey] == 0 {
		t.Fatalf("not every sort of key was put to the test: ran %v, refused %v", ran, refused)
	}
}

// A key goes from tenant to tenant and another comes and goes; no version before is changed by that, and no tenant loses its own key.
func TestKeysOfTenantsMove(t *testing.T) {
	ts := newTenants(&routedDay{plan: RoutedPlan{Tenants: true, CallsPerSecond: 25}, observed: &rules.Day{}})
	now := ts.first()
	wanderers, spares := map[string]bool{}, map[string]bool{}
	for range 100 {
		before := ts.holders(now)
		next := slices.Clone(now)
		ts.moveKeys(next)
		if !maps.Equal(ts.holders(now), before) {
			t.Fatal("the version before has changed")
		}
		now = next
		holders := ts.holders(now)
		wanderers[holders[wanderingKey]], spares[holders[spareKey]] = true, true
		for _, row := range ts.rows {
			if holders[row.key] != row.name || holders[strayKey] != "" {
				t.Fatal(holders)
			}
		}
	}
	if len(wanderers) != len(ts.rows) || wanderers[""] || len(spares) != len(ts.rows)+1 {
		t.Error(wanderers, spares)
	}
}

// tenantDays are as many as it takes to cause every kind of fault.
const tenantDays = 30

func TestSeededRoutedDaysWithTenants(t *testing.T) {
	from, count := seeds(tenantDays)
	sum := &occasions{}
	t.Run("days", func(t *testing.T) {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				out := judgeRouted(t, tenantPlan(int64(seed), 6))
				t.Log(quotaReport(out))
				sum.add(DeclaredOutcome{Caused: out.Caused, ChecksAtStake: out.ChecksAtStake})
				if out.Served < 100 {
					t.Fatalf("only %d of %d were served: the run proves nothing", out.Served, out.Offered)
				}
			})
		}
	})
	if !t.Failed() && count >= tenantDays {
		sum.judgeOf(t, tenantFaultKinds, rules.OfTenants)
	}
}

// Every rule of days with tenants must be able to fail: something is broken on purpose, and it must say so.
func TestPlantedBreaksOnDaysWithTenantsAreCaught(t *testing.T) {
	heavy(t)
	for plant, rule := range map[string]string{
		"spendthrift": rules.Quota, "all-count": rules.Quota, "full-tail": rules.Quota,
		"namesake": rules.Unasked, "key-passed": rules.Unasked, "unlocked": rules.Route, "sleepwalker": rules.Unasked,
	} {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 8; seed++ {
				p := tenantPlan(seed, 6)
				p.Plant, p.Closing = plant, ""
				if plant == "sleepwalker" {
					p.Faults = gatewayFreezes()
				}
				if len(breaksOf(RunRouted(p), rule)) > 0 {
					return
				}
			}
			t.Fatalf("plant %q was not caught as %q", plant, rule)
		})
	}
}

// gatewayFreezes are freezes of gateways, during each of which the configuration changes several times.
func gatewayFreezes() []Fault {
	faults := []Fault{}
	for n := range 5 {
		fromUs := int64(1+5*n) * second
		faults = append(faults, Fault{Kind: "freeze-desk", AtUs: fromUs, DurationUs: 4 * second, A: n, B: 1, N: 3}, Fault{Kind: "config-storm", AtUs: fromUs + 200*millisecond, DurationUs: second, N: 4})
	}
	return faults
}

// Guards against UNASKED of review case 7: a gateway that stood still while keys moved runs no request for a key's former tenant.
func TestWokenGatewaysRunRequestsForTheirKeysTenants(t *testing.T) {
	heavy(t)
	for seed := int64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			p := tenantPlan(seed, 6)
			p.Faults, p.Closing = gatewayFreezes(), ""
			out := RunRouted(p)
			if broken := breaksOf(out, rules.Unasked); len(broken) > 0 {
				t.Fatal(broken)
			}
			if out.Caused["freeze-desk"] < 5 {
				t.Fatalf("caused %v: it proves little", out.Caused)
			}
		})
	}
}

func TestChangedTenantsAreThoseOfAnEdit(t *testing.T) {
	ts := newTenants(&routedDay{plan: RoutedPlan{Tenants: true, CallsPerSecond: 25}, observed: &rules.Day{}})
	before := ts.first()
	after := slices.Clone(before)
	after[1].RatePerSecond *= 2
	after[2].KeyDigests = []string{"other"}
	names := []string{}
	for _, c := range changedTenants(before, after) {
		names = append(names, c.Name)
	}
	if strings.Join(names, " ") != "t1 t2" {
		t.Error(names)
	}
}
