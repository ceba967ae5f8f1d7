package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"petreltide/internal/process/clock"
	"petreltide/tests/rules"
)

// tenant is a customer of a day with tenants.
type tenant struct {
	name, key string
	// share is its part of all requests, ratePerS and burst its limit; a rate of 0 is none.
	share           float64
	ratePerS, burst float64
}

// tenantShares are the parts of all requests that tenants send; the last has no limit, and probes use its key.
var tenantShares = []float64{0.4, 0.25, 0.2, 0.15}

const (
	// tenantHeadroom is how much more a tenant may send than it usually does.
	tenantHeadroom = 1.6
	// hotTimes is how many times its limit a hot tenant sends, hotSpan for how long.
	hotTimes = 5
	hotSpan  = 3 * time.Second
)

// newTenants are those of a plan; none where it has none.
func newTenants(plan Plan) []tenant {
	if !plan.Tenants {
		return nil
	}
	all := []tenant{}
	for i, share := range tenantShares {
		t := tenant{name: fmt.Sprintf("tenant-%d", i), key: fmt.Sprintf("key-of-tenant-%d", i), share: share}
		if i < len(tenantShares)-1 {
			t.ratePerS = share * plan.PerSecond * tenantHeadroom
			t.burst = t.ratePerS
		}
		all = append(all, t)
	}
	return all
}

// pickTenant draws whose client sends a request; nil on days without tenants.
func (f *Fleet) pickTenant(r *rand.Rand) *tenant {
	if len(f.tenants) == 0 {
		return nil
	}
	x := r.Float64()
	for i := range f.tenants {
		if x -= f.tenants[i].share; x < 0 {
			return &f.tenants[i]
		}
	}
	return f.lastTenant()
}

// lastTenant is the one without a limit; nil on days without tenants.
func (f *Fleet) lastTenant() *tenant {
	if len(f.tenants) == 0 {
		return nil
	}
	return &f.tenants[len(f.tenants)-1]
}

// tenantItems are the tenants as a configuration lists them; nil on days without any.
func (f *Fleet) tenantItems() []map[string]any {
	var items []map[string]any
	for _, t := range f.tenants {
		items = append(items, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "ratePerS": t.ratePerS, "burstSize": t.burst})
	}
	return items
}

// noteTenants notes what a version says of tenants, for the rules.
func (f *Fleet) noteTenants(v *rules.Version) {
	if len(f.tenants) == 0 {
		return
	}
	limits, holders := map[string]rules.TenantLimit{}, map[string]string{}
	for _, t := range f.tenants {
		limits[t.name], holders[t.key] = rules.TenantLimit{RatePerSecond: f.limitPart * t.ratePerS, Burst: f.limitPart * t.burst}, t.name
	}
	f.note(func(d *rules.Day) { d.Limits[v], d.Holders[v] = limits, holders })
}

// noteTenantOf notes whose request a try is.
func (f *Fleet) noteTenantOf(t *rules.Attempt, of *tenant) {
	if of != nil {
		f.note(func(d *rules.Day) { d.Tenants[t.ID], d.Keys[t.ID] = of.name, of.key })
	}
}

// hot lets one tenant with a limit send several times of it for a while, at all gateways.
func (f *Fleet) hot(ctx context.Context) {
	if len(f.tenants) == 0 {
		return
	}
	of := &f.tenants[f.draw(len(f.tenants)-1)]
	gap := time.Duration(float64(time.Second) / (hotTimes * of.ratePerS))
	gateways := f.of("gateway")
	var all sync.WaitGroup
	for n, end := 0, time.Now().Add(hotSpan); time.Now().Before(end) && ctx.Err() == nil; n++ {
		p := gateways[n%len(gateways)]
		t := &rules.Attempt{
			ID: fmt.Sprintf("hot-%d-%d", clock.NowUs(), n), Class: "grade", Method: "POST", Host: "cards.example", Path: "/grade/1f", Body: fmt.Sprintf("h%d/1", n), Probe: true,
			LatencyTargetUs: 300_000, LimitUs: 3_000_000,
		}
		all.Go(func() { f.try(t, p, of, nil, 3*time.Second, 0) })
		time.Sleep(gap)
	}
	all.Wait()
}

// runByTenant counts the requests that ran, by their tenants, in the order of their names.
func (f *Fleet) runByTenant() []string {
	out := []string{}
	for _, u := range rules.QuotaUses(f.day) {
		out = append(out, fmt.Sprintf("%s %d of %.1f", u.Tenant, u.Most, u.Allowed))
	}
	slices.Sort(out)
	return out
}
