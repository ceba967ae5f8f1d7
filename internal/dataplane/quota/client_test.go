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

// TestMain gives drawn tests a seed of their own, unless the command line has one, and lets them leave no files.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var limit = Limit{RatePerSecond: 2, Burst: 2}

// view is one of so many voters, the last of whom is the tail: c0, c1 ... at the addresses of their names.
func view(number uint64, voters int) membership.View {
	v := membership.View{Number: number}
	for i := range voters {
		m := membership.Member{ID: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("c%d", i)}
		v.Voters = append(v.Voters, m)
		v.Replicas = append(v.Replicas, membership.ChainReplica{Member: m, Incarnation: "1"})
	}
	return v
}

// withTail is a view whose tail is another voter.
func withTail(number uint64, voters, tail int) membership.View {
	v := view(number, voters)
	last := len(v.Replicas) - 1
	v.Replicas[tail], v.Replicas[last] = v.Replicas[last], v.Replicas[tail]
	return v
}

// script drives a client and notes what it wants done.
type script struct {
	t     *testing.T
	c     *Client
	nowUs int64
	last  uint64
}

func newScript(t *testing.T, voters int) *script {
	t.Helper()
	s := &script{t: t, c: NewClient("g"), nowUs: clock.Sec}
	s.c.Step(s.nowUs, ViewReceived{View: view(1, voters)})
	return s
}

// step compares what comes of an event: asks as "addr tail|reserve tenant:count ...", decisions as "id verdict retryMs".
func (s *script) step(ev Event, want ...string) {
	s.t.Helper()
	got := []string{}
	for _, e := range s.c.Step(s.nowUs, ev) {
		switch e := e.(type) {
		case Query:
			s.last = e.Number
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
		s.t.Fatalf("%T%+v: %s", ev, ev, diff)
	}
}

func (s *script) requested(id, tenant string) RequestArrived {
	return RequestArrived{ID: id, Tenant: tenant, Limit: limit, MaxWaitUs: clock.Sec}
}

// answer is that of a tail that counts, to the last ask.
func (s *script) answer(grants ...wire.QuotaGrant) ResponseReceived {
	return ResponseReceived{Query: s.last, Response: &wire.QuotaResponse{View: view(1, 3), Counting: true, Grants: grants}}
}

// reserve is the answer of another voter to the last ask.
func (s *script) reserve(grants ...wire.QuotaGrant) ResponseReceived {
	return ResponseReceived{Query: s.last, Response: &wire.QuotaResponse{View: view(1, 3), Grants: grants}}
}

// order are the voters beside the tail, as this gateway asks them.
func (s *script) order() []string {
	all := []string{}
	for _, addr := range s.c.voters {
		if addr != s.c.view.Tail().Addr {
			all = append(all, addr)
		}
	}
	return all
}

func TestClientAsksTheTailForAllThatWaitsInOneBatch(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(s.requested("2", "a"))
	s.step(s.requested("3", "b"))
	s.step(s.requested("4", "a"))
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0", "c2 tail a:2 b:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1, RetryMs: 40}, wire.QuotaGrant{Tenant: "b", Granted: 1}), "2 admitted 0", "3 admitted 0", "4 over 40")
}

func TestClientAdmitsAllOfATenantWhoseLimitIsGone(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(s.requested("2", "a"))
	s.step(s.requested("3", "a"))
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Unlimited: true}), "1 admitted 0", "c2 tail a:2")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 2, Unlimited: true}), "2 admitted 0", "3 admitted 0")
}

func TestClientRefusesWithoutAskingUntilATokenIsThere(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", RetryMs: 40}), "1 over 40")
	s.nowUs += 10 * clock.Ms
	s.step(s.requested("2", "a"), "2 over 30")
	raised := s.requested("3", "a")
	raised.Limit.RatePerSecond = 100
	s.step(raised, "c2 tail a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}), "3 admitted 0")
	s.step(s.requested("4", "b"), "c2 tail b:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "b", Granted: 1}), "4 admitted 0")
	s.nowUs += 30 * clock.Ms
	s.step(s.requested("5", "a"), "c2 tail a:1")
}

func TestClientRemembersARefusalForASecondAtMost(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", RetryMs: 5000}), "1 over 5000")
	s.nowUs += maxMemoryUs - 1
	s.step(s.requested("2", "a"), "2 over 1")
	s.nowUs++
	s.step(s.requested("3", "a"), "c2 tail a:1")
}

func TestClientAsksTwoOtherVotersWhereTheTailGivesNoAnswer(t *testing.T) {
	for name, fails := range map[string]func(s *script) Event{
		"refused":                     func(s *script) Event { return QueryFailed{Query: s.last} },
		"no tail by its word":         func(s *script) Event { return s.reserve() },
		"no answer in time":           func(s *script) Event { s.nowUs += tailTimeoutUs; return Tick{} },
		"a grant that counts nothing": func(s *script) Event { return s.reserve(wire.QuotaGrant{Tenant: "z", Granted: 9}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, 4)
			s.step(s.requested("1", "a"), "c3 tail a:1")
			s.step(s.requested("2", "a"))
			order := s.order()
			s.step(fails(s), order[0]+" reserve a:2")
			s.step(s.reserve(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0", order[1]+" reserve a:1")
			s.step(s.reserve(wire.QuotaGrant{Tenant: "a"}), "2 unanswered 250")
			s.step(s.requested("3", "a"), "3 unanswered 250")
			s.step(s.requested("4", "b"), order[0]+" reserve b:1")
			s.step(s.reserve(wire.QuotaGrant{Tenant: "b", Granted: 1}), "4 admitted 0")
			s.nowUs += downUs
			s.step(s.requested("5", "b"), "c3 tail b:1")
		})
	}
}

func TestClientRefusesAtOnceWhereNobodyAnswers(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	order := s.order()
	s.step(QueryFailed{Query: s.last}, order[0]+" reserve a:1")
	s.step(QueryFailed{Query: s.last}, order[1]+" reserve a:1")
	s.step(QueryFailed{Query: s.last}, "1 unanswered 250")
	s.step(s.requested("2", "b"), "2 unanswered 250")
}

func TestClientKnowsNobodyToAskBeforeItsFirstView(t *testing.T) {
	s := &script{t: t, c: NewClient("g"), nowUs: clock.Sec}
	s.step(s.requested("1", "a"), "1 unanswered 250")
}

func TestClientFollowsANewerViewToItsTail(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(ResponseReceived{Query: s.last, Response: &wire.QuotaResponse{View: withTail(2, 3, 0)}}, "c0 tail a:1")
	s.step(ResponseReceived{Query: s.last, Response: &wire.QuotaResponse{View: withTail(2, 3, 0), Counting: true, Grants: []wire.QuotaGrant{{Tenant: "a", RetryMs: 900}}}}, "1 over 900")
	s.step(ViewReceived{View: view(1, 3)})
	s.step(s.requested("2", "a"), "2 over 900")
	s.step(ViewReceived{View: view(3, 3)})
	s.step(s.requested("3", "a"), "c2 tail a:1")
}

// A control node that is not the tail by the view that this gateway knows may have become it: what it says then counts for all.
func TestClientTakesTheWordOfAVoterThatCounts(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(QueryFailed{Query: s.last}, s.order()[0]+" reserve a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", RetryMs: 70}), "1 over 70")
}

func TestClientGivesTheTokenOfOneWhoLeftToTheNextOfItsBatchOnly(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("0", "a"), "c2 tail a:1")
	s.step(s.requested("1", "a"))
	s.step(s.requested("2", "a"))
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}), "0 admitted 0", "c2 tail a:2")
	s.step(s.requested("3", "a"))
	s.step(RequestCanceled{ID: "1"})
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 2}), "2 admitted 0", "c2 tail a:1")
	s.step(RequestCanceled{ID: "3"})
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}))
	s.step(s.requested("4", "a"), "c2 tail a:1")
}

func TestClientDropsGrantsThatComeTooLate(t *testing.T) {
	s := newScript(t, 3)
	s.step(s.requested("1", "a"), "c2 tail a:1")
	late := s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1})
	s.nowUs += tailTimeoutUs
	s.step(Tick{}, s.order()[0]+" reserve a:1")
	s.step(late)
}

func TestClientDecidesWithinTheTimeOfTheRequest(t *testing.T) {
	s := newScript(t, 3)
	hasty := s.requested("1", "a")
	hasty.MaxWaitUs = 30 * clock.Ms
	s.step(hasty, "c2 tail a:1")
	s.step(s.requested("2", "a"))
	s.nowUs += 30 * clock.Ms
	s.step(Tick{}, "1 unanswered 250")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}), "c2 tail a:1")
	s.nowUs += tailTimeoutUs - 1
	s.step(Tick{})
}

func TestClientStatusCountsByTenant(t *testing.T) {
	s := newScript(t, 3)
	if got := s.c.Status(); got != nil {
		t.Errorf("before any request: %+v", got)
	}
	s.step(s.requested("1", "a"), "c2 tail a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", RetryMs: 40}), "1 over 40")
	s.step(s.requested("2", "a"), "2 over 40")
	s.step(s.requested("3", "b"), "c2 tail b:1")
	s.step(QueryFailed{Query: s.last}, s.order()[0]+" reserve b:1")
	s.step(s.reserve(wire.QuotaGrant{Tenant: "b", Granted: 1}), "3 admitted 0")
	want := &Status{
		Counters: Counters{Queries: 3, FailedQueries: 1, Admitted: 1, FromReserve: 1, OverLimit: 2, FromMemory: 1},
		Tenants:  []TenantCounters{{Tenant: "a", OverLimit: 2}, {Tenant: "b", Admitted: 1}},
	}
	if diff := cmp.Diff(want, s.c.Status()); diff != "" {
		t.Error(diff)
	}
}

// driven is a client under drawn events, and what must hold of it.
type driven struct {
	t         *rapid.T
	c         *Client
	nowUs     int64
	number    uint64
	requests  int
	open      map[string]int64
	addresses map[string]uint64
	// granted are the tokens of the answer that is being taken, by tenant.
	granted map[string]int
	tenants map[string]string
}

func (d *driven) step(ev Event) {
	for _, e := range d.c.Step(d.nowUs, ev) {
		switch e := e.(type) {
		case Query:
			if d.c.asks[d.addresses[e.Addr]] != nil {
				d.t.Fatalf("two asks under way at %s", e.Addr)
			}
			d.addresses[e.Addr] = e.Number
		case Decision:
			fromUs, undecided := d.open[e.ID]
			switch {
			case !undecided:
				d.t.Fatalf("%s was decided and has no decision to come", e.ID)
			case e.Verdict == Admitted && d.granted[d.tenants[e.ID]] == 0:
				d.t.Fatalf("%s was admitted without a grant", e.ID)
			case e.Verdict == Admitted:
				d.granted[d.tenants[e.ID]]--
			case e.RetryMs <= 0:
				d.t.Fatalf("%s was refused without a time to come back", e.ID)
			}
			if d.nowUs-fromUs > maxDecisionUs+maxStepUs {
				d.t.Fatalf("%s waited %d us", e.ID, d.nowUs-fromUs)
			}
			delete(d.open, e.ID)
		}
	}
}

// maxStepUs is the longest time between two events.
const maxStepUs = 60 * clock.Ms

func (d *driven) drawAsk() uint64 {
	numbers := []uint64{0}
	for n := uint64(1); n <= d.c.lastAsk; n++ {
		if d.c.asks[n] != nil || n+3 > d.c.lastAsk {
			numbers = append(numbers, n)
		}
	}
	return rapid.SampledFrom(numbers).Draw(d.t, "ask")
}

func (d *driven) draw() {
	d.nowUs += rapid.Int64Range(0, maxStepUs).Draw(d.t, "us")
	d.granted = map[string]int{}
	switch rapid.IntRange(0, 9).Draw(d.t, "event") {
	case 0, 1, 2, 3:
		d.requests++
		id, tenant := fmt.Sprint(d.requests), rapid.SampledFrom([]string{"a", "b"}).Draw(d.t, "tenant")
		d.open[id], d.tenants[id] = d.nowUs, tenant
		d.step(RequestArrived{ID: id, Tenant: tenant, Limit: limit, MaxWaitUs: rapid.Int64Range(0, clock.Sec).Draw(d.t, "wait")})
	case 4, 5, 6:
		ask := d.drawAsk()
		res := &wire.QuotaResponse{View: withTail(d.number, 4, rapid.IntRange(0, 3).Draw(d.t, "tail")), Counting: rapid.Bool().Draw(d.t, "counting")}
		for _, tenant := range []string{"a", "b"} {
			n := rapid.IntRange(0, 3).Draw(d.t, "granted")
			res.Grants = append(res.Grants, wire.QuotaGrant{Tenant: tenant, Granted: n, RetryMs: rapid.Int64Range(0, 6000).Draw(d.t, "retry")})
			if d.c.asks[ask] != nil {
				d.granted[tenant] = n
			}
		}
		d.step(ResponseReceived{Query: ask, Response: res})
	case 7:
		d.step(QueryFailed{Query: d.drawAsk()})
	case 8:
		id := fmt.Sprint(rapid.IntRange(1, d.requests+1).Draw(d.t, "id"))
		delete(d.open, id)
		d.step(RequestCanceled{ID: id})
	case 9:
		d.number += uint64(rapid.IntRange(0, 1).Draw(d.t, "newer"))
		d.step(ViewReceived{View: withTail(d.number, 4, rapid.IntRange(0, 3).Draw(d.t, "tail"))})
	}
}

// Whatever happens: each request has one decision in time, none is admitted without a grant that was given for it while it
// waited, and no control node has two asks at once.
func TestClientKeepsItsPromisesUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &driven{t: t, c: NewClient("g"), nowUs: clock.Sec, number: 1, open: map[string]int64{}, addresses: map[string]uint64{}, tenants: map[string]string{}}
		d.step(ViewReceived{View: view(1, 4)})
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			d.draw()
		}
		for range 20 {
			d.nowUs += maxStepUs
			d.granted = nil
			d.step(Tick{})
		}
		if len(d.open) > 0 || len(d.c.requests) > 0 || len(d.c.waiting) > 0 || len(d.c.asks) > 0 {
			t.Fatalf("undecided: %v, kept: %d requests, %d waiting, %d asks", d.open, len(d.c.requests), len(d.c.waiting), len(d.c.asks))
		}
	})
}

// While nobody answers, clients are told to come back after about as long as it has lasted.
func TestClientNamesALongerTimeTheLongerNobodyAnswers(t *testing.T) {
	s := newScript(t, 1)
	s.step(s.requested("1", "a"), "c0 tail a:1")
	s.step(s.answer(wire.QuotaGrant{Tenant: "a", Granted: 1}), "1 admitted 0")
	for i, c := range []struct{ sinceMs, retryMs int64 }{{100, 250}, {1200, 1200}, {9000, 3000}} {
		id := fmt.Sprint("later-", i)
		s.nowUs = clock.Sec + c.sinceMs*clock.Ms
		s.step(s.requested(id, "a"), "c0 tail a:1")
		s.step(QueryFailed{Query: s.last}, fmt.Sprint(id, " unanswered ", c.retryMs))
	}
}
