package rules

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"

	"petreltide/tests/history"
	"petreltide/tests/platform/replica"
)

// The rules of the users' platform, by the names that its pages give them. Starved, Sizes and Acks are its gate.
const (
	Mixed     = "MIXED"
	Unasked   = "UNASKED"
	Twice     = "TWICE"
	Refused   = "REFUSED"
	Denied    = "DENIED"
	Route     = "ROUTE"
	Drain     = "DRAIN"
	LostWork  = "LOST"
	ConfigOld = "CONFIG older"
	ConfigBck = "CONFIG back"
	ConfigTwo = "CONFIG winners"
	ConfigNot = "CONFIG refused"
	ConfigGon = "CONFIG lost"
	Budget    = "BUDGET"
	Order     = "ORDER"
	Recover   = "RECOVER"
	One       = "ONE"
	Limit     = "LIMIT"
	LoadRate  = "CEILING"
	ConfigNew = "CONFIG added"
	Acks      = "ACKS"
	Starved   = "STARVED"
	Sizes     = "SIZES"
	Removal   = "GONE"
	// Known is the simulator's own: who goes on speaking is known to every gateway.
	Known = "KNOWN"
	// Release is the simulator's own: every attempt that a gateway counts as open is one that runs.
	Release = "RELEASE"
	// Seeds is the simulator's own: who starts with seeds that are cut off from the rest finds the rest by them.
	Seeds = "SEEDS"
)

// Routed are all rules that routed days are judged by.
var Routed = []string{
	Mixed, Unasked, Twice, Refused, Denied, Route, Drain, LostWork, ConfigOld, ConfigBck, ConfigTwo, ConfigNot, ConfigGon, ConfigNew,
	Budget, Order, Recover, One, Limit, LoadRate, Acks, Starved, Sizes, ReadOld, RefusedAs, LeaveLost, ConfigHistory, Removal, Known, Release, Seeds,
}

// OfTenants are the rules that only days with tenants put to the test.
var OfTenants = []string{Quota}

// Bounds are the figures of the platform's settings file.
type Bounds struct {
	ContactUs     int64
	AcknowledgeUs int64
	DrainUs       int64
	GraceUs       int64
	LossSlackUs   int64
	ConfigApplyUs int64
	DowngradeUs   int64
	OuterUs       int64
	BudgetUs      int64
	BudgetRatio   float64
	BudgetSlack   float64
	RecoveryUs    int64
	LeaseUs       int64
	ThawUs        int64
	LoadWindowUs  int64
	LoadOvershoot float64
	LoadsPerS     float64
	// A tenant may run (rate x window + burst) x (1 + QuotaOvershoot) + QuotaSlack in each window.
	QuotaWindowUs  int64
	QuotaOvershoot float64
	QuotaSlack     float64
}

// SmallBounds are the figures of the small sites, with the further tries of a smaller fleet.
func SmallBounds(loadsPerS float64) Bounds {
	const second = 1_000_000
	return Bounds{
		ContactUs: 3 * second, AcknowledgeUs: 4 * second, DrainUs: 2 * second, GraceUs: 8 * second, LossSlackUs: second / 5, ConfigApplyUs: 2 * second,
		DowngradeUs: second / 4, OuterUs: 5 * second, BudgetUs: 10 * second, BudgetRatio: 0.2, BudgetSlack: 30, RecoveryUs: 12 * second,
		LeaseUs: 3 * second, ThawUs: 3 * second / 10, LoadWindowUs: 5 * second, LoadOvershoot: 1.1, LoadsPerS: loadsPerS,
		QuotaWindowUs: 5 * second, QuotaOvershoot: 0.1, QuotaSlack: 20,
	}
}

// RouteSeen is a route of one version: where it begins and which services it may send to.
type RouteSeen struct {
	Name       string
	Host       string
	Prefix     string
	Services   []string
	Repeatable bool
	Resumable  bool
	// Public routes take requests without a key.
	Public bool
}

// Version is one change as the operators saw it. Routes are what would be in force with it.
type Version struct {
	Number    uint64
	Base      uint64
	Routes    []RouteSeen
	Valid     bool
	Sent      string
	SentUs    int64
	AckedUs   int64
	RefusedUs int64
	Status    int
	// FirstLostAckUs is when the first acknowledgement of it that was lost was given.
	FirstLostAckUs int64
}

func (v *Version) match(host, path string) *RouteSeen {
	var best *RouteSeen
	for i := range v.Routes {
		r := &v.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// EventSeen is one event of a stream as it reached a client.
type EventSeen struct {
	N    int
	Text string
	AtUs int64
}

// Attempt is one request of a client and what its connection saw.
type Attempt struct {
	ID              string
	Class           string
	Subject         string
	Model           string
	Adapter         string
	Size            int64 // of a generation: its prompt and ten times its answer in tokens; 0 for others
	Nth             int
	Method          string
	Host            string
	Path            string
	Body            string
	Machine         string
	Incarnation     int
	Stream          bool
	Probe           bool
	ReceivedChunks  int
	LatencyTargetUs int64
	LimitUs         int64
	SentUs          int64
	ReadUs          int64
	FirstUs         int64
	EndUs           int64
	Status          int
	ResponseID      string
	Seal            string
	Response        string
	Events          []EventSeen
	Complete        bool
	HungUp          bool // the client went away of its own accord: nothing is owed
	GaveUp          bool // it had waited for as long as it would
	Unordered       string
}

// Served says that the client got the whole of a success.
func (t *Attempt) Served() bool { return t.Complete && t.Status/100 == 2 }

// Deregistration is a replica's leaving as a machine acknowledged it; AnnouncedUs is when it was first said.
type Deregistration struct {
	Replica     string
	Machine     string
	AnnouncedUs int64
	AckedUs     int64
	RemovedUs   int64
	Crashed     bool
}

// FinalRead is the configuration as it was read back at the end of a day.
type FinalRead struct {
	Number   uint64
	Sent     string
	Received bool
}

// Closing is the fault that ends a day; Most says that it took most of the core.
type Closing struct {
	AtUs         int64
	BackUs       int64
	MajorityDown bool
}

// Term is planned work on one machine: SIGTERM, or a change of its settings.
type Term struct {
	Machine string
	AtUs    int64
	Hup     bool
}

// Day is all that clients, replicas and operators saw on one day, and what was done to machines.
type Day struct {
	Bounds          Bounds
	Core            []Member
	Faults          []FaultInterval
	Partitions      []Partition
	Terms           []Term
	Closing         *Closing
	Attempts        []*Attempt
	Arrivals        []*replica.Arrival
	Orders          []replica.OrderSeen
	Loads           []replica.LoadSeen
	Versions        []*Version
	Deregistrations []*Deregistration
	Reads           []ControlRead
	Refusals        []ControlRefusal
	// Calls are all calls of operators about the configuration.
	Calls []history.Call
	Read  *FinalRead
	EndUs int64
	// Known counts replicas that had spoken for a while as the day ended, by gateway; Unknown are those that the
	// gateway did not know.
	Known   int
	Unknown []string
	// Released counts gateways that ran as the day ended; Unreleased are those that counted more attempts as open than ran.
	Released   int
	Unreleased []string
	Starts     []Start
	// Tenants are those whose requests carried a tenant's key, by their IDs, and Limits what each version lets its tenants run.
	Tenants map[string]string
	Limits  map[*Version]map[string]TenantLimit
	// Keys are the keys that requests carried, by their IDs, and Holders the tenants of each version by their keys.
	Keys    map[string]string
	Holders map[*Version]map[string]string
}

type judge struct {
	*Day
	t *touch
	// woken is the same as if machines outside the core never stood still.
	woken    *touch
	tries    map[string]*Attempt
	arrivals map[string][]*replica.Arrival
	sorted   []*Version
	breaches []Breach
	stakes   map[string]int
}

func (j *judge) breach(rule, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

func (j *judge) stake(rule string) { j.stakes[rule]++ }

func sec(us int64) float64 { return float64(us) / 1e6 }

// Judge weighs a day by the rules; Stakes count the occasions on which each could have been broken.
func Judge(d *Day) ([]Breach, map[string]int) {
	j := &judge{Day: d, t: newTouch(d), woken: newTouch(withoutFreezes(d)), tries: map[string]*Attempt{}, arrivals: map[string][]*replica.Arrival{}, stakes: map[string]int{}}
	sort.SliceStable(d.Arrivals, func(a, b int) bool { return d.Arrivals[a].AtUs < d.Arrivals[b].AtUs })
	for _, t := range d.Attempts {
		j.tries[t.ID] = t
	}
	for _, a := range d.Arrivals {
		j.arrivals[a.Request] = append(j.arrivals[a.Request], a)
	}
	j.sorted = slices.Clone(d.Versions)
	slices.SortStableFunc(j.sorted, func(a, b *Version) int { return cmp.Compare(a.Number, b.Number) })
	j.unasked()
	for _, t := range d.Attempts {
		j.answer(t)
		j.stream(t)
		j.ran(t)
	}
	j.config()
	j.answersFitOneRegister()
	j.routes()
	j.drain()
	j.answers()
	j.planned()
	j.budget()
	j.recovered()
	j.one()
	j.loads()
	j.acks()
	j.added()
	j.starved()
	j.sizes()
	j.gone()
	j.known()
	j.release()
	j.starts()
	j.quota()
	return j.breaches, j.stakes
}

func (j *judge) unasked() {
	for _, a := range j.Arrivals {
		if a.RanUs == 0 {
			continue
		}
		j.stake(Unasked)
		t := j.tries[a.Request]
		if t == nil {
			j.breach(Unasked, "%s ran %q, which no client sent", a.Replica, a.Request)
		} else if a.Method != t.Method || a.Path != t.Path || a.Body != t.Body || a.Host != t.Host {
			j.breach(Unasked, "%s ran %s as %s %s%s %q, sent as %s %s%s %q", a.Replica, a.Request, a.Method, a.Host, a.Path, a.Body, t.Method, t.Host, t.Path, t.Body)
		} else {
			j.named(t, a)
		}
	}
}

// named: a request runs without its client's key, and in the name of the tenant that holds it in some version which may be in force and
// which its machine may still work by. The page names no machine that is excused for having stood still.
func (j *judge) named(t *Attempt, a *replica.Arrival) {
	if a.Keyed {
		j.breach(Unasked, "%s ran %s, to which the client's key was passed on", a.Replica, a.Request)
	}
	names := []string{}
	oldest := j.oldestBy(j.woken, t, a.AtUs)
	for _, v := range j.Versions {
		if v.SentUs <= a.AtUs && j.mayStand(v) && (oldest == nil || v.Number >= oldest.Number) {
			names = append(names, j.Holders[v][j.Keys[t.ID]])
		}
	}
	if len(names) > 0 && !slices.Contains(names, a.Tenant) {
		j.breach(Unasked, "%s ran %s in the name of %q, its key is held by %q", a.Replica, a.Request, a.Tenant, slices.Compact(names))
	}
}

// answer: what a client got must be what a replica gave to this request.
func (j *judge) answer(t *Attempt) {
	if t.Status == 0 {
		return
	}
	if t.Unordered != "" {
		j.breach(Mixed, "%s: %s", t.ID, t.Unordered)
	}
	if t.ResponseID != "" && t.ResponseID != t.ID {
		j.breach(Mixed, "%s got the answer to %s", t.ID, t.ResponseID)
		return
	}
	if t.Status/100 != 2 {
		return
	}
	j.stake(Mixed)
	var from *replica.Arrival
	for _, a := range j.arrivals[t.ID] {
		if replica.Seal(a.Replica, a.Nonce) == t.Seal {
			from = a
		}
	}
	switch {
	case from == nil:
		j.breach(Mixed, "%s got %d with seal %q, no replica's for it", t.ID, t.Status, t.Seal)
	case from.Status/100 != 2 && from.Status != 0 && !t.Stream:
		j.breach(Mixed, "%s got %d where %s had answered %d", t.ID, t.Status, from.Replica, from.Status)
	case !t.Stream && t.Complete && t.Response != replica.Text(t.Body, 1, from.Nonce):
		j.breach(Mixed, "%s got %q, not the body of %s", t.ID, t.Response, from.Replica)
	case t.Complete && !slices.ContainsFunc(j.arrivals[t.ID], func(a *replica.Arrival) bool { return a.Whole }):
		j.breach(Mixed, "%s looks complete, and no replica ended it", t.ID)
	}
}

func (j *judge) stream(t *Attempt) {
	if !t.Stream || t.Status/100 != 2 {
		return
	}
	total := replica.Total(t.Body)
	next, nonce := t.ReceivedChunks+1, ""
	for _, e := range t.Events {
		text, from, _ := strings.Cut(e.Text, "~")
		want, _, _ := strings.Cut(replica.Text(t.Body, e.N, ""), "~")
		switch {
		case text != want:
			j.breach(Mixed, "%s: event %d is not of this request", t.ID, e.N)
			return
		case e.N != next:
			j.breach(Order, "%s: event %d came where %d belongs", t.ID, e.N, next)
			return
		case nonce != "" && from != nonce:
			j.stake(Order)
			if !j.resumedAt(t, from, e.N) {
				j.breach(Order, "%s joins runs %s and %s at event %d", t.ID, nonce, from, e.N)
				return
			}
		}
		nonce = from
		next++
	}
	if t.ReceivedChunks > 0 || len(t.Events) > 0 && !t.Complete {
		j.stake(Order)
	}
	if t.Complete && next != total+1 {
		j.breach(Order, "%s ends as complete after event %d of %d", t.ID, next-1, total)
	}
}

// resumedAt: the run went on where the client's stream stood, and the route lets streams be taken up.
func (j *judge) resumedAt(t *Attempt, nonce string, n int) bool {
	for _, a := range j.arrivals[t.ID] {
		if a.Nonce == nonce {
			return a.Last == n-1 && j.may(t, func(r *RouteSeen) bool { return r.Resumable })
		}
	}
	return false
}

// may: some version that was ever sent says so of the request's route.
func (j *judge) may(t *Attempt, says func(*RouteSeen) bool) bool {
	for _, v := range j.Versions {
		if r := v.match(t.Host, t.Path); r != nil && says(r) {
			return true
		}
	}
	return false
}

// ran counts the runs of what may run once, and holds refusals to their promise.
func (j *judge) ran(t *Attempt) {
	if j.may(t, func(r *RouteSeen) bool { return r.Repeatable }) {
		return
	}
	runs := []*replica.Arrival{}
	for _, a := range j.arrivals[t.ID] {
		if a.RanUs > 0 {
			runs = append(runs, a)
		}
	}
	if len(runs) > 0 && t.Status == 0 && !t.HungUp || len(j.arrivals[t.ID]) > 1 {
		j.stake(Twice)
	}
	if len(runs) > 1 {
		j.breach(Twice, "%s ran at %s from %.3f and at %s from %.3f", t.ID, runs[0].Replica, sec(runs[0].RanUs), runs[1].Replica, sec(runs[1].RanUs))
	}
	switch t.Status {
	case 429, 503, 408, 421:
		j.stake(Refused)
		if len(runs) > 0 {
			j.breach(Refused, "%s was refused with %d by %s at %.3f, and ran at %s from %.3f", t.ID, t.Status, t.Machine, sec(t.EndUs), runs[0].Replica, sec(runs[0].RanUs))
		}
	}
}

// budget: in every span, what arrives beyond each request's first is bounded by the requests for a service.
func (j *judge) budget() {
	windowUs := j.Bounds.BudgetUs
	if windowUs == 0 {
		return
	}
	sent, extra := map[string][]int64{}, map[string][]int64{}
	for _, t := range j.Attempts {
		for service := range j.servicesOf(t) {
			sent[service] = append(sent[service], t.SentUs)
		}
	}
	seen := map[string]bool{}
	for _, a := range j.Arrivals {
		if seen[a.Request] {
			extra[a.Service] = append(extra[a.Service], a.AtUs)
		}
		seen[a.Request] = true
	}
	for service, at := range extra {
		slices.Sort(sent[service])
		for i, fromUs := range at {
			n := countIn(at, fromUs, fromUs+windowUs)
			requests := 0
			for _, shiftUs := range []int64{0, windowUs / 2, windowUs} {
				requests = max(requests, countIn(sent[service], fromUs-shiftUs, fromUs+windowUs-shiftUs))
			}
			most := j.Bounds.BudgetRatio*float64(requests) + j.Bounds.BudgetSlack
			if float64(n) > most/2 {
				j.stake(Budget)
			}
			if float64(n) > most {
				j.breach(Budget, "%s got %d further arrivals within %.0f s from %.3f, %d requests allow %.0f (%d in all)", service, n, sec(windowUs), sec(fromUs), requests, most, len(at)-i)
				break
			}
		}
	}
}

func countIn(sorted []int64, fromUs, toUs int64) int {
	from, _ := slices.BinarySearch(sorted, fromUs)
	to, _ := slices.BinarySearch(sorted, toUs)
	return to - from
}

func (j *judge) servicesOf(t *Attempt) map[string]bool {
	all := map[string]bool{}
	for _, v := range j.Versions {
		if v.SentUs > t.SentUs+j.Bounds.ConfigApplyUs {
			continue
		}
		if r := v.match(t.Host, t.Path); r != nil {
			for _, s := range r.Services {
				all[s] = true
			}
		}
	}
	return all
}

// recovered: later than the bound after the machines are back, at least a quarter of requests is served.
func (j *judge) recovered() {
	if j.Closing == nil {
		return
	}
	var before, servedBefore, after, servedAfter int
	for _, t := range j.Attempts {
		switch {
		case t.Probe || t.HungUp:
		case t.EndUs < j.Closing.AtUs:
			before++
			if t.Served() {
				servedBefore++
			}
		case t.SentUs > j.Closing.BackUs+j.Bounds.RecoveryUs:
			after++
			if t.Served() {
				servedAfter++
			}
		}
	}
	if after == 0 || before == 0 || servedBefore*4 < before {
		return
	}
	j.stake(Recover)
	if servedAfter*4 < after {
		j.breach(Recover, "%d of %d requests were served later than %.0f s after the machines were back, %d of %d before", servedAfter, after, sec(j.Bounds.RecoveryUs), servedBefore, before)
	}
}

// sizes: the largest tenth of a kind, and the fifth below it, are served at least half as often as the kind. A
// request is served if one of its tries is.
func (j *judge) sizes() {
	type request struct {
		size   int64
		served bool
		broken bool
	}
	kinds, of := map[string][]*request{}, map[string]*request{}
	for _, t := range j.Attempts {
		if t.Size == 0 || t.Probe || t.HungUp {
			continue
		}
		r := of[t.Class+" "+t.Body]
		if r == nil {
			r = &request{size: t.Size}
			of[t.Class+" "+t.Body] = r
			kinds[t.Class] = append(kinds[t.Class], r)
		}
		r.served = r.served || t.Served()
		r.broken = r.broken || j.unplanned(t, j.arrivals[t.ID])
	}
	served := func(all []*request) (n int) {
		for _, r := range all {
			if r.served {
				n++
			}
		}
		return n
	}
	for class, all := range kinds {
		all = slices.DeleteFunc(all, func(r *request) bool { return r.broken && !r.served })
		if len(all) < 60 {
			continue
		}
		j.stake(Sizes)
		slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(b.size, a.size) })
		tenth := len(all) / 10
		for part, some := range map[string][]*request{"largest tenth": all[:tenth], "fifth below the largest tenth": all[tenth : 3*tenth]} {
			if 2*served(some)*len(all) < served(all)*len(some) {
				j.breach(Sizes, "%d of %d of the %s of %s were served, %d of %d of all", served(some), len(some), part, class, served(all), len(all))
			}
		}
	}
}
