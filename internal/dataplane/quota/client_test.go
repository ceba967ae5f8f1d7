package quota

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// TestMain sets a fixed seed for property tests, unless the command line sets one, and disables their failure files.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var limit = Limit{RatePerSecond: 2, Burst: 2}

// view returns a view with voters c0, c1 ..., whose addresses equal their names. The last voter is the tail.
func view(number uint64, voters int) membership.View {
	v := membership.View{Number: number}
	for i := range voters {
		m := membership.Member{ID: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("c%d", i)}
		v.Voters = append(v.Voters, m)
		v.Replicas = append(v.Replicas, membership.ChainReplica{Member: m, Incarnation: "1"})
	}
	return v
}

// withTail returns a view in which the given voter is the tail.
func withTail(number uint64, voters, tail int) membership.View {
	v := view(number, voters)
	last := len(v.Replicas) - 1
	v.Replicas[tail], v.Replicas[last] = v.Replicas[last], v.Replicas[tail]
	return v
}

// clientHarness drives a client and records the number of its last query.
type clientHarness struct {
	t         *testing.T
	c         *Client
	nowUs     int64
	lastQuery uint64
}

func newClientHarness(t *testing.T, voters int) *clientHarness {
	t.Helper()
	s := &clientHarness{t: t, c: NewClient("g"), nowUs: clock.Sec}
	s.c.Step(s.nowUs, ViewReceived{View: view(1, voters)})
	return s
}

// step compares the effects of an event: queries as "addr tail|reserve tenant:count ...", decisions as "id verdict retryMs".
func (s *clientHarness) step(ev Event, want ...string) {
	s.t.Helper()
	got := []string{}
	for _, e := range s.c.Step(s.nowUs, ev) {
		switch e := e.(type) {
		case Query:
			s.lastQuery = e.Number
			text := e.Addr + " tail"
			if e.Request.TailUnreachable {
				text = e.Addr + " reserve"
			}
			for _, a := range e.Request.Asks {
				text += fmt.Sprintf(" %s:%d", a.Tenant, a.Count)
			}
			got = append(got, text)
		case Decision:
			got = append(got, fmt.Sprintf("%s %s %d", e.ID, []string{"admitted", "over", "unanswered"}[e.Verdict], e.RetryMs))
		}
	}
	if want == nil {
		want = []string{}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		s.t.Fatalf("effects of %T%+v (-want +got):\n%s", ev, ev, diff)
	}
}

func (s *clientHarness) arrival(id, tenant string) RequestArrived {
	return RequestArrived{ID: id, Tenant: tenant, Limit: limit, MaxWaitUs: clock.Sec}
}

// tailResponse returns the response of a counting tail to the last query.
func (s *clientHarness) tailResponse(grants ...wire.QuotaGrant) ResponseReceived {
	return ResponseReceived{Query: s.lastQuery, Response: &wire.QuotaResponse{View: view(1, 3), Counting: true, Grants: grants}}
}

// reserveResponse returns the response of a control node that is not counting to the last query.
func (s *clientHarness) reserveResponse(grants ...wire.QuotaGrant) ResponseReceived {
	return ResponseReceived{Query: s.lastQuery, Response: &wire.QuotaResponse{View: view(1, 3), Grants: grants}}
}

// reserveVoters returns the voters other than the tail, in the order in which this gateway queries them.
func (s *clientHarness) reserveVoters() []string {
	all := []string{}
	for _, addr := range s.c.voters {
		if addr != s.c.view.Tail().Addr {
			all = append(all, addr)
		}
	}
	return all
}

func TestClientQueriesTailForAllWaitingRequestsInOneBatch(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(s.arrival("2", "a"))
	s.step(s.arrival("3", "b"))
	s.step(s.arrival("4", "a"))
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0", "c2 tail a:2 b:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1, RetryMs: 40}, wire.QuotaGrant{Tenant: "b", Granted: 1}), "2 admitted 0", "3 admitted 0", "4 over 40")
}

func TestClientAdmitsAllRequestsOfUnlimitedTenant(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(s.arrival("2", "a"))
	s.step(s.arrival("3", "a"))
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Unlimited: true}), "1 admitted 0", "c2 tail a:2")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 2, Unlimited: true}), "2 admitted 0", "3 admitted 0")
}

func TestClientRefusesWithoutQueryUntilRetryTime(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", RetryMs: 40}), "1 over 40")
	s.nowUs += 10 * clock.Ms
	s.step(s.arrival("2", "a"), "2 over 30")
	raised := s.arrival("3", "a")
	raised.Limit.RatePerSecond = 100
	s.step(raised, "c2 tail a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "3 admitted 0")
	s.step(s.arrival("4", "b"), "c2 tail b:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "b", Granted: 1}), "4 admitted 0")
	s.nowUs += 30 * clock.Ms
	s.step(s.arrival("5", "a"), "c2 tail a:1")
}

func TestClientCachesRefusalForAtMostOneSecond(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", RetryMs: 5000}), "1 over 5000")
	s.nowUs += maxRefusalCacheUs - 1
	s.step(s.arrival("2", "a"), "2 over 1")
	s.nowUs++
	s.step(s.arrival("3", "a"), "c2 tail a:1")
}

func TestClientQueriesTwoOtherVotersIfTailDoesNotCount(t *testing.T) {
	for name, fails := range map[string]func(s *clientHarness) Event{
		"connection refused":               func(s *clientHarness) Event { return QueryFailed{Query: s.lastQuery} },
		"responds that it is not counting": func(s *clientHarness) Event { return s.reserveResponse() },
		"timeout":                          func(s *clientHarness) Event { s.nowUs += tailTimeoutUs; return Tick{} },
		"not counting, grants for another tenant only": func(s *clientHarness) Event { return s.reserveResponse(wire.QuotaGrant{Tenant: "z", Granted: 9}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientHarness(t, 4)
			s.step(s.arrival("1", "a"), "c3 tail a:1")
			s.step(s.arrival("2", "a"))
			voters := s.reserveVoters()
			s.step(fails(s), voters[0]+" reserve a:2")
			s.step(s.reserveResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0", voters[1]+" reserve a:1")
			s.step(s.reserveResponse(wire.QuotaGrant{Tenant: "a"}), "2 unanswered 250")
			s.step(s.arrival("3", "a"), "3 unanswered 250")
			s.step(s.arrival("4", "b"), voters[0]+" reserve b:1")
			s.step(s.reserveResponse(wire.QuotaGrant{Tenant: "b", Granted: 1}), "4 admitted 0")
			s.nowUs += downUs
			s.step(s.arrival("5", "b"), "c3 tail b:1")
		})
	}
}

func TestClientRefusesImmediatelyIfAllControlNodesAreDown(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	voters := s.reserveVoters()
	s.step(QueryFailed{Query: s.lastQuery}, voters[0]+" reserve a:1")
	s.step(QueryFailed{Query: s.lastQuery}, voters[1]+" reserve a:1")
	s.step(QueryFailed{Query: s.lastQuery}, "1 unanswered 250")
	s.step(s.arrival("2", "b"), "2 unanswered 250")
}

func TestClientRefusesRequestsBeforeFirstView(t *testing.T) {
	s := &clientHarness{t: t, c: NewClient("g"), nowUs: clock.Sec}
	s.step(s.arrival("1", "a"), "1 unanswered 250")
}

func TestClientQueriesTailOfNewerView(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(ResponseReceived{Query: s.lastQuery, Response: &wire.QuotaResponse{View: withTail(2, 3, 0)}}, "c0 tail a:1")
	s.step(ResponseReceived{Query: s.lastQuery, Response: &wire.QuotaResponse{View: withTail(2, 3, 0), Counting: true, Grants: []wire.QuotaGrant{{Tenant: "a", RetryMs: 900}}}}, "1 over 900")
	s.step(ViewReceived{View: view(1, 3)})
	s.step(s.arrival("2", "a"), "2 over 900")
	s.step(ViewReceived{View: view(3, 3)})
	s.step(s.arrival("3", "a"), "c2 tail a:1")
}

// A control node that is not the tail in the view of this gateway may have become the tail. Its refusal is then authoritative.
func TestClientAcceptsRefusalOfCountingVoter(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(QueryFailed{Query: s.lastQuery}, s.reserveVoters()[0]+" reserve a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", RetryMs: 70}), "1 over 70")
}

func TestClientPassesTokenOfCanceledRequestWithinBatchOnly(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("0", "a"), "c2 tail a:1")
	s.step(s.arrival("1", "a"))
	s.step(s.arrival("2", "a"))
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "0 admitted 0", "c2 tail a:2")
	s.step(s.arrival("3", "a"))
	s.step(RequestCanceled{ID: "1"})
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 2}), "2 admitted 0", "c2 tail a:1")
	s.step(RequestCanceled{ID: "3"})
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}))
	s.step(s.arrival("4", "a"), "c2 tail a:1")
}

func TestClientIgnoresResponseAfterTimeout(t *testing.T) {
	s := newClientHarness(t, 3)
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	late := s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1})
	s.nowUs += tailTimeoutUs
	s.step(Tick{}, s.reserveVoters()[0]+" reserve a:1")
	s.step(late)
}

func TestClientDecidesWithinMaxWaitOfRequest(t *testing.T) {
	s := newClientHarness(t, 3)
	short := s.arrival("1", "a")
	short.MaxWaitUs = 30 * clock.Ms
	s.step(short, "c2 tail a:1")
	s.step(s.arrival("2", "a"))
	s.nowUs += 30 * clock.Ms
	s.step(Tick{}, "1 unanswered 250")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "c2 tail a:1")
	s.nowUs += tailTimeoutUs - 1
	s.step(Tick{})
}

func TestClientStatusCountsDecisionsByTenant(t *testing.T) {
	s := newClientHarness(t, 3)
	if got := s.c.Status(); got != nil {
		t.Errorf("status before any request: got %+v, want nil", got)
	}
	s.step(s.arrival("1", "a"), "c2 tail a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", RetryMs: 40}), "1 over 40")
	s.step(s.arrival("2", "a"), "2 over 40")
	s.step(s.arrival("3", "b"), "c2 tail b:1")
	s.step(QueryFailed{Query: s.lastQuery}, s.reserveVoters()[0]+" reserve b:1")
	s.step(s.reserveResponse(wire.QuotaGrant{Tenant: "b", Granted: 1}), "3 admitted 0")
	want := &Status{
		Counters: Counters{Queries: 3, FailedQueries: 1, Admitted: 1, FromReserve: 1, OverLimit: 2, FromMemory: 1},
		Tenants:  []TenantCounters{{Tenant: "a", OverLimit: 2}, {Tenant: "b", Admitted: 1}},
	}
	if diff := cmp.Diff(want, s.c.Status()); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// randomRun drives a client by random events and checks its invariants.
type randomRun struct {
	t                *rapid.T
	c                *Client
	nowUs            int64
	viewNumber       uint64
	lastRequest      int
	undecidedSinceUs map[string]int64
	queryByAddr      map[string]uint64
	// granted holds the tokens of the response that is being handled, by tenant.
	granted         map[string]int
	tenantByRequest map[string]string
}

func (d *randomRun) step(ev Event) {
	for _, e := range d.c.Step(d.nowUs, ev) {
		switch e := e.(type) {
		case Query:
			if d.c.queries[d.queryByAddr[e.Addr]] != nil {
				d.t.Fatalf("control node %s: got a second pending query, want at most one", e.Addr)
			}
			d.queryByAddr[e.Addr] = e.Number
		case Decision:
			fromUs, undecided := d.undecidedSinceUs[e.ID]
			switch {
			case !undecided:
				d.t.Fatalf("request %s: got a decision, want none as it was decided or canceled before", e.ID)
			case e.Verdict == Admitted && d.granted[d.tenantByRequest[e.ID]] == 0:
				d.t.Fatalf("request %s: admitted without a grant", e.ID)
			case e.Verdict == Admitted:
				d.granted[d.tenantByRequest[e.ID]]--
			case e.RetryMs <= 0:
				d.t.Fatalf("refused request %s: got retry time %d ms, want a positive one", e.ID, e.RetryMs)
			}
			if d.nowUs-fromUs > maxDecisionUs+maxStepUs {
				d.t.Fatalf("request %s: waited %d us, want at most %d us", e.ID, d.nowUs-fromUs, maxDecisionUs+maxStepUs)
			}
			delete(d.undecidedSinceUs, e.ID)
		}
	}
}

// maxStepUs is the maximum time between two events.
const maxStepUs = 60 * clock.Ms

func (d *randomRun) drawQuery() uint64 {
	numbers := []uint64{0}
	for n := uint64(1); n <= d.c.lastQuery; n++ {
		if d.c.queries[n] != nil || n+3 > d.c.lastQuery {
			numbers = append(numbers, n)
		}
	}
	return rapid.SampledFrom(numbers).Draw(d.t, "query")
}

func (d *randomRun) applyRandomEvent() {
	d.nowUs += rapid.Int64Range(0, maxStepUs).Draw(d.t, "us")
	d.granted = map[string]int{}
	switch rapid.IntRange(0, 9).Draw(d.t, "event") {
	case 0, 1, 2, 3:
		d.lastRequest++
		id, tenant := fmt.Sprint(d.lastRequest), rapid.SampledFrom([]string{"a", "b"}).Draw(d.t, "tenant")
		d.undecidedSinceUs[id], d.tenantByRequest[id] = d.nowUs, tenant
		d.step(RequestArrived{ID: id, Tenant: tenant, Limit: limit, MaxWaitUs: rapid.Int64Range(0, clock.Sec).Draw(d.t, "wait")})
	case 4, 5, 6:
		query := d.drawQuery()
		res := &wire.QuotaResponse{View: withTail(d.viewNumber, 4, rapid.IntRange(0, 3).Draw(d.t, "tail")), Counting: rapid.Bool().Draw(d.t, "counting")}
		for _, tenant := range []string{"a", "b"} {
			n := rapid.IntRange(0, 3).Draw(d.t, "granted")
			res.Grants = append(res.Grants, wire.QuotaGrant{Tenant: tenant, Granted: n, RetryMs: rapid.Int64Range(0, 6000).Draw(d.t, "retry")})
			if d.c.queries[query] != nil {
				d.granted[tenant] = n
			}
		}
		d.step(ResponseReceived{Query: query, Response: res})
	case 7:
		d.step(QueryFailed{Query: d.drawQuery()})
	case 8:
		id := fmt.Sprint(rapid.IntRange(1, d.lastRequest+1).Draw(d.t, "id"))
		delete(d.undecidedSinceUs, id)
		d.step(RequestCanceled{ID: id})
	case 9:
		d.viewNumber += uint64(rapid.IntRange(0, 1).Draw(d.t, "newer"))
		d.step(ViewReceived{View: withTail(d.viewNumber, 4, rapid.IntRange(0, 3).Draw(d.t, "tail"))})
	}
}

// For any sequence of events, each request gets one decision in time, no request is admitted without a token that was granted to it
// while it waited, and no control node has two pending queries.
func TestClientInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomRun{t: t, c: NewClient("g"), nowUs: clock.Sec, viewNumber: 1, undecidedSinceUs: map[string]int64{}, queryByAddr: map[string]uint64{}, tenantByRequest: map[string]string{}}
		d.step(ViewReceived{View: view(1, 4)})
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			d.applyRandomEvent()
		}
		for range 20 {
			d.nowUs += maxStepUs
			d.granted = nil
			d.step(Tick{})
		}
		if len(d.undecidedSinceUs) > 0 || len(d.c.requests) > 0 || len(d.c.waiting) > 0 || len(d.c.queries) > 0 {
			t.Fatalf("after all timeouts: got undecided requests %v, %d requests, %d waiting and %d queries, want none", d.undecidedSinceUs, len(d.c.requests), len(d.c.waiting), len(d.c.queries))
		}
	})
}

// During an outage, the retry time is about as long as the outage has lasted.
func TestClientRetryTimeGrowsWithOutage(t *testing.T) {
	s := newClientHarness(t, 1)
	s.step(s.arrival("1", "a"), "c0 tail a:1")
	s.step(s.tailResponse(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0")
	for i, c := range []struct{ sinceMs, retryMs int64 }{{100, 250}, {1200, 1200}, {9000, 3000}} {
		id := fmt.Sprint("later-", i)
		s.nowUs = clock.Sec + c.sinceMs*clock.Ms
		s.step(s.arrival(id, "a"), "c0 tail a:1")
		s.step(QueryFailed{Query: s.lastQuery}, fmt.Sprint(id, " unanswered ", c.retryMs))
	}
}
