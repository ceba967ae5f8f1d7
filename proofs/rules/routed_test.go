package rules

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/proofs/platform/replica"
)

const second = int64(1_000_000)

func core(names ...string) []Member {
	out := []Member{}
	for _, n := range names {
		out = append(out, Member{Machine: n, ToUs: Open})
	}
	return out
}

func bothWays(a, b string, fromUs, toUs int64) []Cut {
	return []Cut{{a, b, fromUs, toUs}, {b, a, fromUs, toUs}}
}

// Bounds bind only machines in touch; what counts as that is worded on the users' pages.
func TestWhoIsInTouch(t *testing.T) {
	three := core("a", "b", "c")
	for _, c := range []struct {
		name    string
		day     Day
		atUs    int64
		settled bool
		front   bool
	}{
		{"calm", Day{Core: three}, 20 * second, true, true},
		{"a core machine was killed a moment ago", Day{Core: three, Troubles: []Trouble{{Machine: "a", FromUs: 18 * second, ToUs: Open, Down: true}}}, 20 * second, false, false},
		{"one is dead for longer", Day{Core: three, Troubles: []Trouble{{Machine: "a", FromUs: 10 * second, ToUs: Open, Down: true}}}, 20 * second, true, true},
		{"it was started a moment ago", Day{Core: three, Troubles: []Trouble{{Machine: "a", FromUs: 2 * second, ToUs: 18 * second, Down: true}}}, 20 * second, false, false},
		{"most are dead", Day{Core: three, Troubles: []Trouble{{Machine: "a", FromUs: second, ToUs: Open, Down: true}, {Machine: "b", FromUs: second, ToUs: Open, Down: true}}}, 20 * second, false, false},
		{"a slow disk stands", Day{Core: three, Troubles: []Trouble{{Machine: "a", FromUs: 2 * second, ToUs: 30 * second, Slow: true}}}, 20 * second, false, false},
		{"one is cut off for longer, and the front from it", Day{Core: three, Cuts: append(append(bothWays("a", "b", 5*second, Open), bothWays("a", "c", 5*second, Open)...), bothWays("a", "front", 5*second, Open)...)}, 20 * second, true, true},
		{"the front is cut from one of most", Day{Core: three, Cuts: bothWays("a", "front", 5*second, Open)}, 20 * second, true, false},
		{"that cut has healed just now", Day{Core: three, Cuts: bothWays("a", "front", 5*second, 18*second)}, 20 * second, true, false},
		{"the front was frozen", Day{Core: three, Troubles: []Trouble{{Machine: "front", FromUs: 10 * second, ToUs: 18 * second}}}, 20 * second, true, false},
		{"another front was", Day{Core: three, Troubles: []Trouble{{Machine: "other", FromUs: 10 * second, ToUs: 18 * second}}}, 20 * second, true, true},
		{"a closing fault took most: twice the time", Day{Core: three, Closing: &Closing{AtUs: 10 * second, BackUs: 15 * second, Most: true}}, 20 * second, false, false},
		{"and it is over", Day{Core: three, Closing: &Closing{AtUs: 10 * second, BackUs: 15 * second, Most: true}}, 22 * second, true, true},
	} {
		c.day.Bounds = SmallBounds(0)
		touch := newTouch(&c.day)
		if got := touch.settled(c.atUs); got != c.settled {
			t.Errorf("%s: settled %v", c.name, got)
		}
		if got := touch.in("front", c.atUs); got != c.front {
			t.Errorf("%s: in touch %v", c.name, got)
		}
	}
}

func mark(n uint64, services ...string) []RouteSeen {
	return []RouteSeen{{Name: "r", Host: "h", Prefix: "/r/", Services: services}, {Name: fmt.Sprint(n), Host: "h", Prefix: fmt.Sprintf("/v%d/", n), Services: []string{"s"}}}
}

func asked(id, path string, sentUs int64) *Try {
	return &Try{ID: id, Method: "POST", Host: "h", Path: path, Machine: "front", Life: 1, SentUs: sentUs, ReadUs: sentUs, EndUs: sentUs + second/10, LimitUs: 5 * second, Status: 200, Complete: true,
		Seal: replica.Seal("i", id), AnswerID: id, Answer: replica.Text("", 1, id)}
}

func ran(t *Try, service string) *replica.Arrival {
	return &replica.Arrival{Request: t.ID, Replica: "i", Service: service, Method: t.Method, Host: t.Host, Path: t.Path, Nonce: t.ID, AtUs: t.SentUs + 1000, RanUs: t.SentUs + 1000, EndUs: t.EndUs, Status: 200, Whole: true}
}

// Each line of the rules on configurations, orders and leaving, on the least day that shows it.
func TestRoutedRulesOnSmallDays(t *testing.T) {
	versions := func() []*Version {
		return []*Version{{Number: 1, Valid: true, Routes: mark(1, "s"), SentUs: second, AckedUs: 2 * second}, {Number: 2, Base: 1, Valid: true, Routes: mark(2, "z"), SentUs: 10 * second, AckedUs: 11 * second}}
	}
	served := func(d *Day, id, path string, sentUs int64, service string) {
		try := asked(id, path, sentUs)
		d.Tries = append(d.Tries, try)
		d.Arrivals = append(d.Arrivals, ran(try, service))
	}
	order := func(atUs int64, holder string, fence uint64) replica.OrderSeen {
		return replica.OrderSeen{Replica: "i", From: holder, Holder: holder, Fence: fence, Operation: "loading", AtUs: atUs, Status: 202}
	}
	for _, c := range []struct {
		name string
		want string
		play func(d *Day)
	}{
		{"the new service runs it", "", func(d *Day) { served(d, "1", "/r/x", 14*second, "z") }},
		{"the old service runs it within the bound", "", func(d *Day) { served(d, "1", "/r/x", 12*second, "s") }},
		{"the old service runs it after the bound", ConfigOld, func(d *Day) { served(d, "1", "/r/x", 14*second, "s") }},
		{"... while the core is unsettled", "", func(d *Day) {
			d.Troubles = []Trouble{{Machine: "a", FromUs: 12 * second, ToUs: 13 * second, Down: true}}
			served(d, "1", "/r/x", 14*second, "s")
		}},
		{"... and after the outer bound", ConfigOld, func(d *Day) {
			d.Troubles = []Trouble{{Machine: "a", FromUs: 12 * second, ToUs: 17 * second, Down: true}}
			served(d, "1", "/r/x", 19*second, "s")
		}},
		{"a 404 though the route is there", ConfigOld, func(d *Day) {
			try := asked("1", "/v2/x", 14*second)
			try.Status = 404
			d.Tries = append(d.Tries, try)
		}},
		{"a machine goes back", ConfigBck, func(d *Day) {
			served(d, "1", "/v2/x", 10*second+second/2, "s")
			served(d, "2", "/r/x", 11*second, "s")
		}},
		{"another life of it may", "", func(d *Day) {
			served(d, "1", "/v2/x", 10*second+second/2, "s")
			served(d, "2", "/r/x", 11*second, "s")
			d.Tries[1].Life = 2
		}},
		{"no version ever sent it there", Route, func(d *Day) { served(d, "1", "/r/x", 14*second, "q") }},
		{"only a refused version sends it there", ConfigNot, func(d *Day) {
			d.Versions = append(d.Versions, &Version{Number: 3, Base: 2, Valid: true, Routes: mark(3, "q"), SentUs: 12 * second, RefusedUs: 13 * second})
			served(d, "1", "/r/x", 14*second, "q")
		}},
		{"only one that lost its race", ConfigNot, func(d *Day) {
			d.Versions = append(d.Versions, &Version{Number: 3, Base: 1, Valid: true, Routes: mark(3, "q"), SentUs: 10 * second})
			served(d, "1", "/r/x", 14*second, "q")
		}},
		{"two on one base acknowledged", ConfigTwo, func(d *Day) {
			d.Versions = append(d.Versions, &Version{Number: 3, Base: 1, Valid: true, Routes: mark(3, "q"), SentUs: 10 * second, AckedUs: 11 * second})
		}},
		{"an older one is read back", ConfigGon, func(d *Day) { d.Read = &Read{Number: 1, Came: true} }},
		{"nothing is read back", ConfigGon, func(d *Day) { d.Read = &Read{} }},
		{"a run after its leaving", Drain, func(d *Day) {
			d.Leaves = []*Leave{{Replica: "i", Machine: "a", SaidUs: 12 * second, AckedUs: 12 * second}}
			served(d, "1", "/r/x", 15*second, "z")
		}},
		{"... acknowledged while the core was unsettled", "", func(d *Day) {
			d.Troubles = []Trouble{{Machine: "b", FromUs: 11 * second, ToUs: Open, Down: true}}
			d.Leaves = []*Leave{{Replica: "i", Machine: "a", SaidUs: 12 * second, AckedUs: 12 * second}}
			served(d, "1", "/r/x", 15*second, "z")
		}},
		{"two holders of a fence", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(9*second, "b", 1)} }},
		{"a lower fence", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 2), order(9*second, "a", 1)} }},
		{"turns within the lease", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(3*second, "b", 2)} }},
		{"turns after it", "", func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(5*second, "b", 2)} }},
		{"turns by a thawed sender", "", func(d *Day) {
			d.Troubles = []Trouble{{Machine: "a", Kind: "freeze", FromUs: 2 * second, ToUs: 8 * second, Down: true}}
			d.Orders = []replica.OrderSeen{order(7*second, "b", 2), order(8*second+second/10, "a", 1)}
		}},
		{"more loads than the store gives", Ceiling, func(d *Day) {
			for i := range 10 {
				d.Loads = append(d.Loads, replica.LoadSeen{Replica: "i", AtUs: 12*second + int64(i)*second/10, FromStore: true})
			}
		}},
		{"... from the replicas' own disks", "", func(d *Day) {
			for i := range 10 {
				d.Loads = append(d.Loads, replica.LoadSeen{Replica: "i", AtUs: 12*second + int64(i)*second/10})
			}
		}},
		{"more further arrivals than the budget", Budget, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			for range 40 {
				a := *d.Arrivals[0]
				a.RanUs, a.Turned = 0, 503
				d.Arrivals = append(d.Arrivals, &a)
			}
		}},
		{"no acknowledgement in calm times", Acks, func(d *Day) {
			d.Versions = append(d.Versions, &Version{Number: 3, Base: 2, Valid: true, Routes: mark(3, "z"), SentUs: 12 * second})
		}},
	} {
		d := &Day{Bounds: SmallBounds(1), Core: core("a", "b", "c"), Versions: versions(), EndUs: 30 * second}
		c.play(d)
		breaches, _ := Judge(d)
		rules := []string{}
		for _, b := range breaches {
			rules = append(rules, b.Rule)
		}
		if c.want == "" && len(rules) > 0 || c.want != "" && !slices.Contains(rules, c.want) {
			t.Errorf("%s: %v, want %q", c.name, breaches, c.want)
		}
	}
}
