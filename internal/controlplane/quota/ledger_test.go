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

// tail is the role of a counting tail of five voters.
func tail(view uint64) Role { return Role{Counting: true, View: view, Voter: true, Voters: 5} }

// member is the role of another voter of five.
func member(view uint64) Role { return Role{View: view, Voter: true, Voters: 5} }

// grantedOf asks for a tenant's tokens alone.
func grantedOf(l *Ledger, nowUs int64, tailUnreachable bool, count int) int {
	return l.Take(nowUs, tailUnreachable, []TokenRequest{{Tenant: "t", Count: count}})[0].Granted
}

func TestOptionsCheckListsAllFaults(t *testing.T) {
	if bad := testOptions().Check(); bad != nil {
		t.Error(bad)
	}
	if bad := (Options{}).Check(); bad != nil {
		t.Error(bad)
	}
	bad := Options{WindowUs: -1, Overshoot: math.NaN(), Slack: -1, ToleratedLosses: -1}.Check()
	if bad == nil || len(bad.Faults) != 4 {
		t.Errorf("%v", bad)
	}
}

// The parts of the allowance are what the package's comment says, for a small tenant and a large one.
func TestOptionsDivideAllowance(t *testing.T) {
	for _, c := range []struct {
		name                 string
		limit                Limit
		allowance, depth     float64
		reserve, withoutLoss int64
	}{
		{"small", Limit{"t", 4, 4}, 22.4, 4 + 6.72, 1, 2},
		{"large", Limit{"t", 100, 50}, 75, 50 + 22.5, 6, 7},
		{"without burst", Limit{"t", 10, 0}, 25, 7.5, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := testOptions()
			if got := o.allowance(c.limit); math.Abs(got-c.allowance) > rounding {
				t.Errorf("allowance %g", got)
			}
			if got := o.depth(c.limit); math.Abs(got-c.depth) > rounding {
				t.Errorf("depth %g", got)
			}
			if got := o.reserve(c.limit, 5); got != c.reserve {
				t.Errorf("reserve %d", got)
			}
			o.ToleratedLosses = 1
			if got := o.reserve(c.limit, 5); got != c.withoutLoss {
				t.Errorf("reserve %d with one tolerated loss", got)
			}
		})
	}
	if got := (Options{}).withDefaults().depth(Limit{"t", 2, 0}); got != minDepth {
		t.Errorf("depth %g of a bucket without burst or allowance", got)
	}
}

func TestLedgerAnswersByRole(t *testing.T) {
	const nowUs = 100 * clock.Sec
	limits := []Limit{{"t", 100, 50}, {"free", 0, 0}}
	for _, c := range []struct {
		name            string
		startedUs       int64
		role            Role
		tailUnreachable bool
		asks            []TokenRequest
		want            []Grant
	}{
		{"the tail's young books hold the reserve alone", 0, tail(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 6, 10, false}}},
		{"a young process has none", nowUs - clock.Sec, tail(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 10, false}}},
		{"another member sends it on", 0, member(3), false, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, minRetryMs, false}}},
		{"another member grants its reserve where the tail is cut off", 0, member(3), true, []TokenRequest{{"t", 4}, {"t", 10}}, []Grant{{"t", 4, 0, false}, {"t", 2, 5100, false}}},
		{"nothing in the first window of a process", nowUs - 2*clock.Sec, member(3), true, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 3000, false}}},
		{"nothing from one without a vote", 0, Role{View: 3, Voters: 5}, true, []TokenRequest{{"t", 10}}, []Grant{{"t", 0, 5000, false}}},
		{"nothing for a tenant that is not declared", 0, tail(3), false, []TokenRequest{{"u", 1}}, []Grant{{"u", 0, 5000, false}}},
		{"all for one without a limit at the tail", 0, tail(3), false, []TokenRequest{{"free", 1000}}, []Grant{{"free", 1000, 0, true}}},
		{"nothing for one without a limit beside the tail, which may know of one", 0, member(3), true, []TokenRequest{{"free", 1000}}, []Grant{{"free", 0, minRetryMs, false}}},
		{"nothing below nothing", 0, tail(3), true, []TokenRequest{{"t", -3}, {"free", -3}}, []Grant{{"t", 0, 0, false}, {"free", 0, 0, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(testOptions(), c.startedUs)
			l.SetLimits(nowUs, limits)
			l.SetRole(nowUs, c.role)
			got := l.Take(nowUs, c.tailUnreachable, c.asks)
			for i := range got {
				// The slot of the sliding window is up to a sixteenth of the window.
				if i < len(c.want) && c.want[i].RetryMs == 5100 && got[i].RetryMs >= 4900 {
					c.want[i].RetryMs = got[i].RetryMs
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The book of a tail that has counted for a window holds its whole depth, and refills by the rate.
func TestLedgerMainBookIsBucket(t *testing.T) {
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
		if got := grantedOf(l, step.nowUs, false, 1000); got != step.want {
			t.Errorf("at %d ms: %d granted, want %d", step.nowUs/clock.Ms, got, step.want)
		}
	}
}

// Which books are kept from one tail's tenure to another.
func TestLedgerKeepsBooksOnlyWhereNobodyElseCounted(t *testing.T) {
	for _, c := range []struct {
		name string
		then []Role
		want int
	}{
		{"the same view", []Role{tail(3)}, 12},
		{"a lapse in one view", []Role{member(3), tail(3)}, 12},
		{"the next view", []Role{tail(4)}, 12},
		{"a lapse and the next view", []Role{member(4), tail(4)}, 12},
		{"a view between", []Role{member(4), tail(5)}, 0},
		{"a view that was not seen", []Role{tail(5)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(testOptions(), 0)
			l.SetLimits(0, []Limit{{"t", 10, 5}})
			l.SetRole(0, tail(3))
			nowUs := 3 * testWindowUs
			for _, role := range c.then {
				l.SetRole(nowUs, role)
			}
			// Without the reserve of a tail whose books are young.
			l.role.Voter = false
			if got := grantedOf(l, nowUs, false, 1000); got != c.want {
				t.Errorf("%d granted, want %d", got, c.want)
			}
		})
	}
}

func TestLedgerTakesChangesOfLimits(t *testing.T) {
	old := Limit{"t", 10, 40}
	const nowUs = 4 * testWindowUs
	depth := func(l Limit) int { return int(testOptions().depth(l)) }
	for _, c := range []struct {
		name string
		play func(l *Ledger)
		// want is what is granted at once, later a second after.
		want, later int
	}{
		{"lowered far below", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 1, 1}}) }, depth(Limit{"t", 1, 1}), 1},
		{"raised with a full book", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 50, 80}}) }, depth(Limit{"t", 50, 80}), 50},
		{"raised with an empty book", func(l *Ledger) {
			grantedOf(l, nowUs, false, 1000)
			l.SetLimits(nowUs, []Limit{{"t", 50, 80}})
		}, depth(Limit{"t", 50, 80}) - depth(old), 50},
		{"lowered and raised again", func(l *Ledger) {
			grantedOf(l, nowUs, false, 1000)
			l.SetLimits(nowUs, []Limit{{"t", 1, 1}})
			l.SetLimits(nowUs, []Limit{old})
		}, 0, 10},
		{"removed", func(l *Ledger) { l.SetLimits(nowUs, nil) }, 0, 0},
		{"removed and added again", func(l *Ledger) {
			grantedOf(l, nowUs-2*clock.Sec, false, 1000)
			l.SetLimits(nowUs-clock.Sec, nil)
			l.SetLimits(nowUs, []Limit{old})
		}, 10, 10},
		{"no limit", func(l *Ledger) { l.SetLimits(nowUs, []Limit{{"t", 0, 0}}) }, 1000, 1000},
		{"no limit and the old one again", func(l *Ledger) {
			l.SetLimits(nowUs, []Limit{{"t", 0, 0}})
			l.SetLimits(nowUs, []Limit{old})
		}, depth(old), 10},
		{"to no limit and back, again and again", func(l *Ledger) {
			for range 10 {
				grantedOf(l, nowUs, false, 1000)
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
			c.play(l)
			if got := grantedOf(l, nowUs, false, 1000); got != c.want {
				t.Errorf("%d granted at once, want %d", got, c.want)
			}
			if got := grantedOf(l, nowUs+clock.Sec, false, 1000); got < c.later-1 || got > c.later+1 {
				t.Errorf("%d granted a second later, want about %d", got, c.later)
			}
		})
	}
}

// A tenant within its limit is refused nothing: whatever a bucket of its rate and burst lets through, this one does.
func TestLedgerRefusesNothingBelowLimit(t *testing.T) {
	for seed := range int64(50) {
		r := rand.New(rand.NewSource(seed))
		limit := Limit{"t", 0.5 + r.Float64()*50, r.Float64() * 60}
		l := NewLedger(testOptions(), 0)
		l.SetLimits(0, []Limit{limit})
		l.SetRole(0, tail(1))
		// conforming is a bucket of just the limit; the books are young up to the first window.
		conforming, nowUs := limit.Burst, testWindowUs+1
		for range 2000 {
			stepUs := int64(r.Intn(400)) * clock.Ms
			nowUs += stepUs
			conforming = min(limit.Burst, conforming+limit.RatePerSecond*float64(stepUs)/float64(clock.Sec))
			count := r.Intn(1 + int(conforming))
			conforming -= float64(count)
			if got := grantedOf(l, nowUs, false, count); got != count {
				t.Fatalf("seed %d, %+v: %d of %d granted", seed, limit, got, count)
			}
		}
	}
}

// RetryMs names a time at which a token is there, and not much later than the first one is.
func TestLedgerRetryNamesNextToken(t *testing.T) {
	for _, rate := range []float64{0.1, 0.7, 3, 40, 900} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			l := NewLedger(testOptions(), 0)
			l.SetLimits(0, []Limit{{"t", rate, 0}})
			l.SetRole(0, tail(1))
			nowUs := 2 * testWindowUs
			g := l.Take(nowUs, false, []TokenRequest{{"t", 1000000}})[0]
			if g.RetryMs < minRetryMs || g.RetryMs > testWindowUs/clock.Ms {
				t.Fatalf("%+v", g)
			}
			if wait := g.RetryMs * clock.Ms; wait < testWindowUs && grantedOf(l, nowUs+wait, false, 1) != 1 {
				t.Errorf("nothing after %d ms", g.RetryMs)
			}
		})
	}
}

// The memory of tenants that are no longer declared is bounded, however many there were.
func TestLedgerForgetsRemovedTenants(t *testing.T) {
	l := NewLedger(testOptions(), 0)
	most := 0
	for n := range int64(200) {
		l.SetLimits(n*clock.Sec, []Limit{{fmt.Sprint("t", n), 1, 1}})
		l.SetRole(n*clock.Sec, tail(1))
		most = max(most, len(l.books))
	}
	if kept := int(forgetWindows*testWindowUs/clock.Sec) + 1; most > kept {
		t.Errorf("%d books, at most %d tenants were removed within the time", most, kept)
	}
	l.SetLimits(200*clock.Sec, nil)
	l.SetRole(200*clock.Sec+forgetWindows*testWindowUs, tail(1))
	if len(l.books) != 0 {
		t.Errorf("%d books are left", len(l.books))
	}
	for n := range 1000 {
		l.Take(300*clock.Sec, true, []TokenRequest{{fmt.Sprint("unknown", n), 1}})
	}
	if len(l.books) != 0 {
		t.Errorf("%d books of tenants that were never declared", len(l.books))
	}
}

func TestLedgerStatusCounts(t *testing.T) {
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
	round := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-6 })
	if diff := cmp.Diff(want, l.Status(nowUs), round); diff != "" {
		t.Error(diff)
	}
	if rows := l.Status(nowUs + 2*testWindowUs); rows[1].Granted != 0 || rows[1].Refused != 0 || rows[1].Tokens != testOptions().depth(Limit{"t", 10, 5}) {
		t.Errorf("two windows later: %+v", rows[1])
	}
}

// What a window counts leaves it after a window at the earliest, and after a slot more at the latest.
func TestSlidingWindowIsConservative(t *testing.T) {
	const slotUs = testWindowUs / windowSlots
	r := rand.New(rand.NewSource(1))
	type added struct{ atUs, n int64 }
	var w slidingWindow
	all, nowUs := []added{}, int64(0)
	for range 20000 {
		nowUs += int64(r.Intn(int(testWindowUs / 3)))
		if r.Intn(50) == 0 {
			nowUs += 3 * testWindowUs
		}
		if n := int64(r.Intn(5)); n > 0 {
			w.add(nowUs, slotUs, n)
			all = append(all, added{nowUs, n})
		}
		least, most := int64(0), int64(0)
		for i := len(all) - 1; i >= 0 && nowUs-all[i].atUs < testWindowUs+slotUs; i-- {
			most += all[i].n
			if nowUs-all[i].atUs < testWindowUs {
				least += all[i].n
			}
		}
		if got := w.sum(nowUs, slotUs); got < least || got > most {
			t.Fatalf("at %d: %d, want %d to %d", nowUs, got, least, most)
		}
	}
}

// spending is what was granted of one tenant over all control nodes, to be judged by windows.
type spending struct {
	grants []spent
	limits []limitSince
}

type spent struct{ atUs, n int64 }

type limitSince struct {
	fromUs int64
	limit  Limit
}

func (s *spending) grant(nowUs int64, n int) {
	if n > 0 {
		s.grants = append(s.grants, spent{nowUs, int64(n)})
	}
}

// setLimit: a limit of rate 0 is none, and one of rate below 0 stands for a tenant that is not declared.
func (s *spending) setLimit(nowUs int64, l Limit) {
	s.limits = append(s.limits, limitSince{nowUs, l})
}

// bound is what the window that ends now may hold: that of the largest rate and the largest burst in force in it.
func (s *spending) bound(o Options, nowUs int64) float64 {
	most := Limit{}
	for i, l := range s.limits {
		if i+1 < len(s.limits) && s.limits[i+1].fromUs < nowUs-o.WindowUs {
			continue
		}
		if l.limit.RatePerSecond == 0 {
			return math.Inf(1)
		}
		most.RatePerSecond, most.Burst = max(most.RatePerSecond, l.limit.RatePerSecond), max(most.Burst, l.limit.Burst)
	}
	return most.RatePerSecond*float64(o.WindowUs)/float64(clock.Sec) + most.Burst + o.allowance(most)
}

// broken names the window that ends with the newest grant where it holds too much.
func (s *spending) broken(o Options) string {
	if len(s.grants) == 0 {
		return ""
	}
	lastUs, sum := s.grants[len(s.grants)-1].atUs, int64(0)
	for i := len(s.grants) - 1; i >= 0 && lastUs-s.grants[i].atUs <= o.WindowUs; i-- {
		sum += s.grants[i].n
	}
	if most := s.bound(o, lastUs); float64(sum) > most+rounding {
		return fmt.Sprintf("%d granted in the window up to %d ms, at most %.1f", sum, lastUs/clock.Ms, most)
	}
	return ""
}

// One tail for ever, arbitrary asks and changes of limits: no window holds more than the bound, also where the limits go to and fro.
func TestLedgerWindowsHoldForArbitraryAsks(t *testing.T) {
	granted := 0
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		o := Options{WindowUs: int64(1+r.Intn(10)) * clock.Sec, Overshoot: r.Float64() * 0.3, Slack: float64(r.Intn(40)), ToleratedLosses: r.Intn(3)}
		l, s := NewLedger(o, 0), &spending{}
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
			n := grantedOf(l, nowUs, r.Intn(2) == 0, r.Intn(200))
			s.grant(nowUs, n)
			trace, granted = append(trace, fmt.Sprintf("%d: %d granted", nowUs, n)), granted+n
			if broken := s.broken(l.opts); broken != "" {
				t.Fatalf("seed %d, %+v: %s\n%s", seed, o, broken, strings.Join(trace[max(0, len(trace)-40):], "\n"))
			}
		}
	}
	if t.Logf("%d granted", granted); granted < 100000 {
		t.Errorf("%d granted: it proves little", granted)
	}
}
