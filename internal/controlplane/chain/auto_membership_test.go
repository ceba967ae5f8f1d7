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

// testCluster simulates a chain with automatic membership: links with delays and partitions, disks with latency, and machines
// that fail, lose their disks or are replaced at another address.
type testCluster struct {
	t        *testing.T
	r        *rand.Rand
	nowUs    int64
	members  []*testMember
	inFlight []inFlightMessage
	// refusesConnections makes the address of a process that has ended refuse connections.
	refusesConnections bool
	cutLinks           map[[2]string]bool
	seedAddrs          []string
	views              map[uint64]View
	acked              map[uint64]string
	lastAcked          uint64
	incarnations       int
	writes             int
	violation          string
	founderAddrs       []string
	minReplicas        int
	fleetTimings       bool
	// idle stops the periodic writes.
	idle bool
	// lossyLinks makes links duplicate, delay and reorder messages.
	lossyLinks bool
	// tenures checks which processes were ready as the tail.
	tenures tailTenures
	// slowestTakeoverUs is the longest time from the start of a successor to the end of its takeover.
	slowestTakeoverUs int64
}

type testMember struct {
	member       Member
	node         *Node
	disk         []Record
	pendingSyncs []pendingSync
	syncsHeld    bool
	removed      bool
	// paused suspends the process; messages to it are queued.
	paused bool
	opts   Options
	// tickOffsetUs is how much earlier than the other members it ticks.
	tickOffsetUs int64
	// diskCreatedUs is when its disk was last empty.
	diskCreatedUs int64
	// refusedAddrs are the addresses that refused this member's connections in this step.
	refusedAddrs []string
}

type pendingSync struct {
	atUs    int64
	persist Persist
}

type inFlightMessage struct {
	atUs     int64
	from, to string
	msg      Msg
}

func newTestCluster(t *testing.T, seed int64, controlNodes, founders int) *testCluster {
	tc := &testCluster{t: t, r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, cutLinks: map[[2]string]bool{}, views: map[uint64]View{}, acked: map[uint64]string{}, minReplicas: 2}
	for i := range controlNodes {
		tc.members = append(tc.members, &testMember{member: Member{ID: fmt.Sprintf("n%d-0", i), Name: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}})
	}
	for _, s := range tc.members[:founders] {
		tc.founderAddrs = append(tc.founderAddrs, s.member.Addr)
	}
	tc.seedAddrs = tc.founderAddrs
	return tc
}

func (tc *testCluster) start(s *testMember, first bool) {
	tc.incarnations++
	s.opts = Options{Self: s.member, Incarnation: fmt.Sprintf("%s/%d", s.member.ID, tc.incarnations), AutoMembership: true, MinReplicas: tc.minReplicas, MaxRetainedEntries: 30}
	if tc.fleetTimings {
		s.opts = withFleetTimings(s.opts)
	}
	if first {
		s.opts.BootstrapAddrs, s.opts.FirstStart = tc.founderAddrs, true
	}
	if len(s.disk) == 0 {
		s.diskCreatedUs = tc.nowUs
	}
	node, err := NewNode(s.opts, s.disk, tc.nowUs)
	if err != nil {
		tc.t.Fatal(err)
	}
	s.node, s.pendingSyncs = node, nil
	if tc.seedAddrs == nil {
		// Without seed addresses the first event is a tick.
		tc.step(s, Tick{})
		return
	}
	tc.step(s, AddrsLearned{Addrs: tc.seedAddrs})
}

func (tc *testCluster) stop(s *testMember) {
	s.node, s.pendingSyncs, s.syncsHeld, s.paused = nil, nil, false, false
	tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l inFlightMessage) bool { return l.to == s.member.Addr })
}

// wipe empties the disk of a control node, which restarts under the same name with a new ID.
func (tc *testCluster) wipe(s *testMember) {
	tc.stop(s)
	tc.incarnations++
	s.disk, s.member.ID = nil, fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
	tc.start(s, false)
}

// replace removes a machine permanently and starts an empty one with another name and address.
func (tc *testCluster) replace(s *testMember) {
	tc.stop(s)
	s.removed = true
	tc.incarnations++
	name := fmt.Sprint("n", 10+tc.incarnations)
	fresh := &testMember{member: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	tc.members = append(tc.members, fresh)
	tc.seedAddrs = nil
	for _, o := range tc.members {
		if !o.removed && o != fresh && len(tc.seedAddrs) < 3 {
			tc.seedAddrs = append(tc.seedAddrs, o.member.Addr)
		}
	}
	tc.start(fresh, false)
}

func (tc *testCluster) memberAt(addr string) *testMember {
	for _, s := range tc.members {
		if s.member.Addr == addr && !s.removed {
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
			to := tc.memberAt(e.Addr)
			switch {
			case to == nil || to == s || tc.isPartitioned(s.member.Addr, to.member.Addr):
			case to.node != nil:
				tc.deliverLater(s.member.Addr, to.member.Addr, e.Msg)
			case tc.refusesConnections && !slices.Contains(s.refusedAddrs, e.Addr):
				s.refusedAddrs = append(s.refusedAddrs, e.Addr)
			}
		case Persist:
			us := tc.nowUs + tc.r.Int63n(8*clock.Ms)
			if n := len(s.pendingSyncs); n > 0 {
				us = max(us, s.pendingSyncs[n-1].atUs)
			}
			s.pendingSyncs = append(s.pendingSyncs, pendingSync{us, e})
		case Applied:
			tc.recordApplied(s, e)
		case ViewInstalled:
			tc.recordView(e.View)
		}
	}
}

func (tc *testCluster) isPartitioned(a, b string) bool {
	return tc.cutLinks[[2]string{a, b}] || tc.cutLinks[[2]string{b, a}]
}

// deliverLater schedules the delivery of a message, in order between two control nodes unless the links are lossy.
func (tc *testCluster) deliverLater(from, to string, m Msg) {
	us := tc.nowUs + 1 + tc.r.Int63n(6*clock.Ms)
	for i := len(tc.inFlight) - 1; i >= 0; i-- {
		if tc.inFlight[i].from == from && tc.inFlight[i].to == to {
			us = max(us, tc.inFlight[i].atUs)
			break
		}
	}
	if !tc.lossyLinks {
		tc.inFlight = append(tc.inFlight, inFlightMessage{us, from, to, m})
		return
	}
	us = tc.nowUs + 1 + tc.r.Int63n(20*clock.Ms)
	if tc.r.Intn(30) == 0 {
		us += tc.r.Int63n(maxMessageDelayUs)
	}
	tc.inFlight = append(tc.inFlight, inFlightMessage{us, from, to, m})
	if tc.r.Intn(10) == 0 {
		tc.inFlight = append(tc.inFlight, inFlightMessage{us + tc.r.Int63n(maxMessageDelayUs), from, to, m})
	}
}

// maxMessageDelayUs is the maximum additional delay of a message, as senders time out after a second.
const maxMessageDelayUs = clock.Sec

// recordView checks that each view number is decided once, and that from one view to the next at most one voter is added and at
// most one removed.
func (tc *testCluster) recordView(v View) {
	if before, seen := tc.views[v.Number]; seen {
		if fmt.Sprint(before) != fmt.Sprint(v) {
			tc.violation = fmt.Sprintf("view %d was decided twice: %v and %v", v.Number, before, v)
		}
		return
	}
	tc.views[v.Number] = v
	if prior, seen := tc.views[v.Number-1]; seen {
		added, removed := 0, 0
		for _, m := range v.Voters {
			if !prior.IsVoter(m.ID) {
				added++
			}
		}
		for _, m := range prior.Voters {
			if !v.IsVoter(m.ID) {
				removed++
			}
		}
		if added > 1 || removed > 1 || len(v.Voters) < min(len(tc.founderAddrs), minVoters) {
			tc.violation = fmt.Sprintf("between views %d and %d %d voters were added and %d removed: %v and %v", prior.Number, v.Number, added, removed, prior.Voters, v.Voters)
		}
	}
}

func (tc *testCluster) recordApplied(s *testMember, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := tc.acked[a.Entry.Index]; seen && before != id {
		tc.violation = fmt.Sprintf("%s applied %s at index %d, where %s was acknowledged", s.member.ID, id, a.Entry.Index, before)
	}
	if s.node.IsTail() && s.node.AcceptsWrites() {
		tc.acked[a.Entry.Index], tc.lastAcked = id, max(tc.lastAcked, a.Entry.Index)
	}
}

const stepUs = 5 * clock.Ms

func (tc *testCluster) advance(us int64) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.nowUs += stepUs
		due := []inFlightMessage{}
		tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l inFlightMessage) bool {
			if to := tc.memberAt(l.to); l.atUs <= tc.nowUs && (to == nil || !to.paused) {
				due = append(due, l)
				return true
			}
			return false
		})
		for _, l := range due {
			if to := tc.memberAt(l.to); to != nil && !tc.isPartitioned(l.from, l.to) {
				tc.step(to, MessageReceived{Msg: &l.msg})
			}
		}
		for _, s := range tc.members {
			if s.paused {
				continue
			}
			refused := s.refusedAddrs
			s.refusedAddrs = nil
			for _, addr := range refused {
				tc.step(s, ConnectionRefused{Addr: addr})
			}
			for len(s.pendingSyncs) > 0 && s.pendingSyncs[0].atUs <= tc.nowUs && !s.syncsHeld {
				done := s.pendingSyncs[0].persist
				s.pendingSyncs = s.pendingSyncs[1:]
				if done.Compact {
					s.disk = nil
				}
				if done.Snapshot != nil {
					s.disk = append(slices.Clip(s.disk), Record{Snapshot: done.Snapshot})
				}
				s.disk = append(slices.Clip(s.disk), done.Records...)
				tc.step(s, Persisted{Seq: done.Seq})
			}
			if (tc.nowUs+s.tickOffsetUs)%(25*clock.Ms) == 0 {
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
			tc.step(s, ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint(doc.Name, s.member.ID), Config: &statemachine.ConfigChange{Doc: doc}}})
		}
	}
}

func (tc *testCluster) checkInvariants() {
	readyTails := []string{}
	for _, s := range tc.members {
		if s.node != nil {
			tc.lastAcked = max(tc.lastAcked, s.node.durableIndex())
		}
	}
	for _, s := range tc.members {
		if s.node != nil && s.node.IsTailReady(tc.nowUs) {
			readyTails = append(readyTails, s.member.ID)
			if s.node.CommitIndex() < tc.lastAcked {
				tc.violation = fmt.Sprintf("%s is ready as the tail at commit index %d, but index %d was acknowledged", s.member.ID, s.node.CommitIndex(), tc.lastAcked)
			}
			if violation := tc.tenures.check(s.node); violation != "" {
				tc.violation = violation
			}
		}
	}
	if len(readyTails) > 1 {
		tc.violation = fmt.Sprintf("two ready tails: %v", readyTails)
	}
	if tc.violation != "" {
		tc.t.Fatalf("at %d ms: %s", tc.nowUs/1000, tc.violation)
	}
}

func (tc *testCluster) remainingMembers() []*testMember {
	all := []*testMember{}
	for _, s := range tc.members {
		if !s.removed {
			all = append(all, s)
		}
	}
	return all
}

// unsettledReason returns why the cluster is not settled, or "". It is settled if the remaining control nodes are all replicas
// and the only voters in one view.
func (tc *testCluster) unsettledReason() string {
	var view View
	for _, s := range tc.remainingMembers() {
		if s.node == nil || !s.node.isServing() || !s.node.caughtUp {
			return fmt.Sprintf("%s is not serving or not caught up; running: %v", s.member.ID, s.node != nil)
		}
		if view.Number > 0 && s.node.view.Number != view.Number {
			return fmt.Sprintf("%s is in view %d, others are in view %d", s.member.ID, s.node.view.Number, view.Number)
		}
		view = s.node.view
	}
	if len(view.Replicas) != len(tc.remainingMembers()) {
		return fmt.Sprintf("got %d replicas, want %d", len(view.Replicas), len(tc.remainingMembers()))
	}
	for _, s := range tc.remainingMembers() {
		if !view.IsVoter(s.member.ID) {
			return fmt.Sprintf("%s is not a voter in %v", s.member.ID, view.Voters)
		}
	}
	if len(view.Voters) != len(tc.remainingMembers()) {
		return fmt.Sprintf("got %d voters, want %d: %v", len(view.Voters), len(tc.remainingMembers()), view.Voters)
	}
	return ""
}

func (tc *testCluster) requireSettled(withinUs int64, stage string) {
	tc.t.Helper()
	for endUs := tc.nowUs + withinUs; tc.nowUs < endUs; tc.advance(100 * clock.Ms) {
		if tc.unsettledReason() == "" {
			before := tc.lastAcked
			if tc.advance(500 * clock.Ms); tc.lastAcked > before {
				return
			}
		}
	}
	tc.t.Fatalf("%s: not settled after %d s: %s; last acknowledged index %d", stage, withinUs/clock.Sec, tc.unsettledReason(), tc.lastAcked)
}

func TestBootstrapByAddresses(t *testing.T) {
	for _, c := range []struct {
		name                   string
		controlNodes, founders int
		startUs                func(i int) int64
		laterUs                int64
	}{
		{"three founders", 3, 3, func(int) int64 { return 0 }, 0},
		{"three founders that start one after the other", 3, 3, func(i int) int64 { return int64(i) * 300 * clock.Ms }, 0},
		{"five members, three founders", 5, 3, func(int) int64 { return 0 }, 0},
		{"five members, the founders start last", 5, 3, func(i int) int64 { return int64(5-i) * 250 * clock.Ms }, 0},
		{"nine members, three founders", 9, 3, func(i int) int64 { return int64(i%4) * 90 * clock.Ms }, 0},
		{"two founders", 2, 2, func(int) int64 { return 0 }, 0},
		{"three founders, one starts much later", 3, 3, func(i int) int64 { return int64(i/2) * 6 * clock.Sec }, 6 * clock.Sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(0); seed < 4; seed++ {
				tc := newTestCluster(t, seed, c.controlNodes, c.founders)
				for us := int64(0); us <= 7*clock.Sec; us += 10 * clock.Ms {
					for i, s := range tc.members {
						if s.node == nil && us >= c.startUs(i) {
							tc.start(s, true)
						}
					}
					if tc.advance(10 * clock.Ms); us < c.laterUs && len(tc.views) > 0 {
						t.Fatal("the chain was founded before all founders had started")
					}
				}
				tc.requireSettled(30*clock.Sec, "bootstrap")
				if v := tc.views[1]; len(v.Voters) != c.founders {
					t.Errorf("got voters %v in view 1, want %d founders", v.Voters, c.founders)
				}
				if last := tc.members[0].node.view; last.ExtraVoters != 0 {
					t.Errorf("got %d extra voters after a first start, want 0: %v", last.ExtraVoters, last)
				}
			}
		})
	}
}

func newSettledCluster(t *testing.T, seed int64, controlNodes, founders int) *testCluster {
	tc := newTestCluster(t, seed, controlNodes, founders)
	for _, s := range tc.members {
		tc.start(s, true)
	}
	tc.requireSettled(30*clock.Sec, "bootstrap")
	return tc
}

func TestNewMemberReplacesLostVoter(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		tc := newSettledCluster(t, seed, 3+2*int(seed%2), 3)
		for n := range 4 {
			live := tc.remainingMembers()
			lost := live[tc.r.Intn(len(live))]
			votes := len(live[0].node.view.Voters)
			if n%2 == 0 {
				tc.replace(lost)
			} else {
				tc.wipe(lost)
			}
			tc.requireSettled(40*clock.Sec, "after a replacement or wipe")
			if now := tc.remainingMembers()[0].node.view; len(now.Voters) != votes || now.ExtraVoters != 0 {
				t.Fatalf("seed %d: got voters %v with %d extra, want %d voters with none extra", seed, now.Voters, now.ExtraVoters, votes)
			}
		}
	}
}

// If a new control node joins while the one that it replaces still runs, there is one voter too many. The replaced one is removed
// as a voter once its heartbeats stop.
func TestExtraVoterIsRemoved(t *testing.T) {
	for seed := int64(0); seed < 4; seed++ {
		tc := newSettledCluster(t, seed, 3, 3)
		leaving := tc.members[int(seed)%3]
		fresh := &testMember{member: Member{ID: "new-0", Name: "new", Addr: "anew"}}
		tc.members = append(tc.members, fresh)
		tc.start(fresh, false)
		tc.requireSettled(40*clock.Sec, "one member added")
		if v := fresh.node.view; len(v.Voters) != 4 || v.ExtraVoters != 1 {
			t.Fatalf("seed %d: got voters %v with %d extra, want 4 with 1 extra", seed, v.Voters, v.ExtraVoters)
		}
		tc.stop(leaving)
		leaving.removed = true
		tc.requireSettled(40*clock.Sec, "one member removed")
		if v := fresh.node.view; len(v.Voters) != 3 || v.ExtraVoters != 0 || v.IsVoter(leaving.member.ID) {
			t.Fatalf("seed %d: got voters %v with %d extra, want 3 remaining members with none extra", seed, v.Voters, v.ExtraVoters)
		}
	}
}

// A new control node may replace a voter that is only partitioned, as it cannot tell. The partitioned one then replaces the
// voter that was lost, so that no vote stays with a lost member.
func TestLostVoterIsReplacedAfterPartitionHeals(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		tc := newSettledCluster(t, seed, 5, 3)
		tc.cutLinks[[2]string{"a1", "a0"}], tc.cutLinks[[2]string{"a1", "a2"}], tc.cutLinks[[2]string{"a1", "a3"}], tc.cutLinks[[2]string{"a1", "a4"}] = true, true, true, true
		tc.advance(3 * clock.Sec)
		tc.replace(tc.members[2])
		tc.cutLinks[[2]string{"a1", tc.members[5].member.Addr}] = true
		tc.advance(6 * clock.Sec)
		clear(tc.cutLinks)
		tc.requireSettled(40*clock.Sec, "one member partitioned, one replaced")
	}
}

// Random sequences of crashes, stalled disks, partitions, wipes and replacements, with no more permanent losses at once than are
// tolerated: there is one chain, no acknowledged entry is lost, and finally all members have joined.
func TestAutoMembershipSurvivesRandomFaults(t *testing.T) {
	seeds := int64(60)
	if raceEnabled {
		seeds = 6
	}
	for seed := int64(0); seed < seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			controlNodes := []int{3, 3, 5}[seed%3]
			tc := newSettledCluster(t, seed, controlNodes, 3)
			viewsBefore := len(tc.views)
			for range 14 {
				live := tc.remainingMembers()
				s := live[tc.r.Intn(len(live))]
				switch tc.r.Intn(8) {
				case 0:
					tc.stop(s)
					tc.advance(tc.r.Int63n(3 * clock.Sec))
					tc.start(s, false)
				case 1:
					for _, o := range live {
						tc.stop(o)
					}
					tc.advance(tc.r.Int63n(clock.Sec))
					for _, o := range live {
						tc.start(o, false)
						tc.advance(tc.r.Int63n(200 * clock.Ms))
					}
				case 2:
					s.syncsHeld = true
					tc.advance(tc.r.Int63n(4 * clock.Sec))
					s.syncsHeld = false
				case 3, 4:
					for _, a := range live {
						for _, b := range live {
							if a != b && tc.r.Intn(3) == 0 {
								tc.cutLinks[[2]string{a.member.Addr, b.member.Addr}] = true
							}
						}
					}
					tc.advance(tc.r.Int63n(6 * clock.Sec))
					if tc.r.Intn(2) == 0 {
						tc.stop(s)
						tc.advance(tc.r.Int63n(2 * clock.Sec))
						tc.start(s, false)
					}
					clear(tc.cutLinks)
				case 5:
					tc.requireSettled(60*clock.Sec, "before a wipe")
					tc.wipe(s)
				case 6:
					tc.requireSettled(60*clock.Sec, "before a replacement")
					tc.replace(s)
				case 7:
					tc.requireSettled(60*clock.Sec, "before a wipe and a partition")
					tc.wipe(s)
					o := live[tc.r.Intn(len(live))]
					tc.cutLinks[[2]string{o.member.Addr, live[0].member.Addr}] = true
					tc.advance(tc.r.Int63n(4 * clock.Sec))
					clear(tc.cutLinks)
				}
				tc.advance(tc.r.Int63n(2 * clock.Sec))
			}
			tc.requireSettled(60*clock.Sec, "finally")
			if len(tc.views) < viewsBefore+3 || tc.lastAcked < 100 {
				t.Errorf("got %d views and last acknowledged index %d, want at least %d and 100 for a meaningful test", len(tc.views), tc.lastAcked, viewsBefore+3)
			}
		})
	}
}
