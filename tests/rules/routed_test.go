package rules

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/tests/history"
	"petreltide/tests/platform/replica"
)

const second = int64(1_000_000)

func core(names ...string) []Member {
	out := []Member{}
	for _, n := range names {
		out = append(out, Member{Machine: n, ToUs: Open})
	}
	return out
}

func bothWays(a, b string, fromUs, toUs int64) []Partition {
	return []Partition{{a, b, fromUs, toUs}, {b, a, fromUs, toUs}}
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
		{"a core machine was killed a moment ago", Day{Core: three, Faults: []FaultInterval{{Machine: "a", FromUs: 18 * second, ToUs: Open, Down: true}}}, 20 * second, false, false},
		{"one is dead for longer", Day{Core: three, Faults: []FaultInterval{{Machine: "a", FromUs: 10 * second, ToUs: Open, Down: true}}}, 20 * second, true, true},
		{"it was started a moment ago", Day{Core: three, Faults: []FaultInterval{{Machine: "a", FromUs: 2 * second, ToUs: 18 * second, Down: true}}}, 20 * second, false, false},
		{"most are dead", Day{Core: three, Faults: []FaultInterval{{Machine: "a", FromUs: second, ToUs: Open, Down: true}, {Machine: "b", FromUs: second, ToUs: Open, Down: true}}}, 20 * second, false, false},
		{"a slow disk stands", Day{Core: three, Faults: []FaultInterval{{Machine: "a", FromUs: 2 * second, ToUs: 30 * second, Slow: true}}}, 20 * second, false, false},
		{"one is cut off for longer, and the front from it", Day{Core: three, Partitions: append(append(bothWays("a", "b", 5*second, Open), bothWays("a", "c", 5*second, Open)...), bothWays("a", "front", 5*second, Open)...)}, 20 * second, true, true},
		{"the front is cut from one of most", Day{Core: three, Partitions: bothWays("a", "front", 5*second, Open)}, 20 * second, true, false},
		{"that cut has healed just now", Day{Core: three, Partitions: bothWays("a", "front", 5*second, 18*second)}, 20 * second, true, false},
		{"the front was frozen", Day{Core: three, Faults: []FaultInterval{{Machine: "front", FromUs: 10 * second, ToUs: 18 * second}}}, 20 * second, true, false},
		{"the front is cut from one that dies a moment later", Day{Core: three, Partitions: bothWays("a", "front", 5*second, Open), Faults: []FaultInterval{{Machine: "a", FromUs: 8 * second, ToUs: Open, Down: true}}}, 20 * second, true, true},
		{"the front is cut from one that was dead and has come back", Day{Core: three, Partitions: bothWays("a", "front", 5*second, Open), Faults: []FaultInterval{{Machine: "a", FromUs: second, ToUs: 8 * second, Down: true}}}, 20 * second, true, false},
		{"another front was", Day{Core: three, Faults: []FaultInterval{{Machine: "other", FromUs: 10 * second, ToUs: 18 * second}}}, 20 * second, true, true},
		{"a closing fault took most: twice the time", Day{Core: three, Closing: &Closing{AtUs: 10 * second, BackUs: 15 * second, MajorityDown: true}}, 20 * second, false, false},
		{"and it is over", Day{Core: three, Closing: &Closing{AtUs: 10 * second, BackUs: 15 * second, MajorityDown: true}}, 22 * second, true, true},
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

// A machine of the core is held to the same paths as any other: one that is cut off from the rest is out of touch, and so are two
// that do not reach each other while both reach most.
func TestCoreMachinesWithoutAPathAreOutOfTouch(t *testing.T) {
	for _, c := range []struct {
		name       string
		partitions []Partition
		in         map[string]bool
	}{
		{"no cut", nil, map[string]bool{"a": true, "b": true, "c": true}},
		{"one is cut off", append(bothWays("a", "b", 5*second, Open), bothWays("a", "c", 5*second, Open)...), map[string]bool{"a": false, "b": true, "c": true}},
		{"two do not reach each other", bothWays("a", "b", 5*second, Open), map[string]bool{"a": false, "b": false, "c": true}},
	} {
		day := Day{Core: core("a", "b", "c"), Partitions: c.partitions, Bounds: SmallBounds(0)}
		touch := newTouch(&day)
		for machine, want := range c.in {
			if got := touch.in(machine, 20*second); got != want {
				t.Errorf("%s: %s in touch %v", c.name, machine, got)
			}
		}
	}
}

func mark(n uint64, services ...string) []RouteSeen {
	return []RouteSeen{{Name: "r", Host: "h", Prefix: "/r/", Services: services}, {Name: fmt.Sprint(n), Host: "h", Prefix: fmt.Sprintf("/v%d/", n), Services: []string{"s"}}}
}

func asked(id, path string, sentUs int64) *Attempt {
	return &Attempt{ID: id, Method: "POST", Host: "h", Path: path, Machine: "front", Incarnation: 1, SentUs: sentUs, ReadUs: sentUs, EndUs: sentUs + second/10, LimitUs: 5 * second, Status: 200, Complete: true,
		Seal: replica.Seal("i", id), ResponseID: id, Response: replica.Text("", 1, id)}
}

func ran(t *Attempt, service string) *replica.Arrival {
	return &replica.Arrival{Request: t.ID, Replica: "i", Service: service, Method: t.Method, Host: t.Host, Path: t.Path, Nonce: t.ID, AtUs: t.SentUs + 1000, RanUs: t.SentUs + 1000, EndUs: t.EndUs, Status: 200, Whole: true}
}

// leaves adds clients of a stream that leave, and when, after that, their requests reach a replica and end there.
func leaves(d *Day, count int, arrivesUs, endsUs int64) {
	for i := range count {
		t := asked(fmt.Sprint("left-", i), "/r/x", 14*second)
		t.Stream, t.HungUp, t.Complete, t.Status, t.Seal, t.ResponseID, t.Response = true, true, false, 0, "", "", ""
		a := ran(t, "z")
		a.AtUs, a.RanUs, a.EndUs, a.Whole = t.EndUs+arrivesUs, t.EndUs+arrivesUs, t.EndUs+endsUs, false
		d.Attempts, d.Arrivals = append(d.Attempts, t), append(d.Arrivals, a)
	}
}

// Each line of the rules on configurations, orders and leaving, on the least day that shows it.
func TestRoutedRulesOnSmallDays(t *testing.T) {
	versions := func() []*Version {
		return []*Version{{Number: 1, Valid: true, Routes: mark(1, "s"), SentUs: second, AckedUs: 2 * second}, {Number: 2, Base: 1, Valid: true, Routes: mark(2, "z"), SentUs: 10 * second, AckedUs: 11 * second}}
	}
	served := func(d *Day, id, path string, sentUs int64, service string) {
		try := asked(id, path, sentUs)
		d.Attempts = append(d.Attempts, try)
		d.Arrivals = append(d.Arrivals, ran(try, service))
	}
	streamed := func(d *Day, pieces ...int) {
		served(d, "1", "/r/x", 14*second, "z")
		t := d.Attempts[0]
		t.Stream, t.Body, d.Arrivals[0].Body = true, "b/3", "b/3"
		for _, n := range pieces {
			t.Events = append(t.Events, EventSeen{N: n, Text: replica.Text("b/3", n, "1")})
		}
	}
	// keyed has two versions that differ in the holders of keys alone, and a request with a key that is run or refused.
	keyed := func(d *Day, key, tenant string, sentUs int64, status int) {
		if d.Holders == nil {
			d.Holders, d.Keys = map[*Version]map[string]string{}, map[string]string{}
		}
		for i, holders := range []map[string]string{{"dropped": "one", "moved": "one"}, {"moved": "two", "added": "two"}} {
			d.Versions[i].Routes, d.Holders[d.Versions[i]] = mark(0, "s"), holders
		}
		served(d, fmt.Sprint(len(d.Attempts)), "/r/x", sentUs, "s")
		try, ran := d.Attempts[len(d.Attempts)-1], d.Arrivals[len(d.Arrivals)-1]
		d.Keys[try.ID], ran.Tenant = key, tenant
		if status != 200 {
			try.Status, try.Seal, try.Response = status, "", ""
			d.Arrivals = d.Arrivals[:len(d.Arrivals)-1]
		}
	}
	// public is keyed in nobody's name, on a route that is public in both versions.
	public := func(d *Day, key string, status int) {
		keyed(d, key, "", 14*second, status)
		d.Versions[0].Routes[0].Public, d.Versions[1].Routes[0].Public = true, true
	}
	seen := map[string]bool{}
	order := func(atUs int64, holder string, fence uint64) replica.OrderSeen {
		return replica.OrderSeen{Replica: "i", From: holder, Holder: holder, Fence: fence, Operation: "loading", AtUs: atUs, Status: 202}
	}
	for _, c := range []struct {
		name string
		want string
		play func(d *Day)
	}{
		{"the new service runs it", "", func(d *Day) { served(d, "1", "/r/x", 14*second, "z") }},
		{"an old version is read as the newest, at a machine that is cut off", ReadOld, func(d *Day) {
			d.Partitions = append(bothWays("a", "b", 10*second, 20*second), bothWays("a", "c", 10*second, 20*second)...)
			d.Reads = []ControlRead{{Machine: "a", AskedUs: 12 * second, AtUs: 12*second + 1, Number: 1}}
		}},
		{"... asked before the newer one was acknowledged", "", func(d *Day) {
			d.Reads = []ControlRead{{Machine: "a", AskedUs: 11 * second, AtUs: 12 * second, Number: 1}}
		}},
		{"a change on the newest version is refused as if another were current", RefusedAs, func(d *Day) {
			v := &Version{Number: 3, Base: 2, Valid: true, Routes: mark(3, "z"), SentUs: 12 * second, RefusedUs: 13 * second, Status: 412}
			d.Versions = append(d.Versions, v)
			d.Refusals = []ControlRefusal{{Machine: "a", AtUs: 13 * second, Version: v, Status: 412}}
		}},
		{"... and another may have come before it", "", func(d *Day) {
			v := &Version{Number: 3, Base: 2, Valid: true, Routes: mark(3, "z"), SentUs: 12 * second, RefusedUs: 13 * second, Status: 412}
			d.EndUs = 15 * second
			d.Versions = append(d.Versions, v, &Version{Number: 4, Base: 2, Valid: true, Routes: mark(4, "z"), SentUs: 12 * second})
			d.Refusals = []ControlRefusal{{Machine: "a", AtUs: 13 * second, Version: v, Status: 412}}
		}},
		{"a valid change is refused as invalid", RefusedAs, func(d *Day) {
			v := &Version{Number: 3, Base: 2, Valid: true, Routes: mark(3, "z"), SentUs: 12 * second, RefusedUs: 13 * second, Status: 400}
			d.Versions = append(d.Versions, v)
			d.Refusals = []ControlRefusal{{Machine: "a", AtUs: 13 * second, Version: v, Status: 400}}
		}},
		{"a machine that is cut off acknowledges a leaving, and nobody else hears of it", LeaveLost, func(d *Day) {
			d.Partitions = append(bothWays("a", "b", 5*second, 29*second), bothWays("a", "c", 5*second, 29*second)...)
			d.Deregistrations = []*Deregistration{{Replica: "i", Machine: "a", AnnouncedUs: 14 * second, AckedUs: 14 * second, RemovedUs: 25 * second}}
			served(d, "1", "/r/x", 17*second, "z")
		}},
		{"one of two under one number is read back", "", func(d *Day) {
			for _, v := range d.Versions {
				v.Sent = fmt.Sprint(v.Number)
			}
			loser := &Version{Number: 2, Base: 1, Valid: true, Routes: mark(2, "q"), SentUs: 10 * second, RefusedUs: 11 * second, Status: 412, Sent: "the loser"}
			d.Versions = append([]*Version{loser}, d.Versions...)
			d.Read = &FinalRead{Received: true, Number: 2, Sent: "2"}
		}},
		{"the loser of two under one number is read back", ConfigNot, func(d *Day) {
			loser := &Version{Number: 2, Base: 1, Valid: true, Routes: mark(2, "q"), SentUs: 10 * second, RefusedUs: 11 * second, Status: 412, Sent: "the loser"}
			d.Versions = append(d.Versions, loser)
			d.Read = &FinalRead{Received: true, Number: 2, Sent: "the loser"}
		}},
		{"an order that was acknowledged is sent again and refused", ConfigHistory, func(d *Day) {
			order := &history.Order{ID: "o", Version: 1, Content: "o"}
			d.Calls = []history.Call{{Order: order, FromUs: 1, ToUs: 2, Answer: history.Acknowledged}, {Order: order, FromUs: 3, ToUs: 4, Answer: history.Refused}}
		}},
		{"... and acknowledged", "", func(d *Day) {
			order := &history.Order{ID: "o", Version: 1, Content: "o"}
			d.Calls = []history.Call{{Order: order, FromUs: 1, ToUs: 2, Answer: history.Acknowledged}, {Order: order, FromUs: 3, ToUs: 4, Answer: history.Acknowledged}}
		}},
		{"the old service runs it within the bound", "", func(d *Day) { served(d, "1", "/r/x", 12*second, "s") }},
		{"the old service runs it after the bound", ConfigOld, func(d *Day) { served(d, "1", "/r/x", 14*second, "s") }},
		{"... while the core is unsettled", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "a", FromUs: 12 * second, ToUs: 13 * second, Down: true}}
			served(d, "1", "/r/x", 14*second, "s")
		}},
		{"... and after the outer bound", ConfigOld, func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "a", FromUs: 12 * second, ToUs: 17 * second, Down: true}}
			served(d, "1", "/r/x", 19*second, "s")
		}},
		{"a 404 though the route is there", ConfigOld, func(d *Day) {
			try := asked("1", "/v2/x", 14*second)
			try.Status = 404
			d.Attempts = append(d.Attempts, try)
		}},
		{"a machine goes back", ConfigBck, func(d *Day) {
			served(d, "1", "/v2/x", 10*second+second/2, "s")
			served(d, "2", "/r/x", 11*second, "s")
		}},
		{"another life of it may", "", func(d *Day) {
			served(d, "1", "/v2/x", 10*second+second/2, "s")
			served(d, "2", "/r/x", 11*second, "s")
			d.Attempts[1].Incarnation = 2
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
		{"an older one is read back", ConfigGon, func(d *Day) { d.Read = &FinalRead{Number: 1, Received: true} }},
		{"nothing is read back", ConfigGon, func(d *Day) { d.Read = &FinalRead{} }},
		{"a run after its leaving", Drain, func(d *Day) {
			d.Deregistrations = []*Deregistration{{Replica: "i", Machine: "a", AnnouncedUs: 12 * second, AckedUs: 12 * second}}
			served(d, "1", "/r/x", 15*second, "z")
		}},
		{"... acknowledged while the core was unsettled", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "b", FromUs: 11 * second, ToUs: Open, Down: true}}
			d.Deregistrations = []*Deregistration{{Replica: "i", Machine: "a", AnnouncedUs: 12 * second, AckedUs: 12 * second}}
			served(d, "1", "/r/x", 15*second, "z")
		}},
		{"two holders of a fence", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(9*second, "b", 1)} }},
		{"a lower fence", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 2), order(9*second, "a", 1)} }},
		{"turns within the lease", One, func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(3*second, "b", 2)} }},
		{"turns after it", "", func(d *Day) { d.Orders = []replica.OrderSeen{order(second, "a", 1), order(5*second, "b", 2)} }},
		{"turns by a thawed sender", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "a", Kind: "freeze", FromUs: 2 * second, ToUs: 8 * second, Down: true}}
			d.Orders = []replica.OrderSeen{order(7*second, "b", 2), order(8*second+second/10, "a", 1)}
		}},
		{"more loads than the store gives", LoadRate, func(d *Day) {
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
		{"an answer with no replica's seal", Mixed, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Seal = "x"
		}},
		{"another request's answer", Mixed, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].ResponseID = "2"
		}},
		{"a success where the replica had failed", Mixed, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Arrivals[0].Status = 500
		}},
		{"a body that is cut and looks whole", Mixed, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Response = d.Attempts[0].Response[:5]
		}},
		{"bytes on a connection where nothing waits", Mixed, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Unordered = "bytes that belong to no request"
		}},
		{"a request that nobody sent", Unasked, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Arrivals[0].Request = "7"
			d.Attempts[0].Status = 0
		}},
		{"in the name of its key's tenant", "", func(d *Day) { keyed(d, "moved", "two", 14*second, 200) }},
		{"in another tenant's name", Unasked, func(d *Day) { keyed(d, "added", "one", 14*second, 200) }},
		{"in the name of its key's former tenant, right after a freeze", Unasked, func(d *Day) {
			d.Faults = append(d.Faults, FaultInterval{Machine: "front", Kind: "freeze", FromUs: 12 * second, ToUs: 14*second - 1, Down: true})
			keyed(d, "moved", "one", 14*second, 200)
		}},
		{"... and its machine is cut off from the core", "", func(d *Day) {
			d.Partitions = append(d.Partitions, bothWays("front", "a", 5*second, 20*second)...)
			d.Partitions = append(d.Partitions, bothWays("front", "b", 5*second, 20*second)...)
			d.Partitions = append(d.Partitions, bothWays("front", "c", 5*second, 20*second)...)
			keyed(d, "moved", "one", 14*second, 200)
		}},
		{"in nobody's name", Unasked, func(d *Day) { keyed(d, "moved", "", 14*second, 200) }},
		{"with its client's key", Unasked, func(d *Day) {
			keyed(d, "moved", "two", 14*second, 200)
			d.Arrivals[0].Keyed = true
		}},
		{"for a key that nobody ever held", Route, func(d *Day) { keyed(d, "stray", "", 14*second, 200) }},
		{"... on a public route", Route, func(d *Day) { public(d, "stray", 200) }},
		{"no key on a public route", "", func(d *Day) { public(d, "", 200) }},
		{"... on another", Route, func(d *Day) { keyed(d, "", "", 14*second, 200) }},
		{"a 401 for a key that nobody holds on a public route", "", func(d *Day) { public(d, "stray", 401) }},
		{"... for none", ConfigOld, func(d *Day) { public(d, "", 401) }},
		{"for a key that was taken away, within the bound", "", func(d *Day) { keyed(d, "dropped", "one", 12*second, 200) }},
		{"... after the bound", ConfigOld, func(d *Day) { keyed(d, "dropped", "one", 14*second, 200) }},
		{"a 401 for a key that is new, within the bound", "", func(d *Day) { keyed(d, "added", "", 12*second, 401) }},
		{"... after the bound", ConfigOld, func(d *Day) { keyed(d, "added", "", 14*second, 401) }},
		{"a 401 for a key that nobody holds", "", func(d *Day) { keyed(d, "dropped", "", 14*second, 401) }},
		{"many for a key that somebody holds", Denied, func(d *Day) {
			for range 20 {
				keyed(d, "moved", "", 14*second, 401)
			}
		}},
		{"a request with another body", Unasked, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Arrivals[0].Body = "changed"
		}},
		{"two runs", Twice, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Arrivals = append(d.Arrivals, ran(d.Attempts[0], "z"))
		}},
		{"two runs of what may be repeated", "", func(d *Day) {
			for _, v := range d.Versions {
				v.Routes[0].Repeatable = true
			}
			served(d, "1", "/r/x", 14*second, "z")
			d.Arrivals = append(d.Arrivals, ran(d.Attempts[0], "z"))
		}},
		{"a second arrival that was turned away", "", func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			a := *d.Arrivals[0]
			a.RanUs, a.Turned, a.Status, a.Nonce = 0, 503, 503, "none"
			d.Arrivals = append(d.Arrivals, &a)
		}},
		{"a refusal of what has run", Refused, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status = 503
		}},
		{"a refusal of what runs later", Refused, func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status, d.Arrivals[0].RanUs = 429, 16*second
		}},
		{"a 502 for what has run", "", func(d *Day) {
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status = 502
		}},
		{"proper requests ended with a 400", Denied, func(d *Day) {
			for i := range 8 {
				try := asked(fmt.Sprint(i), "/r/x", 14*second+int64(i))
				try.Status = 400
				d.Attempts = append(d.Attempts, try)
			}
		}},
		{"a request cut after SIGTERM", LostWork, func(d *Day) {
			d.Terms = []Term{{Machine: "front", AtUs: 14*second + 50_000}}
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status, d.Attempts[0].Complete = 0, false
		}},
		{"... by a replica that broke off", "", func(d *Day) {
			d.Terms = []Term{{Machine: "front", AtUs: 14*second + 50_000}}
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status, d.Attempts[0].Complete, d.Arrivals[0].BrokeOff = 0, false, true
		}},
		{"a request cut after SIGHUP", LostWork, func(d *Day) {
			d.Terms = []Term{{Machine: "front", AtUs: 14*second + 50_000, Hup: true}}
			served(d, "1", "/r/x", 14*second, "z")
			d.Attempts[0].Status, d.Attempts[0].Complete = 0, false
		}},
		{"requests cut while configurations change", LostWork, func(d *Day) {
			for i := range 4 {
				served(d, fmt.Sprint(i), "/v2/x", 12*second+int64(i), "s")
				d.Attempts[i].Status, d.Attempts[i].Complete = 0, false
			}
		}},
		{"a stream without a piece", Order, func(d *Day) { streamed(d, 1, 3) }},
		{"a stream with a piece twice", Order, func(d *Day) { streamed(d, 1, 1, 2, 3) }},
		{"a stream that ends early as if complete", Order, func(d *Day) { streamed(d, 1, 2) }},
		{"a whole stream", "", func(d *Day) { streamed(d, 1, 2, 3) }},
		{"a stream of two runs", Order, func(d *Day) {
			streamed(d, 1, 2, 3)
			a := *d.Arrivals[0]
			a.Nonce, a.Last, a.RanUs = "other", 2, 0
			d.Arrivals = append(d.Arrivals, &a)
			d.Attempts[0].Events[2].Text = replica.Text("b/3", 3, "other")
		}},
		{"... on a route that lets it be taken up", "", func(d *Day) {
			for _, v := range d.Versions {
				v.Routes[0].Resumable, v.Routes[0].Repeatable = true, true
			}
			streamed(d, 1, 2, 3)
			a := *d.Arrivals[0]
			a.Nonce, a.Last = "other", 2
			d.Arrivals = append(d.Arrivals, &a)
			d.Attempts[0].Events[2].Text = replica.Text("b/3", 3, "other")
		}},
		{"a piece of another request", Mixed, func(d *Day) {
			streamed(d, 1, 2, 3)
			d.Attempts[0].Events[1].Text = replica.Text("c/3", 2, "1")
		}},
		{"little is served after the closing fault", Recover, func(d *Day) {
			d.Closing = &Closing{AtUs: 16 * second, BackUs: 17 * second}
			served(d, "1", "/r/x", 14*second, "z")
			served(d, "2", "/r/x", 30*second, "z")
			d.Attempts[1].Status = 502
		}},
		{"... within the time that it may take", "", func(d *Day) {
			d.Closing = &Closing{AtUs: 16 * second, BackUs: 17 * second}
			served(d, "1", "/r/x", 14*second, "z")
			served(d, "2", "/r/x", 28*second, "z")
			d.Attempts[1].Status = 502
		}},
		{"an order to hold more than there is room", Limit, func(d *Day) {
			o := order(second, "a", 1)
			o.Over = true
			d.Orders = []replica.OrderSeen{o}
		}},
		{"routes added later are hardly served", ConfigNew, func(d *Day) {
			for i := range 20 {
				served(d, fmt.Sprint("old", i), "/r/x", 14*second+int64(i), "z")
				served(d, fmt.Sprint("new", i), "/v2/x", 14*second+int64(i), "s")
				d.Attempts[len(d.Attempts)-1].Status = 502
			}
		}},
		{"... on a machine out of touch", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "front", FromUs: 13 * second, ToUs: 13 * second}}
			for i := range 20 {
				served(d, fmt.Sprint("old", i), "/r/x", 14*second+int64(i), "z")
				served(d, fmt.Sprint("new", i), "/v2/x", 14*second+int64(i), "s")
				d.Attempts[len(d.Attempts)-1].Status = 502
			}
		}},
		{"replicas that leave unheard", Acks, func(d *Day) {
			d.Deregistrations = []*Deregistration{{Replica: "i", Machine: "a", AnnouncedUs: 12 * second, RemovedUs: 20 * second}}
		}},
		{"... while links were in trouble", "", func(d *Day) {
			d.Partitions = bothWays("a", "i", 11*second, 21*second)
			d.Deregistrations = []*Deregistration{{Replica: "i", Machine: "a", AnnouncedUs: 12 * second, RemovedUs: 20 * second}}
		}},
		{"a class that is hardly served", Starved, func(d *Day) {
			for i := range 80 {
				served(d, fmt.Sprint(i), "/r/x", 14*second+int64(i), "z")
				d.Attempts[i].Class = []string{"much", "none"}[i%2]
				if i%2 == 1 {
					d.Attempts[i].Status = 502
				}
			}
		}},
		{"models, adapters or subjects that are never served", Starved, func(d *Day) {
			for i := range 64 {
				served(d, fmt.Sprint(i), "/r/x", 14*second+int64(i/8)*2*second, "z")
				d.Attempts[i].Class, d.Attempts[i].Subject = "k", fmt.Sprint(i%8)
				if i%8 < 4 {
					d.Attempts[i].Status = 502
				}
			}
		}},
		{"the largest are hardly served", Sizes, func(d *Day) {
			for i := range 60 {
				served(d, fmt.Sprint(i), "/r/x", 14*second+int64(i), "z")
				d.Attempts[i].Class, d.Attempts[i].Size, d.Attempts[i].Body, d.Arrivals[i].Body = "k", int64(i+1), fmt.Sprint(i), fmt.Sprint(i)
				d.Attempts[i].Response = replica.Text(d.Attempts[i].Body, 1, d.Attempts[i].ID)
				if i >= 54 {
					d.Attempts[i].Status = 502
				}
			}
		}},
		{"... at their first try only", "", func(d *Day) {
			for i := range 66 {
				n := min(i, 59)
				served(d, fmt.Sprint(i), "/r/x", 14*second+int64(i), "z")
				if i >= 60 {
					n = i - 6
				}
				t := d.Attempts[i]
				t.Class, t.Size, t.Body, d.Arrivals[i].Body = "k", int64(n+1), fmt.Sprint(n), fmt.Sprint(n)
				t.Response = replica.Text(t.Body, 1, t.ID)
				if i >= 54 && i < 60 {
					t.Status, d.Arrivals[i].RanUs = 503, 0
				}
			}
		}},
		{"... but a trouble broke them off", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "other", FromUs: 14 * second, ToUs: 15 * second, Down: true}}
			for i := range 60 {
				served(d, fmt.Sprint(i), "/r/x", 14*second+int64(i), "z")
				d.Attempts[i].Class, d.Attempts[i].Size, d.Attempts[i].Body, d.Arrivals[i].Body = "k", int64(i+1), fmt.Sprint(i), fmt.Sprint(i)
				d.Attempts[i].Response = replica.Text(d.Attempts[i].Body, 1, d.Attempts[i].ID)
				if i >= 54 {
					d.Attempts[i].Status, d.Attempts[i].Machine = 502, "other"
				}
			}
		}},
		{"requests reach a replica after their clients have left", Removal, func(d *Day) { leaves(d, 4, 600_000, 700_000) }},
		{"... but few", "", func(d *Day) { leaves(d, 3, 600_000, 700_000) }},
		{"... or soon after", "", func(d *Day) { leaves(d, 8, 300_000, 400_000) }},
		{"replicas work on for clients that have left", Removal, func(d *Day) { leaves(d, 8, -1000, 700_000) }},
		{"... but end soon", "", func(d *Day) { leaves(d, 8, -1000, 300_000) }},
		{"... at a machine that was in trouble", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "front", FromUs: 13 * second, ToUs: 15 * second}}
			leaves(d, 8, -1000, 700_000)
		}},
		{"a desk whose seeds were cut off knows an old configuration", Seeds, func(d *Day) {
			d.Versions = append(d.Versions, &Version{Number: 90, Valid: true, SentUs: 14 * second, AckedUs: 14 * second})
			d.Starts = []Start{{Machine: "front", StartUs: 15 * second, AtUs: 19 * second, Number: 1}}
		}},
		{"... on a machine out of touch", "", func(d *Day) {
			d.Faults = []FaultInterval{{Machine: "front", FromUs: 18 * second, ToUs: 18 * second}}
			d.Starts = []Start{{Machine: "front", StartUs: 15 * second, AtUs: 19 * second}}
		}},
		{"a gateway counts an ended attempt as open", Release, func(d *Day) { d.Released, d.Unreleased = 1, []string{"front counts 2, 1 run"} }},
		{"a replica that speaks is not known", Known, func(d *Day) { d.Known, d.Unknown = 2, []string{"i at front"} }},
		{"an order was taken, its acknowledgement lost, and it was refused", ConfigTwo, func(d *Day) {
			d.Versions[1].AckedUs, d.Versions[1].FirstLostAckUs, d.Versions[1].RefusedUs, d.Versions[1].Status = 0, 11*second, 12*second, 412
		}},
		{"an acknowledgement that was lost is one", "", func(d *Day) {
			d.Versions[1].AckedUs, d.Versions[1].FirstLostAckUs = 20*second, 11*second
		}},
	} {
		seen[c.want] = true
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
	for _, rule := range Routed {
		if !seen[rule] {
			t.Errorf("no small day breaks %s", rule)
		}
	}
}
