package chain

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"petreltide/internal/process/clock"
)

// memberExplorer is a box whose members take each other in, with machines that are lost, replaced, terminated and
// brought back. It keeps the platform's account of which losses count: at most one machine at a time (two of five) is
// down or has run for less than its time to catch up.
type memberExplorer struct {
	*smallChain
	// plant is a defect that the harness brings about.
	mutation mutation
	// losses counts the losses so far, of maxTotalLosses.
	losses, maxTotalLosses int
	// leaving is the machine that was told to end, -1 if none; goes says that it is removed for good.
	terminating      int
	terminateForGood bool
	// history is what was done to machines.
	history []string
}

func (me *memberExplorer) logAction(format string, args ...any) {
	me.history = append(slices.Clip(me.history), fmt.Sprintf("%.2f ", float64(me.nowUs)/1e6)+fmt.Sprintf(format, args...))
}

type mutation string

const (
	voteWithoutCopy mutation = "a newcomer's seat and vote without a copy"
	twoVoteChanges  mutation = "two votes change in one view"
	abruptExit      mutation = "one that was told to end goes at once"
	lostPromise     mutation = "a promise is forgotten"
)

// caughtUpTicks is the time to catch up, in ticks.
func (me *memberExplorer) caughtUpTicks() int {
	if me.maxLosses() > 1 {
		return int(catchUpTwoLossesUs/me.tickDurationUs()) + 1
	}
	return int(catchUpOneLossUs/me.tickDurationUs()) + 1
}

// tolerated is how many machines may be lost at once.
func (me *memberExplorer) maxLosses() int { return me.minReplicas - 1 }

func newMemberExplorer(count int, everyUs int64) *memberExplorer {
	sc := &smallChain{nowUs: clock.Sec, links: map[[2]int][]Msg{}, views: map[uint64]View{}, acked: map[uint64]string{}, autoMembership: true, minReplicas: (count-1)/2 + 1, tickIntervalUs: everyUs}
	for i := range count {
		name := fmt.Sprintf("m%d", i)
		sc.members = append(sc.members, &smallMember{member: Member{ID: name + "-1", Name: name, Addr: name}})
	}
	m := &memberExplorer{smallChain: sc, terminating: -1, maxTotalLosses: 1}
	for i := range sc.members {
		sc.start(i, count)
	}
	m.advanceSettled(m.caughtUpTicks() + 4)
	m.write()
	m.deliverAll()
	return m
}

func (me *memberExplorer) clone() *memberExplorer {
	c := *me
	c.smallChain = me.smallChain.clone()
	return &c
}

func (me *memberExplorer) stateKey() string {
	text := me.smallChain.stateKey()
	for _, p := range me.members {
		text += fmt.Sprint(p.removed, min(p.uptimeTicks, me.caughtUpTicks()))
	}
	return text + fmt.Sprint(me.losses, me.terminating, me.terminateForGood)
}

// elapse is a tick; those that run are a tick nearer to having caught up.
func (me *memberExplorer) advanceTick() {
	for _, p := range me.members {
		if p.node != nil {
			p.uptimeTicks++
		}
	}
	me.tick()
	me.dropHellos = false
	me.mutateDisks()
}

// rest lets time go by with all links and disks in order.
func (me *memberExplorer) advanceSettled(ticks int) {
	for range ticks {
		me.advanceTick()
		me.settleAll()
	}
	me.ticks = 0
}

func (me *memberExplorer) settleAll() {
	me.mutateProposals()
	me.deliverAll()
	me.endIfShutdownComplete()
}

// outstanding counts the machines that are down, or back for less than their time to catch up.
func (me *memberExplorer) unavailableCount() int {
	n := 0
	for _, p := range me.members {
		if !p.removed && (p.node == nil || p.uptimeTicks < me.caughtUpTicks()) {
			n++
		}
	}
	return n
}

// there counts the machines that have not gone for good.
func (me *memberExplorer) machineCount() int {
	n := 0
	for _, p := range me.members {
		if !p.removed {
			n++
		}
	}
	return n
}

// canLose: the platform may take one more machine now.
func (me *memberExplorer) canLose() bool {
	return me.losses < me.maxTotalLosses && me.terminating < 0 && me.unavailableCount() < me.maxLosses() && me.machineCount() > 2*me.maxLosses()
}

// fresh is an empty machine beside the others.
func (me *memberExplorer) addEmptyMachine() int {
	me.incarnations++
	name := fmt.Sprintf("m%d", 10+me.incarnations)
	me.members = append(me.members, &smallMember{member: Member{ID: name + "-1", Name: name, Addr: name}})
	i := len(me.members) - 1
	me.start(i, 0)
	return i
}

func (me *memberExplorer) lose(i int, how repairMethod) {
	me.losses++
	p := me.members[i]
	me.logAction("%s is lost: %s", p.member.ID, how)
	me.crash(i)
	p.uptimeTicks = 0
	switch how {
	case repairReplaced:
		p.removed = true
		me.addEmptyMachine()
	case repairEmptied:
		me.incarnations++
		p.disk, p.member.ID = nil, fmt.Sprintf("%s-%d", p.member.Name, me.incarnations)
	case repairReaddressed:
		me.incarnations++
		p.member.Addr = fmt.Sprintf("%s-%d", p.member.Name, me.incarnations)
	}
}

func (me *memberExplorer) startMachine(i int) {
	me.start(i, 0)
	me.logAction("%s starts", me.members[i].member.ID)
}

// terminate tells a process to end; it ends for good, or comes back with its disk.
func (me *memberExplorer) terminate(i int, forGood bool) {
	me.terminating, me.terminateForGood = i, forGood
	me.logAction("%s is told to end, for good %v", me.members[i].member.ID, forGood)
	me.step(i, ShutdownRequested{})
	me.endIfShutdownComplete()
}

// endIfShutdownComplete ends the process that was told to, once it says that it may.
func (me *memberExplorer) endIfShutdownComplete() {
	i := me.terminating
	if i < 0 || me.members[i].node == nil || (!me.members[i].node.ShutdownComplete() && me.mutation != abruptExit) {
		return
	}
	me.logAction("%s has ended", me.members[i].member.ID)
	me.crash(i)
	me.members[i].uptimeTicks = 0
	me.members[i].removed = me.terminateForGood
	me.terminating = -1
}

// tamper plants a second change of votes beside one that is proposed.
func (me *memberExplorer) mutateProposals() {
	if me.mutation != twoVoteChanges {
		return
	}
	for _, p := range me.members {
		if p.node == nil || p.node.proposal == nil || !p.node.proposal.preparing {
			continue
		}
		want, view := &p.node.proposal.desired, p.node.view
		if countVoteChanges(view, *want) != 1 {
			continue
		}
		for i, v := range want.Voters {
			if view.IsVoter(v.ID) {
				want.Voters = slices.Clone(want.Voters)
				want.Voters[i] = Member{ID: v.ID + "-planted", Name: v.Name, Addr: v.Addr}
				break
			}
		}
	}
}

// mutateDisks takes from disks what the planted defect does not keep there: promises, or what a newcomer should have
// copied before it was seated.
func (me *memberExplorer) mutateDisks() {
	for i, p := range me.members {
		switch {
		case me.mutation == lostPromise:
			p.disk = slices.DeleteFunc(slices.Clone(p.disk), func(r Record) bool { return r.PromisedBallot != nil || r.AcceptedProposal != nil })
		case me.mutation == voteWithoutCopy && i >= 3:
			p.disk = slices.DeleteFunc(slices.Clone(p.disk), func(r Record) bool { return r.Snapshot != nil || r.Entry != nil })
		}
	}
}

// checkMachineInvariants holds the account of losses against what lies on the disks.
func (me *memberExplorer) checkMachineInvariants() {
	me.checkInvariants()
	if me.violation != "" {
		return
	}
	tolerable := me.maxLosses() - me.unavailableCount()
	if me.terminating >= 0 {
		tolerable--
	}
	tolerable = max(0, tolerable)
	for index, id := range me.acked {
		holders := 0
		for _, p := range me.members {
			if !p.removed && diskHolds(p.disk, index) {
				holders++
			}
		}
		if holders < tolerable+1 {
			me.violation = fmt.Sprintf("%s, acknowledged at %d, lies on %d disks when %d may be lost", id, index, holders, tolerable)
		}
	}
	for number, v := range me.views {
		if prior, seen := me.views[number-1]; seen && number > 1 && countVoteChanges(prior, v) > 1 {
			me.violation = fmt.Sprintf("more than one vote changed from %v to %v", prior, v)
		}
	}
}

// countVoteChanges counts the votes that came or went, whichever are more.
func countVoteChanges(a, b View) int {
	came, went := 0, 0
	for _, v := range b.Voters {
		if !a.IsVoter(v.ID) {
			came++
		}
	}
	for _, v := range a.Voters {
		if !b.IsVoter(v.ID) {
			went++
		}
	}
	return max(came, went)
}

// holds: what was acknowledged at an index is read back from this disk.
func diskHolds(disk []Record, index uint64) bool {
	for _, r := range disk {
		if (r.Entry != nil && r.Entry.Index == index) || (r.Snapshot != nil && r.Snapshot.Index >= index) {
			return true
		}
	}
	return false
}

// recovers: once all that is down has come back and nothing more is lost, all have seat and vote within the time to
// catch up, and a write is acknowledged.
func (me *memberExplorer) recoveryFailure() string {
	c := me.clone()
	for i, p := range c.members {
		if p.node == nil && !p.removed {
			c.start(i, 0)
		}
		p.diskFull = false
	}
	c.advanceSettled(c.caughtUpTicks())
	before := len(c.acked)
	c.write()
	c.settleAll()
	c.advanceSettled(2)
	if c.checkMachineInvariants(); c.violation != "" {
		return c.violation
	}
	if len(c.acked) <= before {
		state := ""
		for _, p := range c.members {
			if p.node != nil {
				state += fmt.Sprintf("; %s is %s in view %d of %d votes, leaving %v, waits for %q", p.member.ID, p.node.phase, p.node.view.Number, len(p.node.view.Voters), p.node.shuttingDown, p.node.WaitReason())
			}
		}
		return "nothing is acknowledged after the repair" + state
	}
	return ""
}

// hush loses all hellos until time goes by: all machines count as cut off.
func (me *memberExplorer) loseHellos() {
	me.dropHellos = true
	me.logAction("hellos are lost")
	for _, p := range me.members {
		p.uptimeTicks = 0
	}
}

// killAll ends every process at once; disks remain, and one machine comes back later than the others.
func (me *memberExplorer) killAll(late int, lateTicks int64) {
	me.terminating = -1
	me.logAction("all are killed, %d comes %d ticks late", late, lateTicks)
	for i, p := range me.members {
		if p.removed {
			continue
		}
		me.crash(i)
		p.uptimeTicks, p.restartableUs = 0, me.nowUs
		if i == late {
			p.restartableUs += lateTicks * me.tickDurationUs()
		}
	}
}

// lossActions are the changes of machines that may come now.
func (me *memberExplorer) lossActions() []func(*memberExplorer) {
	actions := []func(*memberExplorer){}
	if !me.canLose() {
		return actions
	}
	for i, p := range me.members {
		if p.node == nil || p.removed {
			continue
		}
		for _, how := range []repairMethod{repairReplaced, repairEmptied, repairRestarted, repairReaddressed} {
			actions = append(actions, func(c *memberExplorer) { c.lose(i, how) })
		}
	}
	return actions
}

// flowActions are deliveries, syncs and starts.
func (me *memberExplorer) flowActions() []func(*memberExplorer) {
	actions := []func(*memberExplorer){}
	for i, p := range me.members {
		if p.canSync() {
			actions = append(actions, func(c *memberExplorer) { c.syncNext(i) })
		}
		if p.node == nil && !p.removed && me.nowUs >= p.restartableUs {
			actions = append(actions, func(c *memberExplorer) { c.startMachine(i) })
		}
		for j := range me.members {
			if link := [2]int{i, j}; len(me.links[link]) > 0 {
				actions = append(actions, func(c *memberExplorer) { c.deliver(link) })
			}
		}
	}
	return actions
}

func (me *memberExplorer) apply(act func(*memberExplorer)) {
	me.mutateProposals()
	act(me)
	me.endIfShutdownComplete()
	me.checkMachineInvariants()
}

// memberScenarios begin where one machine's repair is under way or has just ended.
func memberScenarios() map[string]func() *memberExplorer {
	return map[string]func() *memberExplorer{
		"replaced for good, the next lost": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, repairReplaced)
			m.advanceSettled(m.caughtUpTicks())
			m.losses = 0
			return m
		},
		"replaced for good, and the next lost at once when the successor has caught up": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, repairReplaced)
			m.advanceSettled(m.caughtUpTicks())
			m.lose(1, repairReplaced)
			m.advanceSettled(2)
			return m
		},
		"the successor came first, the old one is told to end": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.terminate(0, true)
			return m
		},
		"the old head of four is told to end and comes back": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.terminate(1, false)
			return m
		},
		"an empty one joins as another is told to end": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(1, repairEmptied)
			m.advanceSettled(2)
			m.start(1, 0)
			m.advanceTick()
			m.terminate(2, true)
			return m
		},
		"a newcomer beside one that has fallen silent": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(2, repairReplaced)
			m.advanceSettled(2)
			return m
		},
		"one that was removed comes back with its old disk": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			disk, me := m.members[2].disk, m.members[2].member
			m.lose(2, repairReplaced)
			m.advanceSettled(m.caughtUpTicks())
			m.members[2].removed, m.members[2].disk, m.members[2].member = false, disk, me
			m.start(2, 0)
			m.losses = 0
			m.advanceTick()
			return m
		},
	}
}

// exploreFactor multiplies how far the explorer goes, by PETRELTIDE_EXPLORE.
func exploreFactor() int {
	if n, err := strconv.Atoi(os.Getenv("PETRELTIDE_EXPLORE")); err == nil && n > 1 {
		return n
	}
	return 1
}

type exploreStats struct {
	states, recoveries, views, acked, losses int
}

func (e *exploreStats) add(o exploreStats) {
	e.states, e.recoveries = e.states+o.states, e.recoveries+o.recoveries
	e.views, e.acked, e.losses = max(e.views, o.views), max(e.acked, o.acked), max(e.losses, o.losses)
}

// exploreMachines goes through every state within a depth, each once; of every stride-th of those at the edge it asks
// whether the chain recovers.
func exploreMachines(from *memberExplorer, depth, ticks, stride int) (e exploreStats, violation string) {
	seen := map[string]bool{from.stateKey(): true}
	frontier := []*memberExplorer{from}
	for d := range depth {
		var next []*memberExplorer
		for _, m := range frontier {
			actions := append(m.flowActions(), m.lossActions()...)
			if m.ticks < ticks {
				actions = append(actions, (*memberExplorer).advanceTick)
			}
			for _, act := range actions {
				c := m.clone()
				c.apply(act)
				if c.violation != "" {
					return e, fmt.Sprintf("depth %d: %s", d+1, c.violation)
				}
				if k := c.stateKey(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
				e.views, e.acked, e.losses = max(e.views, len(c.views)), max(e.acked, len(c.acked)), max(e.losses, c.losses)
			}
		}
		frontier = next
	}
	for i := 0; i < len(frontier); i += stride {
		e.recoveries++
		if why := frontier[i].recoveryFailure(); why != "" {
			return e, why
		}
	}
	e.states = len(seen)
	return e, ""
}

// forward takes the next action in a fixed order, or a tick.
func (me *memberExplorer) advanceFirstAction() {
	if acts := me.flowActions(); len(acts) > 0 {
		me.apply(acts[0])
		return
	}
	me.apply((*memberExplorer).advanceTick)
	me.ticks = 0
}

const (
	memberDepth         = 4
	maxMemberPathLength = 60
	memberPathStride    = 5
	recoveryStride      = 40
	memberWalks         = 180
	memberWalkActions   = 1500
	memberRaceWalks     = 4
	memberRaceStrides   = 1
)

// Repairs of machines in the small: every interleaving of deliveries, syncs, ticks, starts and one more loss up to a
// depth, from states all along the way through joining, leaving, replacing and coming back.
func TestEveryInterleavingOfRepairs(t *testing.T) {
	depth, stride := memberDepth, memberPathStride
	if raceEnabled {
		depth, stride = memberDepth-1, memberRaceStrides*memberPathStride
	} else if exploreFactor() > 1 {
		depth, stride = memberDepth+1, max(1, memberPathStride/exploreFactor())
	}
	all := memberScenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := all[name]()
			first := len(m.views)
			sum := exploreStats{}
			for n := range maxMemberPathLength {
				if n%stride == 0 {
					e, violation := exploreMachines(m.clone(), depth, 2, recoveryStride)
					if violation != "" {
						t.Fatalf("from state %d: %s", n, violation)
					}
					sum.add(e)
				}
				if m.advanceFirstAction(); m.violation != "" {
					t.Fatal(m.violation)
				}
			}
			t.Logf("%d states within %d actions, %d of them asked to recover, up to %d losses, %d view changes, %d acknowledged", sum.states, depth, sum.recoveries, sum.losses, sum.views-first, sum.acked)
			if sum.states < 200 || sum.recoveries < 5 {
				t.Errorf("%+v: it proves little", sum)
			}
		})
	}
}

// walkTickUs is finer than the ticks of the exhaustive search: what a repair takes is to be told from ticks.
const walkTickUs = 150 * clock.Ms

// walk is how a random walk goes: hellos are lost at one in helloLossInterval actions, and all machines are killed at one in
// killAllInterval.
type walkOptions struct {
	seed                               uint64
	memberCount, actions               int
	helloLossInterval, killAllInterval int
	mutation                           mutation
}

// walkMachines goes on at random for long: losses of every kind, each as soon as the platform may bring it, and
// processes that are told to end, for good with their successor started first or to come back.
func walkMachines(w walkOptions) (m *memberExplorer, violation string) {
	m = newMemberExplorer(w.memberCount, walkTickUs)
	m.mutation, m.maxTotalLosses = w.mutation, 1<<30
	r := w.seed*2654435761 + 1
	next := func(n int) int {
		r ^= r << 13
		r ^= r >> 7
		r ^= r << 17
		return int(r>>8) % n
	}
	for n := range w.actions {
		if next(w.helloLossInterval) == 0 {
			m.loseHellos()
		}
		switch flow := m.flowActions(); {
		case next(w.killAllInterval) == 0:
			late, ticks := next(len(m.members)), int64(next(10))
			m.apply(func(c *memberExplorer) { c.killAll(late, ticks) })
		case len(flow) > 0 && next(12) > 0:
			m.apply(flow[next(len(flow))])
		case m.canLose() && next(3) == 0:
			m.loseOrTerminate(next)
		case next(6) == 0:
			m.apply(func(c *memberExplorer) { c.write() })
		default:
			// Time goes by only with what is under way carried out: links and disks are in order.
			m.settleAll()
			m.apply((*memberExplorer).advanceTick)
			m.ticks = 0
		}
		if m.violation == "" && n%400 == 399 {
			m.violation = m.recoveryFailure()
		}
		if m.violation != "" {
			return m, fmt.Sprintf("action %d: %s\n%s", n, m.violation, strings.Join(m.history, "\n"))
		}
	}
	return m, ""
}

// disturb loses a machine, or tells one to end, with or without a successor that came first.
func (me *memberExplorer) loseOrTerminate(next func(int) int) {
	if next(3) > 0 {
		actions := me.lossActions()
		me.apply(actions[next(len(actions))])
		return
	}
	live := []int{}
	for i, p := range me.members {
		if p.node != nil && !p.removed {
			live = append(live, i)
		}
	}
	i, forGood := live[next(len(live))], next(2) == 0
	me.losses++
	if forGood {
		me.addEmptyMachine()
		me.advanceSettled(me.caughtUpTicks())
	}
	me.apply(func(c *memberExplorer) { c.terminate(i, forGood) })
}

func TestLongWalksThroughRepairs(t *testing.T) {
	walks := memberWalks * exploreFactor()
	if raceEnabled {
		walks = memberRaceWalks
	}
	const lanes = 6
	for lane := range lanes {
		t.Run(fmt.Sprint("lane ", lane), func(t *testing.T) {
			t.Parallel()
			views, losses, acked := 0, 0, 0
			for seed := lane; seed < walks; seed += lanes {
				m, violation := walkMachines(walkOptions{seed: uint64(seed), memberCount: []int{3, 3, 5}[seed/lanes%3], actions: memberWalkActions, helloLossInterval: 150, killAllInterval: 150})
				if violation != "" {
					t.Fatalf("walk %d: %s", seed, violation)
				}
				views, losses, acked = views+len(m.views), losses+m.losses, acked+len(m.acked)
			}
			t.Logf("%d actions a walk, %d views, %d losses, %d acknowledged", memberWalkActions, views, losses, acked)
			if losses < walks/lanes || acked < walks/lanes {
				t.Errorf("%d losses, %d acknowledged: the walks prove little", losses, acked)
			}
		})
	}
}

// Each rule of the explorer must be able to fail: a defect is planted, and a walk must find it.
func TestPlantedMembershipDefectsAreFound(t *testing.T) {
	// What the walks must say; an empty text stands for several ways in which it shows.
	for p, want := range map[mutation]string{voteWithoutCopy: "", twoVoteChanges: "more than one vote changed", abruptExit: "", lostPromise: "was decided twice"} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			w := walkOptions{memberCount: 3, actions: memberWalkActions, helloLossInterval: 150, killAllInterval: 150, mutation: p}
			if p == lostPromise {
				// It takes a decision that only one member knows as all are killed.
				w.helloLossInterval, w.killAllInterval = 15, 40
			}
			for w.seed = range uint64(100) {
				if _, violation := walkMachines(w); violation != "" && strings.Contains(violation, want) {
					t.Logf("walk %d: %.300s", w.seed, violation)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
