package rules

import (
	"fmt"
	"slices"
	"testing"
)

// The rule on limits, on the least days that break it or just do not: a tenant of 2 a second and 2 above that may run
// (2 x 5 + 2) x 1.1 + 20 = 33 requests in five seconds.
func TestQuotaOnSmallDays(t *testing.T) {
	const most = 33
	// run adds so many requests of the tenant, sent evenly over a span, that arrive some time later at a replica which runs them.
	run := func(d *Day, count int, fromUs, toUs, laterUs int64) {
		for i := range count {
			try := asked(fmt.Sprintf("%d-%d", fromUs, i), "/r/x", fromUs+(toUs-fromUs)*int64(i)/int64(count))
			a := ran(try, "z")
			a.AtUs, a.RanUs = try.SentUs+laterUs, try.SentUs+laterUs
			d.Attempts, d.Arrivals = append(d.Attempts, try), append(d.Arrivals, a)
			d.Tenants[try.ID] = "t"
		}
	}
	lower := func(d *Day) { d.Limits[d.Versions[1]]["t"] = TenantLimit{RatePerSecond: 1, Burst: 0} } // (1 x 5) x 1.1 + 20 = 25
	for _, c := range []struct {
		name   string
		breaks bool
		play   func(d *Day)
	}{
		{"as many as are allowed", false, func(d *Day) { run(d, most, 14*second, 18*second, 1000) }},
		{"one more", true, func(d *Day) { run(d, most+1, 14*second, 18*second, 1000) }},
		{"one more on machines that are cut off", true, func(d *Day) {
			d.Partitions = append(bothWays("front", "a", 13*second, Open), bothWays("front", "b", 13*second, Open)...)
			run(d, most+1, 14*second, 18*second, 1000)
		}},
		{"over the seam of two windows", true, func(d *Day) { run(d, most+1, 17*second, 21*second, 1000) }},
		{"more, over a longer time", false, func(d *Day) { run(d, 2*most, 12*second, 22*second, 1000) }},
		{"more that arrive together and were sent over a longer time", false, func(d *Day) {
			run(d, most, 12*second, 14*second, 1000)
			run(d, most, 14*second, 18*second, 6*second)
		}},
		{"more that were sent together and arrive over a longer time", false, func(d *Day) {
			run(d, most, 14*second, 14*second+1, 1000)
			run(d, most, 14*second+2, 14*second+3, 6*second)
		}},
		{"one more that no replica ran", false, func(d *Day) {
			run(d, most+1, 14*second, 18*second, 1000)
			d.Arrivals[3].RanUs = 0
		}},
		{"a request that ran twice is one", false, func(d *Day) {
			run(d, most, 14*second, 18*second, 1000)
			again := *d.Arrivals[0]
			d.Arrivals = append(d.Arrivals, &again)
		}},
		{"one more, by keys that move: in whose name they ran", true, func(d *Day) {
			run(d, most+1, 14*second, 18*second, 1000)
			for _, a := range d.Arrivals {
				delete(d.Tenants, a.Request)
				a.Tenant = "t"
			}
		}},
		{"no limit", false, func(d *Day) {
			d.Limits[d.Versions[0]]["t"], d.Limits[d.Versions[1]]["t"] = TenantLimit{}, TenantLimit{}
			run(d, 3*most, 14*second, 18*second, 1000)
		}},
		{"a limit that a version which may be in force takes away", false, func(d *Day) {
			d.Limits[d.Versions[1]]["t"], d.Versions[1].AckedUs = TenantLimit{}, 0
			run(d, 3*most, 14*second, 18*second, 1000)
		}},
		{"a lower limit, once it binds everywhere", true, func(d *Day) { lower(d); run(d, most, 14*second, 18*second, 1000) }},
		{"... as many as it allows", false, func(d *Day) { lower(d); run(d, 25, 14*second, 18*second, 1000) }},
		{"... in a window that began before", false, func(d *Day) { lower(d); run(d, most, 12*second, 16*second, 1000) }},
		{"... while a machine was out of touch", false, func(d *Day) {
			lower(d)
			d.Partitions = append(bothWays("front", "a", 9*second, 16*second), bothWays("front", "b", 9*second, 16*second)...)
			run(d, most, 14*second, 18*second, 1000)
		}},
		{"... that was refused", false, func(d *Day) {
			lower(d)
			d.Versions[1].AckedUs, d.Versions[1].RefusedUs, d.Versions[1].Status = 0, 11*second, 412
			run(d, most, 14*second, 18*second, 1000)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := &Version{Number: 1, Valid: true, Routes: mark(1, "z"), SentUs: second, AckedUs: 2 * second}
			next := &Version{Number: 2, Base: 1, Valid: true, Routes: mark(2, "z"), SentUs: 10 * second, AckedUs: 11 * second}
			limits := func() map[string]TenantLimit { return map[string]TenantLimit{"t": {RatePerSecond: 2, Burst: 2}} }
			d := &Day{
				Bounds: SmallBounds(1), Core: core("a", "b", "c"), Versions: []*Version{first, next}, EndUs: 30 * second,
				Tenants: map[string]string{}, Limits: map[*Version]map[string]TenantLimit{first: limits(), next: limits()},
			}
			c.play(d)
			breaches, stakes := Judge(d)
			broken := false
			for _, b := range breaches {
				broken = broken || b.Rule == Quota
			}
			if broken != c.breaks {
				t.Errorf("%v", breaches)
			}
			if c.breaks && stakes[Quota] == 0 {
				t.Error("nothing was at stake")
			}
		})
	}
}

// A tenant is starved where it gets less than a quarter as often as all of what it is owed; what is beyond its limit is not owed.
func TestStarvedTenantsOnSmallDays(t *testing.T) {
	for _, c := range []struct {
		name          string
		refused       int
		status        int
		ratePerSecond float64
		breaks        bool
	}{
		{name: "all are served", ratePerSecond: 100},
		{name: "one is refused what it is owed", refused: 100, status: 429, ratePerSecond: 100, breaks: true},
		{name: "... as if nobody could say", refused: 100, status: 503, ratePerSecond: 100, breaks: true},
		{name: "... some of it", refused: 60, status: 429, ratePerSecond: 100},
		{name: "one that is over its limit most of the time", refused: 90, status: 429, ratePerSecond: 1},
		{name: "one without a limit", refused: 100, status: 429, breaks: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &Version{Number: 1, Valid: true, Routes: mark(1, "z"), SentUs: second, AckedUs: 2 * second}
			d := &Day{
				Bounds: SmallBounds(1), Core: core("a", "b", "c"), Versions: []*Version{v}, EndUs: 30 * second, Tenants: map[string]string{},
				Limits: map[*Version]map[string]TenantLimit{v: {"t": {RatePerSecond: c.ratePerSecond, Burst: 1}, "u": {}}},
			}
			for i := range 200 {
				try := asked(fmt.Sprint(i), "/r/x", 14*second+int64(i)*second/20)
				d.Tenants[try.ID] = []string{"t", "u"}[i%2]
				if i%2 == 0 && i/2 < c.refused {
					try.Status, try.Seal, try.Response = c.status, "", ""
				} else {
					d.Arrivals = append(d.Arrivals, ran(try, "z"))
				}
				d.Attempts = append(d.Attempts, try)
			}
			breaches, _ := Judge(d)
			broken := false
			for _, b := range breaches {
				broken = broken || b.Rule == Starved
			}
			if broken != c.breaks {
				t.Errorf("%v", breaches)
			}
		})
	}
}

// Of what is refused with a 429, only what is beyond a tenant's limit is no part of how often classes of requests are served.
func TestWrongRefusalsOfAClassOnSmallDays(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  TenantLimit
		breaks bool
	}{
		{"within its limit", TenantLimit{RatePerSecond: 100, Burst: 1}, true},
		{"without a limit", TenantLimit{}, true},
		{"beyond its limit", TenantLimit{RatePerSecond: 0.1, Burst: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &Version{Number: 1, Valid: true, Routes: mark(1, "z"), SentUs: second, AckedUs: 2 * second}
			d := &Day{Bounds: SmallBounds(1), Core: core("a", "b", "c"), Versions: []*Version{v}, EndUs: 30 * second, Tenants: map[string]string{}, Limits: map[*Version]map[string]TenantLimit{v: {"t": c.limit}}}
			for i := range 200 {
				try := asked(fmt.Sprint(i), "/r/x", 14*second+int64(i)*second/20)
				d.Tenants[try.ID], try.Class = "t", []string{"refused", "served"}[i%2]
				if i%2 == 0 {
					try.Status, try.Seal, try.Response = 429, "", ""
				} else {
					d.Arrivals = append(d.Arrivals, ran(try, "z"))
				}
				d.Attempts = append(d.Attempts, try)
			}
			breaches, _ := Judge(d)
			if broken := slices.ContainsFunc(breaches, func(b Breach) bool { return b.Rule == Starved }); broken != c.breaks {
				t.Errorf("%v", breaches)
			}
		})
	}
}

// A request is refused for its key only where some version that may be in force does not know it.
func TestKeysThatAreRefusedOnSmallDays(t *testing.T) {
	for _, c := range []struct {
		name   string
		key    string
		breaks bool
		play   func(d *Day, t *Attempt)
	}{
		{"a key that was there all along", "kept", true, func(*Day, *Attempt) {}},
		{"a key that was taken away", "old", false, func(*Day, *Attempt) {}},
		{"a key that was added", "new", true, func(*Day, *Attempt) {}},
		{"... a moment ago", "new", false, func(d *Day, t *Attempt) { t.SentUs, t.EndUs = 12*second, 12*second+second/10 }},
		{"... at a machine out of touch", "new", false, func(d *Day, _ *Attempt) {
			d.Faults = []FaultInterval{{Machine: "front", FromUs: 13 * second, ToUs: 13 * second}}
		}},
		{"... by a version that nobody acknowledged", "new", false, func(d *Day, _ *Attempt) { d.Versions[1].AckedUs = 0 }},
		{"a key that nobody ever held", "stray", false, func(*Day, *Attempt) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := &Version{Number: 1, Valid: true, Routes: mark(1, "z"), SentUs: second, AckedUs: 2 * second}
			next := &Version{Number: 2, Base: 1, Valid: true, Routes: mark(2, "z"), SentUs: 10 * second, AckedUs: 11 * second}
			try := asked("1", "/r/x", 14*second)
			try.Status, try.Seal, try.Response = 401, "", ""
			d := &Day{
				Bounds: SmallBounds(1), Core: core("a", "b", "c"), Versions: []*Version{first, next}, EndUs: 30 * second, Attempts: []*Attempt{try},
				Keys: map[string]string{"1": c.key}, Holders: map[*Version]map[string]string{first: {"kept": "t", "old": "t"}, next: {"kept": "t", "new": "t"}},
			}
			c.play(d, try)
			breaches, _ := Judge(d)
			broken := slices.ContainsFunc(breaches, func(b Breach) bool { return b.Rule == ConfigOld || b.Rule == Denied })
			if broken != c.breaks {
				t.Errorf("%v", breaches)
			}
		})
	}
}
