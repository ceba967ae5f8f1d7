package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// testCluster is a chain whose control nodes take each other in by themselves: links that delay and cut, disks that take
// their time, machines that die, lose their disks or are replaced at another address.
type testCluster struct {
	t        *testing.T
	r        *rand.Rand
	nowUs    int64
	members  []*testMember
	inFlight []message
	// refuses: the address of a process that has ended refuses connections.
	refuses      bool
	cuts         map[[2]string]bool
	seeds        []string
	views        map[uint64]View
	acked        map[uint64]string
	lastAcked    uint64
	incarnations int
	writes       int
	broken       string
	founderAddrs []string
	minReplicas  int
	paced        bool
	// idle: nobody writes.
	idle bool
	// lossyLinks links bring messages twice, late and out of their order.
	lossyLinks bool
	// tenures follows who was open as the tail.
	tenures tailTenures
	// slowestUs is the longest time from a successor's start until it had taken over.
	slowestUs int64
}

type testMember struct {
	me      Member
	node    *Node
	disk    []Record
	saves   []pendingSync
	slow    bool
	removed bool
	// paused: its process stands still. What is sent to it waits.
	paused bool
	opts   Options
	// phaseUs is by how much its ticks come before those of the others.
	phaseUs int64
	// bornUs is since when its disk has lasted.
	bornUs int64
	// refused are addresses that refused this member's connections in this step.
	refused []string
}

type pendingSync struct {
	atUs int64
	save Persist
}

type message struct {
	atUs     int64
	from, to string
	msg      Msg
}

func newTestCluster(t *testing.T, seed int64, controlNodes, founders int) *testCluster {
	y := &testCluster{t: t, r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, cuts: map[[2]string]bool{}, views: map[uint64]View{}, acked: map[uint64]string{}, minReplicas: 2}
	for i := range controlNodes {
		y.members = append(y.members, &testMember{me: Member{ID: fmt.Sprintf("n%d-0", i), Name: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}})
	}
	for _, s := range y.members[:founders] {
		y.founderAddrs = append(y.founderAddrs, s.me.Addr)
	}
	y.seeds = y.founderAddrs
	return y
}

func (tc *testCluster) start(s *testMember, first bool) {
	tc.incarnations++
	s.opts = Options{Self: s.me, Incarnation: fmt.Sprintf("%s/%d", s.me.ID, tc.incarnations), AutoMembership: true, MinReplicas: tc.minReplicas, MaxRetainedEntries: 30}
	if tc.paced {
		s.opts = paced(s.opts)
	}
	if first {
		s.opts.BootstrapAddrs, s.opts.FirstStart = tc.founderAddrs, true
	}
	if len(s.disk) == 0 {
		s.bornUs = tc.nowUs
	}
	node, err := NewNode(s.opts, s.disk, tc.nowUs)
	if err != nil {
		tc.t.Fatal(err)
	}
	s.node, s.saves = node, nil
	if tc.seeds == nil {
		// Without seeds a start is a tick.
		tc.step(s, Tick{})
		return
	}
	tc.step(s, AddrsLearned{Addrs: tc.seeds})
}

func (tc *testCluster) stop(s *testMember) {
	s.node, s.saves, s.slow, s.paused = nil, nil, false, false
	tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l message) bool { return l.to == s.me.Addr })
}

// wipe takes a disk: the control node comes back under its name as another identity.
func (tc *testCluster) wipe(s *testMember) {
	tc.stop(s)
	tc.incarnations++
	s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, tc.incarnations)
	tc.start(s, false)
}

// replace takes a machine away for good; an empty one comes at another address under another name.
func (tc *testCluster) replace(s *testMember) {
	tc.stop(s)
	s.removed = true
	tc.incarnations++
	name := fmt.Sprint("n", 10+tc.incarnations)
	fresh := &testMember{me: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	tc.members = append(tc.members, fresh)
	tc.seeds = nil
	for _, o := range tc.members {
		if !o.removed && o != fresh && len(tc.seeds) < 3 {
			tc.seeds = append(tc.seeds, o.me.Addr)
		}
	}
	tc.start(fresh, false)
}

func (tc *testCluster) at(addr string) *testMember {
	for _, s := range tc.members {
		if s.me.Addr == addr && !s.removed {
			return s
		}
	}
	return nil
}

func (tc *testCluster) step(s *testMember, ev Event) {
	if s.node == nil {
		return
	}
	for _, e := range s.node.Step(tc.nowUs, ev) {
		switch e := e.(type) {
		case Send:
			to := tc.at(e.Addr)
			switch {
			case to == nil || to == s || tc.partitioned(s.me.Addr, to.me.Addr):
			case to.node != nil:
				tc.deliverLater(s.me.Addr, to.me.Addr, e.Msg)
			case tc.refuses && !slices.Contains(s.refused, e.Addr):
				s.refused = append(s.refused, e.Addr)
			}
		case Persist:
			us := tc.nowUs + tc.r.Int63n(8*clock.Ms)
			if n := len(s.saves); n > 0 {
				us = max(us, s.saves[n-1].atUs)
			}
			s.saves = append(s.saves, pendingSync{us, e})
		case Applied:
			tc.applied(s, e)
		case ViewInstalled:
			tc.viewed(e.View)
		}
	}
}

func (tc *testCluster) partitioned(a, b string) bool {
	return tc.cuts[[2]string{a, b}] || tc.cuts[[2]string{b, a}]
}

// deliverLater keeps the order of messages between two control nodes.
func (tc *testCluster) deliverLater(from, to string, m Msg) {
	us := tc.nowUs + 1 + tc.r.Int63n(6*clock.Ms)
	for i := len(tc.inFlight) - 1; i >= 0; i-- {
		if tc.inFlight[i].from == from && tc.inFlight[i].to == to {
			us = max(us, tc.inFlight[i].atUs)
			break
		}
	}
	if !tc.lossyLinks {
		tc.inFlight = append(tc.inFlight, message{us, from, to, m})
		return
	}
	us = tc.nowUs + 1 + tc.r.Int63n(20*clock.Ms)
	if tc.r.Intn(30) == 0 {
		us += tc.r.Int63n(lateMostUs)
	}
	tc.inFlight = append(tc.inFlight, message{us, from, to, m})
	if tc.r.Intn(10) == 0 {
		tc.inFlight = append(tc.inFlight, message{us + tc.r.Int63n(lateMostUs), from, to, m})
	}
}

// lateMostUs is how late a message comes at most: whoever sends it gives it up after a second.
const lateMostUs = clock.Sec

// viewed: a number stands for one view, which the voters of the one before decide alone; from one to the next
// at most one vote comes and one goes.
func (tc *testCluster) viewed(v View) {
	if before, seen := tc.views[v.Number]; seen {
		if fmt.Sprint(before) != fmt.Sprint(v) {
			tc.broken = fmt.Sprintf("view %d was decided twice: %v and %v", v.Number, before, v)
		}
		return
	}
	tc.views[v.Number] = v
	if prior, seen := tc.views[v.Number-1]; seen {
		came, went := 0, 0
		for _, m := range v.Voters {
			if !prior.IsVoter(m.ID) {
				came++
			}
		}
		for _, m := range prior.Voters {
			if !v.IsVoter(m.ID) {
				went++
			}
		}
		if came > 1 || went > 1 || len(v.Voters) < min(len(tc.founderAddrs), minVoters) {
			tc.broken = fmt.Sprintf("from view %d to %d %d votes came and %d went: %v and %v", prior.Number, v.Number, came, went, prior.Voters, v.Voters)
		}
	}
}

func (tc *testCluster) applied(s *testMember, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := tc.acked[a.Entry.Index]; seen && before != id {
		tc.broken = fmt.Sprintf("%s applies %s at %d, where %s was acknowledged", s.me.ID, id, a.Entry.Index, before)
	}
	if s.node.IsTail() && s.node.AcceptsWrites() {
		tc.acked[a.Entry.Index], tc.lastAcked = id, max(tc.lastAcked, a.Entry.Index)
	}
}

const yardStepUs = 5 * clock.Ms

func (tc *testCluster) advance(us int64) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.nowUs += yardStepUs
		due := []message{}
		tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l message) bool {
			if to := tc.at(l.to); l.atUs <= tc.nowUs && (to == nil || !to.paused) {
				due = append(due, l)
				return true
			}
			return false
		})
		for _, l := range due {
			if to := tc.at(l.to); to != nil && !tc.partitioned(l.from, l.to) {
				tc.step(to, MessageReceived{Msg: &l.msg})
			}
		}
		for _, s := range tc.members {
			if s.paused {
				continue
			}
			refused := s.refused
			s.refused = nil
			for _, addr := range refused {
				tc.step(s, ConnectionRefused{Addr: addr})
			}
			for len(s.saves) > 0 && s.saves[0].atUs <= tc.nowUs && !s.slow {
				done := s.saves[0].save
				s.saves = s.saves[1:]
				if done.Compact {
					s.disk = nil
				}
				if done.Snapshot != nil {
					s.disk = append(slices.Clip(s.disk), Record{Snapshot: done.Snapshot})
				}
				s.disk = append(slices.Clip(s.disk), done.Records...)
				tc.step(s, Persisted{Seq: done.Seq})
			}
			if (tc.nowUs+s.phaseUs)%(25*clock.Ms) == 0 {
				tc.step(s, Tick{})
			}
		}
		if tc.nowUs%(50*clock.Ms) == 0 && !tc.idle {
			tc.write()
		}
		tc.checkInvariants()
	}
}

func (tc *testCluster) write() {
	tc.writes++
	for _, s := range tc.members {
		if s.node != nil && s.node.IsHead() && !s.paused {
			doc := &configuration.Declaration{Name: fmt.Sprint("w", tc.writes)}
			tc.step(s, ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint(doc.Name, s.me.ID), Config: &statemachine.ConfigChange{Doc: doc}}})
		}
	}
}

func (tc *testCluster) checkInvariants() {
	open := []string{}
	for _, s := range tc.members {
		if s.node != nil {
			tc.lastAcked = max(tc.lastAcked, s.node.durableIndex())
		}
	}
	for _, s := range tc.members {
		if s.node != nil && s.node.IsTailReady(tc.nowUs) {
			open = append(open, s.me.ID)
			if s.node.CommitIndex() < tc.lastAcked {
				tc.broken = fmt.Sprintf("%s is open at %d, %d was acknowledged", s.me.ID, s.node.CommitIndex(), tc.lastAcked)
			}
			if broken := tc.tenures.check(s.node); broken != "" {
				tc.broken = broken
			}
		}
	}
	if len(open) > 1 {
		tc.broken = fmt.Sprintf("two open tails: %v", open)
	}
	if tc.broken != "" {
		tc.t.Fatalf("at %d ms: %s", tc.nowUs/1000, tc.broken)
	}
}

func (tc *testCluster) living() []*testMember {
	all := []*testMember{}
	for _, s := range tc.members {
		if !s.removed {
			all = append(all, s)
		}
	}
	return all
}

// unsettledReason: every control node that is there has a seat in one view and acknowledges; votes are theirs.
func (tc *testCluster) unsettledReason() string {
	var view View
	for _, s := range tc.living() {
		if s.node == nil || !s.node.serving() || !s.node.caughtUp {
			return fmt.Sprintf("%s has no seat: %v", s.me.ID, s.node != nil)
		}
		if view.Number > 0 && s.node.view.Number != view.Number {
			return fmt.Sprintf("%s is in view %d, others in %d", s.me.ID, s.node.view.Number, view.Number)
		}
		view = s.node.view
	}
	if len(view.Replicas) != len(tc.living()) {
		return fmt.Sprintf("%d seats for %d offices", len(view.Replicas), len(tc.living()))
	}
	for _, s := range tc.living() {
		if !view.IsVoter(s.me.ID) {
			return fmt.Sprintf("%s has no vote in %v", s.me.ID, view.Voters)
		}
	}
	if len(view.Voters) != len(tc.living()) {
		return fmt.Sprintf("%d votes for %d offices: %v", len(view.Voters), len(tc.living()), view.Voters)
	}
	return ""
}

func (tc *testCluster) requireSettled(withinUs int64, what string) {
	tc.t.Helper()
	for endUs := tc.nowUs + withinUs; tc.nowUs < endUs; tc.advance(100 * clock.Ms) {
		if tc.unsettledReason() == "" {
			before := tc.lastAcked
			if tc.advance(500 * clock.Ms); tc.lastAcked > before {
				return
			}
		}
	}
	tc.t.Fatalf("%s: after %d s %s, %d acknowledged", what, withinUs/clock.Sec, tc.unsettledReason(), tc.lastAcked)
}

func TestBootstrapByAddresses(t *testing.T) {
	for _, c := range []struct {
		name                   string
		controlNodes, founders int
		startUs                func(i int) int64
		laterUs                int64
	}{
		{"three", 3, 3, func(int) int64 { return 0 }, 0},
		{"three, one after the other", 3, 3, func(i int) int64 { return int64(i) * 300 * clock.Ms }, 0},
		{"five, three of them seeds", 5, 3, func(int) int64 { return 0 }, 0},
		{"five, the seeds come last", 5, 3, func(i int) int64 { return int64(5-i) * 250 * clock.Ms }, 0},
		{"nine, three of them seeds", 9, 3, func(i int) int64 { return int64(i%4) * 90 * clock.Ms }, 0},
		{"two", 2, 2, func(int) int64 { return 0 }, 0},
		{"three, one much later", 3, 3, func(i int) int64 { return int64(i/2) * 6 * clock.Sec }, 6 * clock.Sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(0); seed < 4; seed++ {
				y := newTestCluster(t, seed, c.controlNodes, c.founders)
				for us := int64(0); us <= 7*clock.Sec; us += 10 * clock.Ms {
					for i, s := range y.members {
						if s.node == nil && us >= c.startUs(i) {
							y.start(s, true)
						}
					}
					if y.advance(10 * clock.Ms); us < c.laterUs && len(y.views) > 0 {
						t.Fatal("founded without a founder")
					}
				}
				y.requireSettled(30*clock.Sec, "founding")
				if v := y.views[1]; len(v.Voters) != c.founders {
					t.Errorf("founded by %v", v.Voters)
				}
				if last := y.members[0].node.view; last.ExtraVoters != 0 {
					t.Errorf("votes of a first start count as extra: %v", last)
				}
			}
		})
	}
}

func grown(t *testing.T, seed int64, controlNodes, founders int) *testCluster {
	y := newTestCluster(t, seed, controlNodes, founders)
	for _, s := range y.members {
		y.start(s, true)
	}
	y.requireSettled(30*clock.Sec, "founding")
	return y
}

func TestNewMemberReplacesLostVoter(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		y := grown(t, seed, 3+2*int(seed%2), 3)
		for n := range 4 {
			live := y.living()
			lost := live[y.r.Intn(len(live))]
			votes := len(live[0].node.view.Voters)
			if n%2 == 0 {
				y.replace(lost)
			} else {
				y.wipe(lost)
			}
			y.requireSettled(40*clock.Sec, "a newcomer")
			if now := y.living()[0].node.view; len(now.Voters) != votes || now.ExtraVoters != 0 {
				t.Fatalf("seed %d: %d votes became %v, extra %d", seed, votes, now.Voters, now.ExtraVoters)
			}
		}
	}
}

// One that comes before the one it replaces has gone gets a vote of its own, and the vote of the silent one goes.
func TestExtraVoterIsRemoved(t *testing.T) {
	for seed := int64(0); seed < 4; seed++ {
		y := grown(t, seed, 3, 3)
		leaves := y.members[int(seed)%3]
		fresh := &testMember{me: Member{ID: "new-0", Name: "new", Addr: "anew"}}
		y.members = append(y.members, fresh)
		y.start(fresh, false)
		y.requireSettled(40*clock.Sec, "one more")
		if v := fresh.node.view; len(v.Voters) != 4 || v.ExtraVoters != 1 {
			t.Fatalf("seed %d: %v, extra %d", seed, v.Voters, v.ExtraVoters)
		}
		y.stop(leaves)
		leaves.removed = true
		y.requireSettled(40*clock.Sec, "one less")
		if v := fresh.node.view; len(v.Voters) != 3 || v.ExtraVoters != 0 || v.IsVoter(leaves.me.ID) {
			t.Fatalf("seed %d: %v, extra %d", seed, v.Voters, v.ExtraVoters)
		}
	}
}

// A newcomer may take the vote of a control node that is only cut off, as it cannot know; that one then takes the vote of
// the one that is gone. No vote stays with nobody.
func TestNoVoteStaysWithLostMember(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		y := grown(t, seed, 5, 3)
		y.cuts[[2]string{"a1", "a0"}], y.cuts[[2]string{"a1", "a2"}], y.cuts[[2]string{"a1", "a3"}], y.cuts[[2]string{"a1", "a4"}] = true, true, true, true
		y.advance(3 * clock.Sec)
		y.replace(y.members[2])
		y.cuts[[2]string{"a1", y.members[5].me.Addr}] = true
		y.advance(6 * clock.Sec)
		clear(y.cuts)
		y.requireSettled(40*clock.Sec, "one cut off, one replaced")
	}
}

// Long histories of machines that die, freeze their disks, are cut off, wiped and replaced, never more of them lost
// for good at once than may be: one chain, nothing acknowledged is lost, and in the end all are in it.
func TestSeededAutoMembership(t *testing.T) {
	seeds := int64(60)
	if raced {
		seeds = 6
	}
	for seed := int64(0); seed < seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			controlNodes := []int{3, 3, 5}[seed%3]
			y := grown(t, seed, controlNodes, 3)
			first := len(y.views)
			for range 14 {
				live := y.living()
				s := live[y.r.Intn(len(live))]
				switch y.r.Intn(8) {
				case 0:
					y.stop(s)
					y.advance(y.r.Int63n(3 * clock.Sec))
					y.start(s, false)
				case 1:
					for _, o := range live {
						y.stop(o)
					}
					y.advance(y.r.Int63n(clock.Sec))
					for _, o := range live {
						y.start(o, false)
						y.advance(y.r.Int63n(200 * clock.Ms))
					}
				case 2:
					s.slow = true
					y.advance(y.r.Int63n(4 * clock.Sec))
					s.slow = false
				case 3, 4:
					for _, a := range live {
						for _, b := range live {
							if a != b && y.r.Intn(3) == 0 {
								y.cuts[[2]string{a.me.Addr, b.me.Addr}] = true
							}
						}
					}
					y.advance(y.r.Int63n(6 * clock.Sec))
					if y.r.Intn(2) == 0 {
						y.stop(s)
						y.advance(y.r.Int63n(2 * clock.Sec))
						y.start(s, false)
					}
					clear(y.cuts)
				case 5:
					y.requireSettled(60*clock.Sec, "before a wipe")
					y.wipe(s)
				case 6:
					y.requireSettled(60*clock.Sec, "before a replacement")
					y.replace(s)
				case 7:
					y.requireSettled(60*clock.Sec, "before a wipe and a cut")
					y.wipe(s)
					o := live[y.r.Intn(len(live))]
					y.cuts[[2]string{o.me.Addr, live[0].me.Addr}] = true
					y.advance(y.r.Int63n(4 * clock.Sec))
					clear(y.cuts)
				}
				y.advance(y.r.Int63n(2 * clock.Sec))
			}
			y.requireSettled(60*clock.Sec, "in the end")
			if len(y.views) < first+3 || y.lastAcked < 100 {
				t.Errorf("%d views, %d acknowledged: it proves little", len(y.views), y.lastAcked)
			}
		})
	}
}
