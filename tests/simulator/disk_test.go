package simulator

import (
	"fmt"
	"testing"

	"petreltide/internal/controlplane/chain"
)

// fullDisk plays one control node's disk filling up under demand and changes, and says what is wrong: the control node
// must live on, be out of the view within 1.2 s, and be back 4 s after its disk takes bytes again, while the
// others go on acknowledging.
func fullDisk(p DeclaredPlan, at int, durationUs int64, restart bool) string {
	s := New(p)
	s.operators.begin()
	for limitUs := s.nowUs + 40*second; !s.recovered() && s.nowUs < limitUs; {
		s.runUntil(s.nowUs + 100*millisecond)
	}
	s.generateCalls(s.nowUs + 40*second)
	s.operators.play(s.nowUs + 40*second)
	s.runUntil(s.nowUs + 3*second)
	o := s.controlNodes[0]
	order := o.core.Node.View().Replicas
	if len(order) != 3 {
		return fmt.Sprint("it begins with ", order)
	}
	for _, other := range s.controlNodes {
		if other.core.Node.Self().ID == order[at].ID {
			o = other
		}
	}
	boot := o.boot
	o.disk.fill(s, durationUs)
	backUs := s.nowUs + durationUs
	if restart {
		boot++
		s.crashControlNode(o, 0, 0, 300*millisecond)
	}
	s.runUntil(s.nowUs + 1200*millisecond)
	seated := func() bool {
		for _, other := range s.controlNodes {
			if n := other.core.Node; other != o && n.View().HasReplica(o.disk.identity) {
				return true
			}
		}
		return false
	}
	commit := func() (most uint64) {
		for _, other := range s.controlNodes {
			if other != o {
				most = max(most, other.core.Node.CommitIndex())
			}
		}
		return most
	}
	if seated() {
		return "its partners still count on it after 1.2 s: " + s.unsettledReason()
	}
	before := commit()
	for s.nowUs < backUs-200*millisecond {
		s.runUntil(s.nowUs + 100*millisecond)
		if !o.up || o.boot != boot {
			return "the office has ended"
		}
		if seated() {
			return "it has a seat while its disk is full: " + s.unsettledReason()
		}
	}
	if o.disk.refused < 3 {
		return fmt.Sprintf("its disk refused %d times", o.disk.refused)
	}
	if commit() <= before {
		return "nothing was acknowledged meanwhile: " + s.unsettledReason()
	}
	s.runUntil(backUs + 4*second)
	if n := o.core.Node; !o.up || !seated() || n.View().Position(n.Self().ID, n.Incarnation()) < 0 || n.WaitReason() != "" {
		return "it is not back 4 s after its disk takes bytes: " + s.unsettledReason()
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

func TestAControlNodeLivesOnWhileItsDiskIsFull(t *testing.T) {
	from, count := seeds(8)
	for _, day := range fullDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := from; seed < from+count; seed++ {
				p := plan(int64(seed), 0)
				if why := fullDisk(p, day.at, 2500*millisecond+int64(seed%5)*second, day.restart); why != "" {
					t.Fatalf("seed %d: %s", seed, why)
				}
			}
		})
	}
}

// Each of these breaks must be seen: a control node that ends itself, one that does not try again, and one that
// says it has synced what it has not.
func TestBreaksOnAFullDiskAreSeen(t *testing.T) {
	for _, plant := range []string{"frail-office", "one-try", "rash-disk"} {
		seen := ""
		for seed := int64(1); seed <= 4 && seen == ""; seed++ {
			p := plan(seed, 0)
			p.Plant = plant
			seen = fullDisk(p, 1, 4*second, false)
		}
		if seen == "" {
			t.Errorf("%s was not seen", plant)
		}
		t.Log(plant, ": ", seen)
	}
}

// powerLostKeepingACopy plays a control node that comes back and loses power while it puts its copy away, at a step and
// with some of the changed names lost, and says what is wrong: it must have its seat again 4 s after its second
// start, and no rule may break.
func powerLostKeepingACopy(p DeclaredPlan, at int, step snapshotStep, torn int) string {
	s := New(p)
	s.operators.begin()
	for limitUs := s.nowUs + 40*second; !s.recovered() && s.nowUs < limitUs; {
		s.runUntil(s.nowUs + 100*millisecond)
	}
	s.generateCalls(s.nowUs + 40*second)
	s.operators.play(s.nowUs + 40*second)
	s.runUntil(s.nowUs + 2*second)
	o := s.controlNodes[at]
	s.crashControlNode(o, 0, 0, 2*second)
	for limitUs := s.nowUs + 20*second; o.disk.snapshotInProgress == nil || o.disk.snapshotInProgress.step != step; {
		if s.nowUs > limitUs {
			return "it was given no copy: " + s.unsettledReason()
		}
		s.runUntil(s.nowUs + 50)
	}
	s.crashControlNode(o, 0, torn, 300*millisecond)
	backUs := s.nowUs + 300*millisecond
	s.runUntil(backUs + 5*second)
	if n := o.core.Node; !o.up || n.View().Position(n.Self().ID, n.Incarnation()) < 0 || n.WaitReason() != "" {
		return "it is not back 5 s after its second start: " + s.unsettledReason()
	}
	if len(s.watch.Breaches) > 0 {
		return fmt.Sprint(s.watch.Breaches)
	}
	return ""
}

func TestPowerLostWhileACopyIsKept(t *testing.T) {
	from, count := seeds(2)
	for step := nothingWritten; step < copySteps; step++ {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			t.Parallel()
			for seed := from; seed < from+count; seed++ {
				for torn := 0; torn < 4; torn++ {
					if why := powerLostKeepingACopy(plan(int64(seed), 0), (seed+torn)%3, step, torn); why != "" {
						t.Fatalf("seed %d, names %d: %s", seed, torn, why)
					}
				}
			}
		})
	}
}

// Names are kept or lost one by one: what is left of a fresh copy under way, for every step and choice.
func TestNamesAreKeptOrLostOneByOne(t *testing.T) {
	entry := func(i uint64) chain.Record { return chain.Record{Entry: &chain.Entry{Index: i}} }
	seen := map[string]bool{}
	for step := nothingWritten; step < copySteps; step++ {
		for torn := 0; torn < 4; torn++ {
			d := disk{records: []chain.Record{entry(1), entry(2)}}
			d.snapshotInProgress = &snapshotWrite{save: chain.Persist{Records: []chain.Record{entry(3)}, Snapshot: &chain.Snapshot{Index: 2}, Compact: true}, step: step}
			d.stop(torn)
			left := ""
			for _, r := range d.records {
				if r.Snapshot != nil {
					left += "c"
				} else {
					left += fmt.Sprint(r.Entry.Index)
				}
			}
			seen[left] = true
			if left != "12" && left != "123" && left != "12c3" && left != "c3" {
				t.Errorf("step %d, names %d: %s", step, torn, left)
			}
			if d.discardedTo < 2 && step > nothingWritten {
				t.Errorf("step %d, names %d: it holds %d", step, torn, d.discardedTo)
			}
		}
	}
	if len(seen) != 4 {
		t.Errorf("only %v", seen)
	}
}
