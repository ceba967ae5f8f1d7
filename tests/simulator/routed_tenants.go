package simulator

import (
	"fmt"
	"math/rand"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/tests/rules"
)

// tenantShares are the parts of all requests that the tenants of a day send; the last one has no limit.
var tenantShares = []float64{0.34, 0.22, 0.16, 0.12, 0.08, 0.08}

const (
	// tenantHeadroom is how much more a tenant may usually send than it does, tenantBurstS its burst in seconds of its rate.
	tenantHeadroom = 1.6
	tenantBurstS   = 2
	// loweredLimit is what is left of a limit that operators lower.
	loweredLimit = 0.3
	// hotLeast and hotMost are how many times its limit a hot tenant sends.
	hotLeast = 4
	hotMost  = 16
	// One request in unusualKeyDraws carries each of the keys that are not one tenant's: wanderingKey moves between tenants, spareKey
	// comes and goes, and strayKey is nobody's ever.
	unusualKeyDraws = 40
	wanderingKey    = "key-wandering"
	spareKey        = "key-spare"
	strayKey        = "key-stray"
	// One request in keylessDraws of those on the public route carries no key.
	keylessDraws = 4
	// publicRoute takes requests without a key, on days with tenants.
	publicRoute = "record"
)

// unusualRows send requests for which nothing is owed, since their key may be nobody's.
var unusualRows = []*tenantRow{{key: wanderingKey}, {key: spareKey}, {key: strayKey}}

// tenantRow is one customer: what its clients send, and the key that they use.
type tenantRow struct {
	name  string
	key   string
	share float64
	// ratePerSecond and burst are its usual limit; 0 is none.
	ratePerSecond, burst float64
	keys                 int
	hotUntilUs           int64
}

// tenants are the customers of a day. They draw from a source of their own, so that days without them are as they were.
type tenants struct {
	day    *routedDay
	random *rand.Rand
	rows   []*tenantRow
	// keys are all keys that were ever given out, by their digests.
	keys map[string]string
	// decided counts the decisions of gateways on requests of tenants that were not hot, and of those that were ("hot ...").
	decided map[string]int
}

func newTenants(d *routedDay) *tenants {
	if !d.plan.Tenants {
		return nil
	}
	ts := &tenants{day: d, random: rand.New(rand.NewSource(d.plan.Seed * 17)), keys: map[string]string{}, decided: map[string]int{}}
	for i, share := range tenantShares {
		row := &tenantRow{name: fmt.Sprintf("t%d", i), share: share}
		if i < len(tenantShares)-1 {
			row.ratePerSecond = share * d.plan.CallsPerSecond * tenantHeadroom
			row.burst = row.ratePerSecond * tenantBurstS
		}
		row.key = ts.newKey(row)
		ts.rows = append(ts.rows, row)
	}
	for _, key := range []string{wanderingKey, spareKey} {
		ts.keys[configuration.KeyDigest(key)] = key
	}
	d.observed.Keys, d.observed.Holders = map[string]string{}, map[*rules.Version]map[string]string{}
	d.observed.Tenants, d.observed.Limits = map[string]string{}, map[*rules.Version]map[string]rules.TenantLimit{}
	return ts
}

func (ts *tenants) newKey(row *tenantRow) string {
	row.keys++
	key := fmt.Sprintf("key-%s-%d", row.name, row.keys)
	ts.keys[configuration.KeyDigest(key)] = key
	return key
}

// pick is whose client sends the next request; nil on days without tenants. Nothing is owed for one with an unusual key.
func (ts *tenants) pick() (row *tenantRow, unusual bool) {
	if ts == nil {
		return nil, false
	}
	if n := ts.random.Intn(unusualKeyDraws); n < len(unusualRows) {
		return unusualRows[n], true
	}
	x := ts.random.Float64()
	for _, row := range ts.rows {
		if x -= row.share; x < 0 {
			return row, false
		}
	}
	return ts.rows[len(ts.rows)-1], false
}

// keyless lets some requests for the public route come without a key.
func (ts *tenants) keyless(row *tenantRow, class *requestClass) *tenantRow {
	if ts == nil || class.route != publicRoute || ts.random.Intn(keylessDraws) > 0 {
		return row
	}
	return &tenantRow{}
}

// unlimited is the tenant without a limit, by whose key versions are probed.
func (ts *tenants) unlimited() *tenantRow {
	if ts == nil {
		return nil
	}
	return ts.rows[len(ts.rows)-1]
}

// sent notes whose request a try is, and gives it the key that is then in use; it is empty on days without tenants. Whose an unusual
// key is shows only as the request runs, and so does whose any key is on days on which tenants get other names.
func (ts *tenants) sent(t *rules.Attempt, row *tenantRow) (key string) {
	if row == nil {
		return ""
	}
	ts.day.observed.Keys[t.ID] = row.key
	if !ts.day.plan.Renames {
		ts.day.observed.Tenants[t.ID] = row.name
	}
	return row.key
}

// first is what the first version declares.
func (ts *tenants) first() []configuration.Tenant {
	out := []configuration.Tenant{}
	for i, row := range ts.rows {
		digests := []string{configuration.KeyDigest(row.key)}
		if i == 0 {
			digests = append(digests, configuration.KeyDigest(wanderingKey))
		}
		out = append(out, configuration.Tenant{Name: row.name, KeyDigests: digests, RatePerSecond: row.ratePerSecond, Burst: row.burst})
	}
	return out
}

// limits are those of a version, as the rule reads them.
func limits(declared []configuration.Tenant) map[string]rules.TenantLimit {
	out := map[string]rules.TenantLimit{}
	for _, t := range declared {
		out[t.Name] = rules.TenantLimit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	}
	return out
}

// holders are the tenants of a version by their keys.
func (ts *tenants) holders(declared []configuration.Tenant) map[string]string {
	out := map[string]string{}
	for _, t := range declared {
		for _, digest := range t.KeyDigests {
			out[ts.keys[digest]] = t.Name
		}
	}
	return out
}

// moveKeys lets a key go to another tenant, and another come or go. The first key of a tenant is its own and stays.
func (ts *tenants) moveKeys(declared []configuration.Tenant) {
	wandering, spare := configuration.KeyDigest(wanderingKey), configuration.KeyDigest(spareKey)
	if ts.random.Intn(2) == 0 {
		takeKey(declared, wandering)
		ts.giveKey(declared, wandering)
	}
	if ts.random.Intn(2) == 0 && !takeKey(declared, spare) {
		ts.giveKey(declared, spare)
	}
}

// takeKey takes a key from whoever holds it, and says whether anybody did.
func takeKey(declared []configuration.Tenant, digest string) (held bool) {
	for i := range declared {
		if at := slices.Index(declared[i].KeyDigests, digest); at >= 0 {
			declared[i].KeyDigests = slices.Delete(slices.Clone(declared[i].KeyDigests), at, at+1)
			held = true
		}
	}
	return held
}

func (ts *tenants) giveKey(declared []configuration.Tenant, digest string) {
	t := &declared[ts.random.Intn(len(declared))]
	t.KeyDigests = append(slices.Clone(t.KeyDigests), digest)
}

// changedTenants are those of a list that a list before it has otherwise or not at all.
func changedTenants(before, after []configuration.Tenant) []configuration.Tenant {
	return slices.DeleteFunc(slices.Clone(after), func(t configuration.Tenant) bool {
		return slices.ContainsFunc(before, func(b configuration.Tenant) bool {
			return b.Name == t.Name && b.RatePerSecond == t.RatePerSecond && b.Burst == t.Burst && slices.Equal(b.KeyDigests, t.KeyDigests)
		})
	})
}

// removedTenants are the names of a list that a list after it does not have.
func removedTenants(before, after []configuration.Tenant) []string {
	names := []string{}
	for _, b := range before {
		if !slices.ContainsFunc(after, func(t configuration.Tenant) bool { return t.Name == b.Name }) {
			names = append(names, b.Name)
		}
	}
	return names
}

// declareTenants gives a version the tenants of its base, changed where a change is due.
func (ops *routedOperators) declareTenants(v, base *configurationVersion) {
	if ops.day.tenants == nil {
		return
	}
	if base == nil {
		v.tenants = ops.day.tenants.first()
	} else {
		v.tenants = slices.Clone(base.tenants)
		if v.seen.Valid {
			ops.day.tenants.moveKeys(v.tenants)
		}
	}
	if ops.tenantChange != nil {
		ops.tenantChange(v.tenants)
		ops.tenantChange = nil
	}
	if v.edit != nil && base != nil {
		v.edit.Tenants = changedTenants(base.tenants, v.tenants)
		v.edit.RemoveTenants = removedTenants(base.tenants, v.tenants)
	}
	ops.day.observed.Limits[v.seen], ops.day.observed.Holders[v.seen] = limits(v.tenants), ops.day.tenants.holders(v.tenants)
}

// changeTenant sends a version in which one tenant is otherwise. Its clients take up the key that is then in force.
func (ops *routedOperators) changeTenant(row *tenantRow, change func(t *configuration.Tenant)) func(done func()) {
	return func(done func()) {
		ops.tenantChange = func(all []configuration.Tenant) {
			for i := range all {
				if all[i].Name == row.name {
					change(&all[i])
				}
			}
		}
		ops.change(done)
	}
}

// follow lets clients use the keys of a version that is in force.
func (ts *tenants) follow(v *configurationVersion) {
	if ts == nil {
		return
	}
	for _, row := range ts.rows {
		holder := slices.IndexFunc(v.tenants, func(t configuration.Tenant) bool {
			return len(t.KeyDigests) > 0 && t.KeyDigests[0] == configuration.KeyDigest(row.key)
		})
		if holder >= 0 {
			row.name = v.tenants[holder].Name
			continue
		}
		for _, t := range v.tenants {
			if row.name == t.Name && len(t.KeyDigests) > 0 {
				row.key = ts.keys[t.KeyDigests[0]]
			}
		}
	}
}

// tenantFault brings about what befalls tenants: one sends many times its limit, a limit falls or rises, a key is taken away,
// whoever counts is struck. It is false for every other fault.
func (d *routedDay) tenantFault(f Fault) bool {
	ts := d.tenants
	if ts == nil {
		return false
	}
	row := ts.rows[f.A%(len(ts.rows)-1)]
	ops := ts.day.operators
	switch f.Kind {
	case "hot-tenant":
		ts.heat(row, f)
	case "quota-down":
		ops.do(ops.changeTenant(row, func(t *configuration.Tenant) {
			t.RatePerSecond, t.Burst = loweredLimit*row.ratePerSecond, loweredLimit*row.burst
		}))
	case "quota-up":
		ops.do(ops.changeTenant(row, func(t *configuration.Tenant) { t.RatePerSecond, t.Burst = row.ratePerSecond, row.burst }))
	case "revoke-key":
		fresh := ts.newKey(row)
		ops.do(ops.changeTenant(row, func(t *configuration.Tenant) {
			t.KeyDigests = append([]string{configuration.KeyDigest(fresh)}, t.KeyDigests[1:]...)
		}))
	case "kill-tail", "power-tail", "freeze-tail", "kill-everything":
		d.tailFault(f)
	default:
		return false
	}
	return true
}

// heat lets a tenant's clients send many times its limit for a while.
func (ts *tenants) heat(row *tenantRow, f Fault) {
	d := ts.day
	row.hotUntilUs = max(row.hotUntilUs, d.nowUs+f.DurationUs)
	factor := hotLeast + float64(f.N%(hotMost-hotLeast+1))
	var next func()
	next = func() {
		if d.nowUs >= row.hotUntilUs || d.handed {
			return
		}
		d.clients.newRequestOf(row, true)
		d.schedule(d.nowUs+1+int64(ts.random.ExpFloat64()/(row.ratePerSecond*factor)*1e6), next)
	}
	next()
}

// tailFault strikes whoever counts the requests of tenants, or every machine of ours at once.
func (d *routedDay) tailFault(f Fault) {
	for _, o := range d.upControlNodes() {
		if f.Kind != "kill-everything" && !o.hasRole(TailRole) {
			continue
		}
		switch f.Kind {
		case "kill-tail", "kill-everything":
			d.killControlNode(o, 0, f.DurationUs)
		case "power-tail":
			d.killControlNode(o, 1+f.N%3, f.DurationUs)
		case "freeze-tail":
			d.freeze(&o.machine, f.DurationUs)
		}
	}
	if f.Kind == "kill-everything" {
		for _, t := range d.gateways {
			if t.up {
				t.crash(false)
				d.schedule(d.nowUs+f.DurationUs, t.start)
			}
		}
	}
}

// count notes a decision of a gateway on a request of a tenant.
func (ts *tenants) count(tenant, verdict string) {
	for _, row := range ts.rows {
		if row.name != tenant {
			continue
		}
		// For a while after its hot time a tenant still has its bucket to fill.
		if ts.day.nowUs < row.hotUntilUs+ts.day.observed.Bounds.QuotaWindowUs {
			verdict = "hot " + verdict
		}
		ts.decided[verdict]++
	}
}

const (
	// keptRequests are how many requests with the wandering key are sent on kept connections to a gateway that stands still, and
	// beforeThawUs how long before it goes on.
	keptRequests = 4
	beforeThawUs = 300 * millisecond
)

// askBeforeThaw aims requests with the key that moves between tenants at a gateway that is about to go on, on days with tenants.
func (d *routedDay) askBeforeThaw(g *routedGateway) {
	if d.tenants == nil {
		return
	}
	d.schedule(g.thawUs-beforeThawUs, func() {
		for range keptRequests {
			d.clients.newRequestAt(unusualRows[0], true, g)
		}
	})
}
