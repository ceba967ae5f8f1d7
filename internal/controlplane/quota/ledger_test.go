package quota

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/process/clock"
)

const testWindowUs = 5 * clock.Sec

func testOptions() Options {
	return Options{WindowUs: testWindowUs, Overshoot: 0.1, Slack: 20, ToleratedLosses: 2}
}

// tail returns the role of the counting tail of a view with five voters.
func tail(view uint64) Role { return Role{Counting: true, View: view, Voter: true, Voters: 5} }

// member returns the role of a voter other than the tail in a view with five voters.
func member(view uint64) Role { return Role{View: view, Voter: true, Voters: 5} }

// takeTokens requests count tokens of tenant "t" and returns how many are granted.
func takeTokens(l *Ledger, nowUs int64, tailUnreachable bool, count int) int {
	return l.Take(nowUs, tailUnreachable, []TokenRequest{{Tenant: "t", Count: count}})[0].Granted
}

func TestOptionsCheckListsAllFaults(t *testing.T) {
	if bad := testOptions().Check(); bad != nil {
		t.Errorf("test options: got %v, want valid", bad)
	}
	if bad := (Options{}).Check(); bad != nil {
		t.Errorf("zero options: got %v, want valid", bad)
	}
	bad := Options{WindowUs: -1, Overshoot: math.NaN(), Slack: -1, ToleratedLosses: -1}.Check()
	if bad == nil || len(bad.Faults) != 4 {
		t.Errorf("four invalid options: got %v, want four faults", bad)
	}
}

// The allowance is divided as the package comment states, for a small tenant and a large one.
func TestOptionsDivideAllowanceBetweenDepthAndReserve(t *testing.T) {
	for _, c := range []struct {
		name                    string
		limit                   Limit
		allowance, depth        float64
		reserve, oneLossReserve int64
	}{
		{"small", Limit{"t", 4, 4}, 22.4, 4 + 6.72, 1, 2},
		{"large", Limit{"t", 100, 50}, 75, 50 + 22.5, 6, 7},
		{"without burst", Limit{"t", 10, 0}, 25, 7.5, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := testOptions()
			if got := o.allowance(c.limit); math.Abs(got-c.allowance) > roundingTolerance {
				t.Errorf("allowance: got %g, want %g", got, c.allowance)
			}
			if got := o.depth(c.limit); math.Abs(got-c.depth) > roundingTolerance {
				t.Errorf("depth: got %g, want %g", got, c.depth)
			}
			if got := o.reserve(c.limit, 5); got != c.reserve {
				t.Errorf("reserve: got %d, want %d", got, c.reserve)
			}
			o.ToleratedLosses = 1
			if got := o.reserve(c.limit, 5); got != c.oneLossReserve {
				t.Errorf("reserve with one tolerated loss: got %d, want %d", got, c.oneLossReserve)
			}
		})
	}
	if got := (Options{}).withDefaults().depth(Limit{"t", 2, 0}); got != minDepth {
		t.Errorf("depth without burst or allowance: got %g, want %g", got, minDepth)
	}
}

func TestLedgerGrantsAccordingToRole(t *testing.T) {
	const nowUs = 100 * clock.Sec
	limits := []Limit{{"t", 100, 50}, {"free", 0, 0}}
	for _, c := range []struct {
		name            string
		startedUs       int64
		role            Role
		tailUnreachable bool
		requests        []TokenRequest
		want            []Grant
	}{
		{"tail grants only its reserve during warm-up", 0, tail(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 6, 10, false}}},
		{"tail in its process's first window grants nothing", nowUs - clock.Sec, tail(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 10, false}}},
		{"non-tail voter defers to a reachable tail", 0, member(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, minRetryMs, false}}},
		{"non-tail voter grants its reserve if the tail is unreachable", 0, member(3), true, []TokenRequest{{"t", 4}, {"t", 10}}, []Grant{{"t", 4, 0, false}, {"t", 2, 5100, false}}},
		{"non-tail voter in its process's first window grants nothing", nowUs - 2*clock.Sec, member(3), true, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 3000, false}}},
		{"non-voter grants nothing", 0, Role{View: 3, Voters: 5}, true, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 5000, false}}},
		{"undeclared tenant gets nothing", 0, tail(3), false, []TokenRequest{{"u", 1}}, []Grant{{"u", 0, 5000, false}}},
		{"unlimited tenant gets all tokens at the tail", 0, tail(3), false, []TokenRequest{{"free", 1000}}, []Grant{{"free", 1000, 0, true}}},
		{"unlimited tenant gets nothing from a non-tail voter, which may not know of a newer limit", 0, member(3), true, []TokenRequest{{"free", 1000}}, []Grant{{"free", 0, minRetryMs, false}}},
		{"negative counts are granted as zero", 0, tail(3), true, []TokenRequest{{"t", -3}, {"free", -3}}, []Grant{{"t", 0, 0, false}, {"free", 0, 0, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(testOptions(), c.startedUs)
			l.SetLimits(nowUs, limits)
			l.SetRole(nowUs, c.role)
			got := l.Take(nowUs, c.tailUnreachable, c.requests)
			for i := range got {
				// A sliding window slot is up to 1/16 of the window, which makes the retry time inexact.
				if i < len(c.want) && c.want[i].RetryMs == 5100 && got[i].RetryMs >= 4900 {
					c.want[i].RetryMs = got[i].RetryMs
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("grants (-want +got):\n%s", diff)
			}
		})
	}
}

// After a tail has counted for one window, its main bucket holds the whole depth; it refills at the rate.
func TestLedgerMainBucketFillsToDepthAndRefillsAtRate(t *testing.T) {
	l := NewLedger(testOptions(), 0)
	l.SetLimits(0, []Limit{{"t", 10, 5}})
	l.SetRole(0, tail(1))
	depth := int(testOptions().depth(Limit{"t", 10, 5}))
	for _, step := range []struct {
		nowUs int64
		want  int
	}{
		{0, 0}, {clock.Sec, 10}, {testWindowUs + 1, depth}, {testWindowUs + 2, 0}, {testWindowUs + 300*clock.Ms, 3}, {testWindowUs + 60*clock.Sec, depth},
	} {
		if got := takeTokens(l, step.nowUs, false, 1000); got != step.want {
			t.Errorf("granted at %d ms: got %d, want %d", step.nowUs/clock.Ms, got, step.want)
		}
	}
}

// A process keeps its main buckets only if no other process can have counted since it last did.
func TestLedgerKeepsBucketsOnlyIfNoOtherProcessCounted(t *testing.T) {
	for _, c := range []struct {
		name  string
		roles []Role
		want  int
	}{
		{"same view", []Role{tail(3)}, 12},
		{"lease expiry within one view", []Role{member(3), tail(3)}, 12},
		{"next view", []Role{tail(4)}, 12},
		{"lease expiry and next view", []Role{member(4), tail(4)}, 12},
		{"a view in between", []Role{member(4), tail(5)}, 0},
		{"a view in between that was not observed", []Role{tail(5)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(testOptions(), 0)
			l.SetLimits(0, []Limit{{"t", 10, 5}})
			l.SetRole(0, tail(3))
			nowUs := 3 * testWindowUs
			for _, role := range c.roles {
				l.SetRole(nowUs, role)
			}
			// Only voters may grant from the reserve bucket. A non-voter grants only from the main bucket, which fills up during its
			// first window (the warm-up).
			l.role.Voter = false
			if got := takeTokens(l, nowUs, false, 1000); got != c.want {
				t.Errorf("granted: got %d, want %d", got, c.want)
			}
		})
	}
}

func TestLedgerAppliesLimitChangesImmediately(t *testing.T) {
	old := Limit{"t", 10, 40}
	const nowUs = 4 * testWindowUs
	depth := func(l Limit) int { return int(testOptions().depth(l)) }
	for _, c := range []struct {
		name   string
		change func(l *Ledger)
		// want is the number of tokens granted at once, wantLater that granted one second later, with a tolerance of 1.
		want, wantLater int
	}{
		{"lowered below the bucket's content", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 1, 1}}) }, depth(Limit{"t", 1, 1}), 1},
		{"raised with a full bucket", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 50, 80}}) }, depth(Limit{"t", 50, 80}), 50},
		{"raised with an empty bucket", func(l *Ledger) {
			takeTokens(l, nowUs, false, 1000)
			l.SetLimits(nowUs, []Limit{{"t", 50, 80}})
		}, depth(Limit{"t", 50, 80}) - depth(old), 50},
		{"lowered and raised again", func(l *Ledger) {
			takeTokens(l, nowUs, false, 1000)
			l.SetLimits(nowUs, []Limit{{"t", 1, 1}})
			l.SetLimits(nowUs, []Limit{old})
		}, 0, 10},
		{"removed", func(l *Ledger) { l.SetLimits(nowUs, nil) }, 0, 0},
		{"removed and added again", func(l *Ledger) {
			takeTokens(l, nowUs-2*clock.Sec, false, 1000)
			l.SetLimits(nowUs-clock.Sec, nil)
			l.SetLimits(nowUs, []Limit{old})
		}, 10, 10},
		{"unlimited", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 0, 0}}) }, 1000, 1000},
		{"unlimited, then the old limit again", func(l *Ledger) {
			l.SetLimits(nowUs, []Limit{{"t", 0, 0}})
			l.SetLimits(nowUs, []Limit{old})
		}, depth(old), 10},
		{"alternating between unlimited and the old limit", func(l *Ledger) {
			for range 10 {
				takeTokens(l, nowUs, false, 1000)
				l.SetLimits(nowUs, []Limit{{"t", 0, 0}})
				l.SetLimits(nowUs, []Limit{old})
			}
		}, 0, 10},
		{"another tenant is added", func(l *Ledger) { l.SetLimits(nowUs, []Limit{old, {"u", 1, 1}}) }, depth(old), 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(testOptions(), 0)
			l.SetLimits(0, []Limit{old})
			l.SetRole(0, tail(3))
			c.change(l)
			if got := takeTokens(l, nowUs, false, 1000); got != c.want {
				t.Errorf("granted at once: got %d, want %d", got, c.want)
			}
			if got := takeTokens(l, nowUs+clock.Sec, false, 1000); got < c.wantLater-1 || got > c.wantLater+1 {
				t.Errorf("granted one second later: got %d, want %d±1", got, c.wantLater)
			}
		})
	}
}

// A tenant within its limit is refused nothing: whatever a token bucket of its rate and burst passes, the ledger grants.
func TestLedgerGrantsAllRequestsWithinLimit(t *testing.T) {
	for seed := range int64(50) {
		r := rand.New(rand.NewSource(seed))
		limit := Limit{"t", 0.5 + r.Float64()*50, r.Float64() * 60}
		l := NewLedger(testOptions(), 0)
		l.SetLimits(0, []Limit{limit})
		l.SetRole(0, tail(1))
		// conforming is a token bucket of exactly the limit. The traffic starts after the warm-up.
		conforming, nowUs := limit.Burst, testWindowUs+1
		for range 2000 {
			stepUs := int64(r.Intn(400)) * clock.Ms
			nowUs += stepUs
			conforming = min(limit.Burst, conforming+limit.RatePerSecond*float64(stepUs)/float64(clock.Sec))
			count := r.Intn(1 + int(conforming))
			conforming -= float64(count)
			if got := takeTokens(l, nowUs, false, count); got != count {
				t.Fatalf("seed %d, limit %+v: granted %d tokens, want %d", seed, limit, got, count)
			}
		}
	}
}

// After RetryMs a token is available, unless RetryMs is capped at the window, and RetryMs is not much later than the first token.
func TestLedgerRetryTimeIsWhenNextTokenIsAvailable(t *testing.T) {
	for _, rate := range []float64{0.1, 0.7, 3, 40, 900} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			l := NewLedger(testOptions(), 0)
			l.SetLimits(0, []Limit{{"t", rate, 0}})
			l.SetRole(0, tail(1))
			nowUs := 2 * testWindowUs
			g := l.Take(nowUs, false, []TokenRequest{{"t", 1000000}})[0]
			if g.RetryMs < minRetryMs || g.RetryMs > testWindowUs/clock.Ms {
				t.Fatalf("retry time of %+v: got %d ms, want %d to %d ms", g, g.RetryMs, minRetryMs, testWindowUs/clock.Ms)
			}
			if wait := g.RetryMs * clock.Ms; wait < testWindowUs && takeTokens(l, nowUs+wait, false, 1) != 1 {
				t.Errorf("retry after %d ms: no token granted, want 1", g.RetryMs)
			}
		})
	}
}

// The number of retained buckets of removed tenants is bounded, however many tenants there were.
func TestLedgerDeletesBucketsOfRemovedTenants(t *testing.T) {
	l := NewLedger(testOptions(), 0)
	maxBuckets := 0
	for n := range int64(200) {
		l.SetLimits(n*clock.Sec, []Limit{{fmt.Sprint("t", n), 1, 1}})
		l.SetRole(n*clock.Sec, tail(1))
		maxBuckets = max(maxBuckets, len(l.buckets))
	}
	if limit := int(forgetWindows*testWindowUs/clock.Sec) + 1; maxBuckets > limit {
		t.Errorf("buckets: got %d, want at most the %d tenants declared within the retention time", maxBuckets, limit)
	}
	l.SetLimits(200*clock.Sec, nil)
	l.SetRole(200*clock.Sec+forgetWindows*testWindowUs, tail(1))
	if len(l.buckets) != 0 {
		t.Errorf("buckets after the retention time: got %d, want 0", len(l.buckets))
	}
	for n := range 1000 {
		l.Take(300*clock.Sec, true, []TokenRequest{{fmt.Sprint("unknown", n), 1}})
	}
	if len(l.buckets) != 0 {
		t.Errorf("buckets of tenants that were never declared: got %d, want 0", len(l.buckets))
	}
}

func TestLedgerStatusReportsLimitsAndCounts(t *testing.T) {
	l := NewLedger(testOptions(), 0)
	l.SetLimits(0, []Limit{{"t", 10, 5}, {"free", 0, 0}, {"gone", 1, 1}})
	l.SetLimits(0, []Limit{{"t", 10, 5}, {"free", 0, 0}})
	l.SetRole(0, tail(1))
	nowUs := 2 * testWindowUs
	l.Take(nowUs, false, []TokenRequest{{"t", 20}, {"free", 7}})
	want := []TenantStatus{
		{Tenant: "free", Granted: 7},
		{Tenant: "t", RatePerSecond: 10, Burst: 5, Tokens: 0.65, Granted: 12, Refused: 8, Reserve: 2},
	}
	approxEqual := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-6 })
	if diff := cmp.Diff(want, l.Status(nowUs), approxEqual); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if rows := l.Status(nowUs + 2*testWindowUs); rows[1].Granted != 0 || rows[1].Refused != 0 || rows[1].Tokens != testOptions().depth(Limit{"t", 10, 5}) {
		t.Errorf("status two windows later: got %+v, want no counts and a full bucket", rows[1])
	}
}

// An event is counted for at least one window and at most one window and one slot.
func TestSlidingWindowKeepsEventAtLeastOneWindowAndAtMostOneSlotLonger(t *testing.T) {
	const slotUs = testWindowUs / windowSlots
	r := rand.New(rand.NewSource(1))
	type event struct{ atUs, n int64 }
	var w slidingWindow
	events, nowUs := []event{}, int64(0)
	for range 20000 {
		nowUs += int64(r.Intn(int(testWindowUs / 3)))
		if r.Intn(50) == 0 {
			nowUs += 3 * testWindowUs
		}
		if n := int64(r.Intn(5)); n > 0 {
			w.add(nowUs, slotUs, n)
			events = append(events, event{nowUs, n})
		}
		minSum, maxSum := int64(0), int64(0)
		for i := len(events) - 1; i >= 0 && nowUs-events[i].atUs < testWindowUs+slotUs; i-- {
			maxSum += events[i].n
			if nowUs-events[i].atUs < testWindowUs {
				minSum += events[i].n
			}
		}
		if got := w.sum(nowUs, slotUs); got < minSum || got > maxSum {
			t.Fatalf("sum at %d us: got %d, want %d to %d", nowUs, got, minSum, maxSum)
		}
	}
}

// grantLog records the tokens that all control nodes grant to one tenant, and checks the bound for each window.
type grantLog struct {
	grants []grantRecord
	limits []limitChange
}

type grantRecord struct{ atUs, n int64 }

type limitChange struct {
	fromUs int64
	limit  Limit
}

func (s *grantLog) grant(nowUs int64, n int) {
	if n > 0 {
		s.grants = append(s.grants, grantRecord{nowUs, int64(n)})
	}
}

// setLimit records a change of the limit. A rate of 0 means unlimited, and a negative rate that the tenant is not declared.
func (s *grantLog) setLimit(nowUs int64, l Limit) {
	s.limits = append(s.limits, limitChange{nowUs, l})
}

// bound returns the maximum number of grants in the window that ends at nowUs, from the largest rate and the largest burst in
// force within it.
func (s *grantLog) bound(o Options, nowUs int64) float64 {
	largest := Limit{}
	for i, l := range s.limits {
		if i+1 < len(s.limits) && s.limits[i+1].fromUs < nowUs-o.WindowUs {
			continue
		}
		if l.limit.RatePerSecond == 0 {
			return math.Inf(1)
		}
		largest.RatePerSecond, largest.Burst = max(largest.RatePerSecond, l.limit.RatePerSecond), max(largest.Burst, l.limit.Burst)
	}
	return largest.RatePerSecond*float64(o.WindowUs)/float64(clock.Sec) + largest.Burst + o.allowance(largest)
}

// violation describes the window that ends with the newest grant if it exceeds the bound, and is empty otherwise.
func (s *grantLog) violation(o Options) string {
	if len(s.grants) == 0 {
		return ""
	}
	lastUs, sum := s.grants[len(s.grants)-1].atUs, int64(0)
	for i := len(s.grants) - 1; i >= 0 && lastUs-s.grants[i].atUs <= o.WindowUs; i-- {
		sum += s.grants[i].n
	}
	if limit := s.bound(o, lastUs); float64(sum) > limit+roundingTolerance {
		return fmt.Sprintf("%d granted in the window up to %d ms, want at most %.1f", sum, lastUs/clock.Ms, limit)
	}
	return ""
}

// With a single tail, arbitrary requests and arbitrary, also alternating, limits, no window exceeds the bound.
func TestLedgerBoundHoldsInEveryWindowForArbitraryRequests(t *testing.T) {
	granted := 0
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		o := Options{WindowUs: int64(1+r.Intn(10)) * clock.Sec, Overshoot: r.Float64() * 0.3, Slack: float64(r.Intn(40)), ToleratedLosses: r.Intn(3)}
		l, s := NewLedger(o, 0), &grantLog{}
		declare := func(nowUs int64) {
			limit := Limit{"t", []float64{-1, 0.3, 2, 10, 100, 400}[r.Intn(6)], float64(1 + r.Intn(100))}
			s.setLimit(nowUs, limit)
			if limit.RatePerSecond < 0 {
				l.SetLimits(nowUs, nil)
				return
			}
			l.SetLimits(nowUs, []Limit{limit})
		}
		declare(0)
		nowUs, trace := int64(0), []string{}
		for range 600 {
			nowUs += int64(r.Intn(1 + int(o.WindowUs/8)))
			if r.Intn(40) == 0 {
				nowUs += o.WindowUs + int64(r.Intn(int(o.WindowUs)))
			}
			if r.Intn(12) == 0 {
				declare(nowUs)
				trace = append(trace, fmt.Sprintf("%d: %+v", nowUs, s.limits[len(s.limits)-1].limit))
			}
			l.SetRole(nowUs, tail(1))
			n := takeTokens(l, nowUs, r.Intn(2) == 0, r.Intn(200))
			s.grant(nowUs, n)
			trace, granted = append(trace, fmt.Sprintf("%d: %d granted", nowUs, n)), granted+n
			if violation := s.violation(l.opts); violation != "" {
				t.Fatalf("seed %d, options %+v: %s\n%s", seed, o, violation, strings.Join(trace[max(0, len(trace)-40):], "\n"))
			}
		}
	}
	if t.Logf("%d granted", granted); granted < 100000 {
		t.Errorf("granted over all seeds: got %d, want at least 100000 for a meaningful test", granted)
	}
}
