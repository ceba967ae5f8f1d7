package history

import (
	"fmt"
	"testing"
)

func order(id string, base, version uint64) *Order {
	return &Order{ID: id, Base: base, Version: version, Content: "content of " + id}
}

func spoiled(id string, base, version uint64) *Order {
	o := order(id, base, version)
	o.Spoiled = true
	return o
}

func sent(o *Order, fromUs, toUs int64, answer Answer) Call {
	return Call{Order: o, FromUs: fromUs, ToUs: toUs, Answer: answer}
}

func lost(o *Order, fromUs int64) Call { return Call{Order: o, FromUs: fromUs, Answer: Unclear} }

func read(o *Order, fromUs, toUs int64) Call {
	c := Call{FromUs: fromUs, ToUs: toUs, Answer: Acknowledged}
	if o != nil {
		c.Version, c.Content = o.Version, o.Content
	}
	return c
}

// Each history that may come, and each that must not, with what it breaks.
func TestHistoriesAreToldApart(t *testing.T) {
	a, rival, b := order("a", 0, 5), order("rival", 0, 5), order("b", 5, 6)
	stranger := order("stranger", 0, 9)
	for _, c := range []struct {
		name  string
		calls []Call
		want  Breach
	}{
		{"nothing", nil, ""},
		{"one winner of two under one number", []Call{sent(a, 1, 9, Acknowledged), sent(rival, 1, 8, Refused), read(a, 10, 11)}, ""},
		{"an unclear one took effect", []Call{lost(a, 1), sent(rival, 5, 6, Refused), read(a, 7, 8)}, ""},
		{"an unclear one took no effect", []Call{lost(a, 1), sent(rival, 5, 6, Acknowledged), read(rival, 7, 8)}, ""},
		{"an unclear one takes effect late", []Call{lost(b, 1), sent(a, 2, 3, Acknowledged), read(a, 4, 5), read(b, 6, 7)}, ""},
		{"sent again and acknowledged again", []Call{lost(a, 1), sent(a, 2, 3, Acknowledged), sent(b, 4, 5, Acknowledged), sent(a, 6, 7, Acknowledged), read(b, 8, 9)}, ""},
		{"sent again and left unclear", []Call{sent(a, 1, 2, Acknowledged), sent(b, 4, 5, Acknowledged), lost(a, 6)}, ""},
		{"a read beside a change gives either", []Call{sent(a, 1, 9, Acknowledged), read(nil, 2, 3), read(a, 4, 5)}, ""},
		{"a refused one is sent again and refused", []Call{sent(b, 1, 2, Refused), sent(a, 3, 4, Acknowledged), sent(b, 5, 6, Refused)}, ""},
		{"invalid or on another version: either answer will do", []Call{sent(spoiled("s", 0, 1), 1, 2, Refused), sent(spoiled("z", 0, 1), 1, 2, Invalid)}, ""},

		{"two winners", []Call{sent(a, 1, 9, Acknowledged), sent(rival, 1, 9, Acknowledged)}, TwoWinners},
		{"taken, then refused", []Call{sent(a, 1, 2, Acknowledged), sent(a, 3, 4, Refused)}, AcceptedThenRefused},
		{"refused, then taken", []Call{sent(b, 1, 2, Refused), sent(a, 3, 4, Acknowledged), sent(b, 5, 6, Acknowledged)}, AcceptedThenRefused},
		{"refused, and in force", []Call{sent(b, 1, 2, Refused), sent(a, 3, 4, Acknowledged), read(b, 5, 6)}, RefusedInForce},
		{"refused, and in force before", []Call{lost(a, 1), read(a, 2, 3), sent(a, 4, 5, Refused)}, RefusedInForce},
		{"an invalid one is acknowledged", []Call{sent(spoiled("s", 0, 1), 1, 2, Acknowledged)}, InvalidAccepted},
		{"an invalid one is in force", []Call{lost(spoiled("s", 0, 1), 1), read(spoiled("s", 0, 1), 2, 3)}, InvalidAccepted},
		{"what nobody sent", []Call{read(stranger, 1, 2)}, UnknownContent},
		{"an older version after a newer", []Call{sent(a, 1, 2, Acknowledged), sent(b, 3, 4, Acknowledged), read(a, 5, 6)}, NotLinearizable},
		{"read before it was sent", []Call{read(a, 1, 2), sent(a, 3, 4, Acknowledged)}, NotLinearizable},
		{"an acknowledged one is lost", []Call{sent(a, 1, 2, Acknowledged), read(nil, 3, 4)}, NotLinearizable},
		{"on top of what was never in force", []Call{sent(b, 1, 2, Acknowledged)}, NotLinearizable},
		{"refused though it fits, and nobody raced it", []Call{sent(a, 1, 2, Refused)}, NotLinearizable},
		{"valid, and called invalid", []Call{sent(a, 1, 2, Invalid)}, NotLinearizable},
		{"acknowledged only once its base has passed", []Call{sent(a, 1, 2, Acknowledged), sent(b, 3, 4, Acknowledged), sent(order("late", 5, 7), 5, 6, Acknowledged)}, TwoWinners},
		{"two unclear ones, both in force", []Call{lost(a, 1), lost(rival, 1), read(a, 2, 3), read(rival, 4, 5)}, NotLinearizable},
	} {
		broken := Judge(c.calls)
		got := Breach("")
		if len(broken) > 0 {
			got = broken[0].Breach
		}
		if got != c.want {
			t.Errorf("%s: %v, want %q", c.name, broken, c.want)
		}
	}
}

// Many orders without a clear answer, eight at a time, are decided within the bound.
func TestLongHistoriesAreDecided(t *testing.T) {
	calls, base, nowUs := []Call{}, uint64(0), int64(0)
	for round := range 60 {
		version := base + 1
		for n := range 8 {
			o := order(fmt.Sprint(round, "-", n), base, version)
			switch {
			case n == 0:
				calls = append(calls, sent(o, nowUs, nowUs+9, Acknowledged))
			case n == 1 && round%4 == 0:
				calls = append(calls, lost(o, nowUs))
			default:
				calls = append(calls, sent(o, nowUs+1, nowUs+10, Refused))
			}
		}
		calls = append(calls, read(calls[len(calls)-8].Order, nowUs+20, nowUs+21))
		base, nowUs = version, nowUs+30
	}
	if broken := Judge(calls); len(broken) > 0 {
		t.Fatal(broken)
	}
	calls = append(calls, read(calls[0].Order, nowUs, nowUs+1))
	if broken := Judge(calls); len(broken) != 1 || broken[0].Breach != NotLinearizable {
		t.Fatal(broken)
	}
}
