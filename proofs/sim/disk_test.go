package sim

import (
	"fmt"
	"testing"
)

// fullDisk plays one office's disk filling up under demand and changes, and says what is wrong: the office
// must live on, be out of the view within 1.2 s, and be back 4 s after its disk takes bytes again, while the
// others go on acknowledging.
func fullDisk(p Plan, at int, spanUs int64, restart bool) string {
	s := New(p)
	s.ops.begin()
	for limitUs := s.nowUs + 40*sec; !s.settled() && s.nowUs < limitUs; {
		s.runUntil(s.nowUs + 100*ms)
	}
	s.demand(s.nowUs + 40*sec)
	s.ops.play(s.nowUs + 40*sec)
	s.runUntil(s.nowUs + 3*sec)
	o := s.offices[0]
	order := o.core.Node.View().Order
	if len(order) != 3 {
		return fmt.Sprint("it begins with ", order)
	}
	for _, other := range s.offices {
		if other.core.Node.Me().ID == order[at].ID {
			o = other
		}
	}
	boot := o.boot
	o.disk.fill(s, spanUs)
	backUs := s.nowUs + spanUs
	if restart {
		boot++
		s.crashOffice(o, 0, 0, 300*ms)
	}
	s.runUntil(s.nowUs + 1200*ms)
	seated := func() bool {
		for _, other := range s.offices {
			if n := other.core.Node; other != o && n.View().Seated(o.disk.identity) {
				return true
			}
		}
		return false
	}
	commit := func() (most uint64) {
		for _, other := range s.offices {
			if other != o {
				most = max(most, other.core.Node.Commit())
			}
		}
		return most
	}
	if seated() {
		return "its partners still count on it after 1.2 s: " + s.why()
	}
	before := commit()
	for s.nowUs < backUs-200*ms {
		s.runUntil(s.nowUs + 100*ms)
		if !o.up || o.boot != boot {
			return "the office has ended"
		}
		if seated() {
			return "it has a seat while its disk is full: " + s.why()
		}
	}
	if o.disk.refused < 3 {
		return fmt.Sprintf("its disk refused %d times", o.disk.refused)
	}
	if commit() <= before {
		return "nothing was acknowledged meanwhile: " + s.why()
	}
	s.runUntil(backUs + 4*sec)
	if n := o.core.Node; !o.up || !seated() || n.View().Place(n.Me().ID, n.Inc()) < 0 || n.WaitsFor() != "" {
		return "it is not back 4 s after its disk takes bytes: " + s.why()
	}
	if len(s.watch.Breaches) > 0 {
		return fmt.Sprint(s.watch.Breaches)
	}
	return ""
}

var fullDays = []struct {
	name    string
	at      int
	restart bool
}{{"head", 0, false}, {"middle", 1, false}, {"tail", 2, false}, {"head, started anew meanwhile", 0, true}, {"tail, started anew meanwhile", 2, true}}

func TestAnOfficeLivesOnWhileItsDiskIsFull(t *testing.T) {
	from, count := seeds(8)
	for _, day := range fullDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := from; seed < from+count; seed++ {
				p := plan(int64(seed), 0)
				if why := fullDisk(p, day.at, 2500*ms+int64(seed%5)*sec, day.restart); why != "" {
					t.Fatalf("seed %d: %s", seed, why)
				}
			}
		})
	}
}

// Each of these breaks must be seen: an office that ends itself, one that does not try again, and one that
// says it has synced what it has not.
func TestBreaksOnAFullDiskAreSeen(t *testing.T) {
	for _, plant := range []string{"frail-office", "one-try", "rash-disk"} {
		seen := ""
		for seed := int64(1); seed <= 4 && seen == ""; seed++ {
			p := plan(seed, 0)
			p.Plant = plant
			seen = fullDisk(p, 1, 4*sec, false)
		}
		if seen == "" {
			t.Errorf("%s was not seen", plant)
		}
		t.Log(plant, ": ", seen)
	}
}
