package rules

import (
	"cmp"
	"slices"
)

// Quota says that a tenant runs no more than its limit allows, over all gateways, in touch or not.
const Quota = "QUOTA"

// TenantLimit is what one version lets a tenant run; a rate of 0 is no limit.
type TenantLimit struct {
	RatePerSecond float64
	Burst         float64
}

// quotaStepUs is how finely the moment is looked for at which all gateways have a version.
const quotaStepUs = 100_000

// bindingVersion is a version that may be in force, and since when nobody works by an older one.
type bindingVersion struct {
	*Version
	byAllUs int64
}

// use is one request of a tenant that ran: when it was sent, and when it first arrived at a replica that ran it.
type use struct{ sentUs, arrivedUs int64 }

// QuotaUse is how much of its limit a tenant used at most, on days with tenants.
type QuotaUse struct {
	Tenant string
	// Ran are its requests that ran, Most those of the window that used the largest part of what was allowed there.
	Ran, Most int
	// Allowed is what the rule allows in that window, and Limit the tenant's limit alone: rate x window + burst.
	Allowed, Limit float64
	FromUs         int64
}

// quota: in no window are more requests of a tenant both sent and run than the limits that may bind there allow.
func (j *judge) quota() {
	for _, u := range j.quotaUses() {
		j.stake(Quota)
		if float64(u.Most) > u.Allowed {
			j.breach(Quota, "%d requests of %s were sent and run within %.0f s from %.3f, %.1f are allowed and its limit is %.1f", u.Most, u.Tenant, sec(j.Bounds.QuotaWindowUs), sec(u.FromUs), u.Allowed, u.Limit)
		}
	}
}

// QuotaUses are those of all tenants that are limited throughout some window in which they ran anything.
func QuotaUses(d *Day) []QuotaUse {
	j := &judge{Day: d, t: newTouch(d), tries: map[string]*Attempt{}}
	for _, t := range d.Attempts {
		j.tries[t.ID] = t
	}
	return j.quotaUses()
}

func (j *judge) quotaUses() []QuotaUse {
	if len(j.Limits) == 0 || j.Bounds.QuotaWindowUs == 0 {
		return nil
	}
	binding := []bindingVersion{}
	for _, v := range j.Versions {
		if j.mayStand(v) {
			binding = append(binding, bindingVersion{v, j.boundByAllUs(v)})
		}
	}
	byTenant := j.usesByTenant()
	names := []string{}
	for name := range byTenant {
		names = append(names, name)
	}
	slices.Sort(names)
	out := []QuotaUse{}
	for _, name := range names {
		if u, limited := j.largestUse(name, byTenant[name], binding); limited {
			out = append(out, u)
		}
	}
	return out
}

// usesByTenant are the requests that ran, by the tenant that sent them or, where a key moves, in whose name they ran, in the order
// of their sending.
func (j *judge) usesByTenant() map[string][]use {
	arrivedUs, named := map[string]int64{}, map[string]string{}
	for _, a := range j.Arrivals {
		if us, ran := arrivedUs[a.Request]; a.RanUs > 0 && (!ran || a.AtUs < us) {
			arrivedUs[a.Request], named[a.Request] = a.AtUs, a.Tenant
		}
	}
	out := map[string][]use{}
	for id, us := range arrivedUs {
		if name := cmp.Or(j.Tenants[id], named[id]); name != "" && j.tries[id] != nil {
			out[name] = append(out[name], use{j.tries[id].SentUs, us})
		}
	}
	for _, uses := range out {
		slices.SortFunc(uses, func(a, b use) int {
			return cmp.Or(cmp.Compare(a.sentUs, b.sentUs), cmp.Compare(a.arrivedUs, b.arrivedUs))
		})
	}
	return out
}

// largestUse looks at the windows that begin as a request is sent: no other holds more.
func (j *judge) largestUse(tenant string, uses []use, binding []bindingVersion) (QuotaUse, bool) {
	windowUs := j.Bounds.QuotaWindowUs
	worst, limited := QuotaUse{Tenant: tenant, Ran: len(uses)}, false
	for i, first := range uses {
		most, limit, bound := j.allowed(tenant, first.sentUs, first.sentUs+windowUs, binding)
		if !bound {
			continue
		}
		n := 0
		for _, u := range uses[i:] {
			if u.sentUs > first.sentUs+windowUs {
				break
			}
			if u.arrivedUs <= first.sentUs+windowUs {
				n++
			}
		}
		if !limited || float64(n)*worst.Allowed > float64(worst.Most)*most {
			worst.Most, worst.Allowed, worst.Limit, worst.FromUs = n, most, limit, first.sentUs
		}
		limited = true
	}
	return worst, limited
}

// allowed is the most that any version which may bind in a window allows; false where one of them sets no limit.
func (j *judge) allowed(tenant string, fromUs, toUs int64, binding []bindingVersion) (most, limit float64, limited bool) {
	for _, v := range binding {
		later := func(o bindingVersion) bool { return o.Number > v.Number && o.byAllUs <= fromUs }
		if v.SentUs > toUs || slices.ContainsFunc(binding, later) {
			continue
		}
		l, has := j.Limits[v.Version][tenant]
		if has && l.RatePerSecond == 0 {
			return 0, 0, false
		}
		if of := l.RatePerSecond*sec(j.Bounds.QuotaWindowUs) + l.Burst; has && of >= limit {
			limit, limited = of, true
			most = of*(1+j.Bounds.QuotaOvershoot) + j.Bounds.QuotaSlack
		}
	}
	return most, limit, limited
}

// boundByAllUs is the first moment at which all gateways have been in touch for ConfigApplyUs past a version's acknowledgement; Open
// where there is none.
func (j *judge) boundByAllUs(v *Version) int64 {
	if v.AckedUs == 0 {
		return Open
	}
	gateways := map[string]bool{}
	for _, t := range j.Attempts {
		gateways[t.Machine] = true
	}
	for us := v.AckedUs + j.Bounds.ConfigApplyUs; us <= j.EndUs; us += quotaStepUs {
		inTouch := true
		for g := range gateways {
			inTouch = inTouch && j.t.within(g, us-j.Bounds.ConfigApplyUs, us)
		}
		if inTouch {
			return us
		}
	}
	return Open
}

// beyondLimits are the requests, by their IDs, that the lowest of their tenant's limits on the day does not let it send.
func (j *judge) beyondLimits() map[string]bool {
	beyond, buckets := map[string]bool{}, map[string]*bucket{}
	for _, t := range j.Attempts {
		name := j.Tenants[t.ID]
		if name == "" || t.HungUp {
			continue
		}
		if buckets[name] == nil {
			buckets[name] = j.leastBucket(name)
		}
		if !buckets[name].take(t.SentUs) {
			beyond[t.ID] = true
		}
	}
	return beyond
}

// starvedTenants: no tenant may be served less than a quarter as often as all, of what it is owed.
func (j *judge) starvedTenants(c *servedCounts, beyond map[string]bool) {
	for _, row := range j.owedToTenants(beyond) {
		if row.owed < minClass {
			continue
		}
		j.stake(Starved)
		if share := float64(row.served) / float64(row.owed); share < c.all.share()*minClassRatio {
			j.breach(Starved, "%d requests of %s were served, %d are owed; %d of %d of all", row.served, row.name, row.owed, c.all.served, c.all.asked)
		}
	}
}

// owedRow is what a tenant is owed and what it got of that.
type owedRow struct {
	name         string
	owed, served int
}

// owedToTenants counts, for each tenant, the requests that are not beyond its limits.
func (j *judge) owedToTenants(beyond map[string]bool) []owedRow {
	rows, of := []owedRow{}, map[string]int{}
	for _, t := range j.Attempts {
		name := j.Tenants[t.ID]
		if name == "" || t.HungUp {
			continue
		}
		if _, known := of[name]; !known {
			of[name] = len(rows)
			rows = append(rows, owedRow{name: name})
		}
		row := &rows[of[name]]
		if !beyond[t.ID] {
			row.owed++
		}
		if t.Served() {
			row.served++
		}
	}
	for i := range rows {
		rows[i].served = min(rows[i].served, rows[i].owed)
	}
	return rows
}

// bucket is a token bucket that is full at first; one without a rate is never empty.
type bucket struct {
	limit  TenantLimit
	tokens float64
	atUs   int64
}

// leastBucket is that of the lowest limit which any valid version sets.
func (j *judge) leastBucket(tenant string) *bucket {
	b := &bucket{}
	for _, v := range j.Versions {
		if l, has := j.Limits[v][tenant]; has && v.Valid && l.RatePerSecond > 0 && (b.limit.RatePerSecond == 0 || l.RatePerSecond < b.limit.RatePerSecond) {
			b.limit, b.tokens = l, l.Burst
		}
	}
	return b
}

func (b *bucket) take(us int64) bool {
	if b.limit.RatePerSecond == 0 {
		return true
	}
	b.tokens = min(max(1, b.limit.Burst), b.tokens+b.limit.RatePerSecond*sec(us-b.atUs))
	b.atUs = us
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
