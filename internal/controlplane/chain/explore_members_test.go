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

// memberExplorer is a smallChain with automatic membership, whose machines are lost, replaced, terminated and restarted. It allows
// as many losses as the platform does: at most one machine at a time (two of five) is down or has run for less than its time to
// catch up.
type memberExplorer struct {
	*smallChain
	// mutation is the defect that is injected; "" injects none.
	mutation mutation
	// losses counts the losses so far; maxTotalLosses bounds it.
	losses, maxTotalLosses int
	// terminating is the machine that was asked to shut down, -1 if none; terminateForGood says that it never restarts.
	terminating      int
	terminateForGood bool
	// removedSilently are the members that were taken away for good without a word.
	removedSilently []string
	// history logs the actions on machines.
	history []string
}

func (me *memberExplorer) logAction(format string, args ...any) {
	me.history = append(slices.Clip(me.history), fmt.Sprintf("%.2f ", float64(me.nowUs)/1e6)+fmt.Sprintf(format, args...))
}

type mutation string

const (
	voteWithoutCopy mutation = "a joining member becomes replica and voter without a snapshot"
	twoVoteChanges  mutation = "two voters change in one view"
	abruptExit      mutation = "a member ends at once when asked to shut down"
	lostPromise     mutation = "promises are not persisted"
)

// caughtUpTicks returns how many ticks to wait after a repair until the new member counts as caught up.
func (me *memberExplorer) caughtUpTicks() int {
	if me.maxLosses() > 1 {
		return int(catchUpTwoLossesUs/me.tickDurationUs()) + 1
	}
	return int(catchUpOneLossUs/me.tickDurationUs()) + 1
}

// maxLosses returns how many machines may be lost at once.
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

// advanceTick performs a tick and counts it for the running machines.
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

// advanceSettled advances the time with all messages delivered and all writes synced.
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

// unavailableCount returns how many machines are down, or have run for less than their time to catch up.
func (me *memberExplorer) unavailableCount() int {
	n := 0
	for _, p := range me.members {
		if !p.removed && (p.node == nil || p.uptimeTicks < me.caughtUpTicks()) {
			n++
		}
	}
	return n
}

// machineCount returns how many machines are not permanently removed.
func (me *memberExplorer) machineCount() int {
	n := 0
	for _, p := range me.members {
		if !p.removed {
			n++
		}
	}
	return n
}

// canLose reports whether one more machine may be lost now.
func (me *memberExplorer) canLose() bool {
	return me.losses < me.maxTotalLosses && me.terminating < 0 && me.unavailableCount() < me.maxLosses() && me.machineCount() > 2*me.maxLosses()
}

// addEmptyMachine starts an additional machine with an empty disk.
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
	me.logAction("%s lost: %s", p.member.ID, how)
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

// removeSilently takes a machine away for good without a word. It counts as no loss, as its successor has caught up.
func (me *memberExplorer) removeSilently(i int) {
	me.logAction("%s removed silently", me.members[i].member.ID)
	me.crash(i)
	me.members[i].uptimeTicks, me.members[i].removed = 0, true
	me.removedSilently = append(slices.Clip(me.removedSilently), me.members[i].member.ID)
}

// newestView returns the view with the highest number that was decided.
func (me *memberExplorer) newestView() View {
	newest := View{}
	for _, v := range me.views {
		if v.Number > newest.Number {
			newest = v
		}
	}
	return newest
}

// isTolerated reports whether the loss of a machine in this way is tolerated now. What is not is the replacement of the tie-breaker of a
// view which still has a voter that was removed silently: half of the voters are left, without it, and no process says that its disk is
// gone. A member that was asked to shut down hands its vote over before it ends, and the loss of its successor is tolerated right after.
func (me *memberExplorer) isTolerated(i int, how repairMethod) bool {
	newest := me.newestView()
	return how != repairReplaced || newest.TieBreaker != me.members[i].member.ID || !slices.ContainsFunc(me.removedSilently, newest.IsVoter)
}

func (me *memberExplorer) startMachine(i int) {
	me.start(i, 0)
	me.logAction("%s started", me.members[i].member.ID)
}

// terminate asks a process to shut down; its machine is removed permanently, or restarts with its disk.
func (me *memberExplorer) terminate(i int, forGood bool) {
	me.terminating, me.terminateForGood = i, forGood
	me.logAction("%s asked to shut down, permanently: %v", me.members[i].member.ID, forGood)
	me.step(i, ShutdownRequested{})
	me.endIfShutdownComplete()
}

// endIfShutdownComplete ends the process that was asked to shut down, once it reports that it may end.
func (me *memberExplorer) endIfShutdownComplete() {
	i := me.terminating
	if i < 0 || me.members[i].node == nil || (!me.members[i].node.ShutdownComplete() && me.mutation != abruptExit) {
		return
	}
	me.logAction("%s ended", me.members[i].member.ID)
	me.crash(i)
	me.members[i].uptimeTicks = 0
	me.members[i].removed = me.terminateForGood
	me.terminating = -1
}

// mutateProposals adds a second voter change to a proposal that has one, with the mutation twoVoteChanges.
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

// mutateDisks deletes the records that the mutation does not persist: promises, or the snapshot and entries that a joining member
// should hold before it becomes a replica.
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

// checkMachineInvariants checks that the disks hold enough replicas of each acknowledged entry for the losses that are still
// allowed, and that each view changes at most one voter.
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
			me.violation = fmt.Sprintf("%s, acknowledged at index %d, is on %d disks while %d may be lost", id, index, holders, tolerable)
		}
	}
	for number, v := range me.views {
		if uncovered := uncoveredLosses(v, me.maxLosses()); len(uncovered) > 0 {
			me.violation = fmt.Sprintf("losses that are tolerated in %v leave no quorum: %v", v, uncovered)
		}
		if prior, seen := me.views[number-1]; seen && number > 1 && countVoteChanges(prior, v) > 1 {
			me.violation = fmt.Sprintf("more than one voter changed from %v to %v", prior, v)
		}
	}
}

// countVoteChanges returns the number of voters that were added or removed, whichever is larger.
func countVoteChanges(a, b View) int {
	added, removed := 0, 0
	for _, v := range b.Voters {
		if !a.IsVoter(v.ID) {
			added++
		}
	}
	for _, v := range a.Voters {
		if !b.IsVoter(v.ID) {
			removed++
		}
	}
	return max(added, removed)
}

// diskHolds reports whether a disk holds the entry at an index, or a snapshot that includes it.
func diskHolds(disk []Record, index uint64) bool {
	for _, r := range disk {
		if (r.Entry != nil && r.Entry.Index == index) || (r.Snapshot != nil && r.Snapshot.Index >= index) {
			return true
		}
	}
	return false
}

// recoveryFailure restarts all machines that are down and loses none. It returns why no write is acknowledged after the time to
// catch up, or "".
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
				state += fmt.Sprintf("; %s is %s in view %d of %d voters, shutting down %v, waits for %q", p.member.ID, p.node.phase, p.node.view.Number, len(p.node.view.Voters), p.node.shuttingDown, p.node.WaitReason())
			}
		}
		return "no write is acknowledged after the repair" + state
	}
	return ""
}

// loseHellos drops all hellos until the next tick; all machines count as partitioned.
func (me *memberExplorer) loseHellos() {
	me.dropHellos = true
	me.logAction("hellos dropped")
	for _, p := range me.members {
		p.uptimeTicks = 0
	}
}

// killAll kills every process at once. The disks are kept, and one machine restarts later than the others.
func (me *memberExplorer) killAll(late int, lateTicks int64) {
	me.terminating = -1
	me.logAction("all killed, machine %d restarts %d ticks late", late, lateTicks)
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

// lossActions returns the losses of machines that are allowed now.
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
			if !me.isTolerated(i, how) {
				continue
			}
			actions = append(actions, func(c *memberExplorer) { c.lose(i, how) })
		}
	}
	return actions
}

// flowActions returns the possible deliveries, syncs and starts.
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

// memberScenarios returns start states in which the repair of a machine is in progress or has just ended.
func memberScenarios() map[string]func() *memberExplorer {
	return map[string]func() *memberExplorer{
		"a machine was replaced, then another may be lost": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, repairReplaced)
			m.advanceSettled(m.caughtUpTicks())
			m.losses = 0
			return m
		},
		"a machine was replaced, and another is lost once the successor has caught up": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, repairReplaced)
			m.advanceSettled(m.caughtUpTicks())
			m.lose(1, repairReplaced)
			m.advanceSettled(2)
			return m
		},
		"a successor has joined, and the old machine shuts down": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.terminate(0, true)
			return m
		},
		"the second member of four shuts down and restarts": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.terminate(1, false)
			return m
		},
		"a successor has joined, and the old machine goes silent": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.removeSilently(0)
			return m
		},
		"a successor has joined, the old machine goes silent and another loses its disk": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.removeSilently(1)
			m.advanceTick()
			m.lose(2, repairEmptied)
			return m
		},
		"a successor has joined, the old machine goes silent and the successor loses its disk": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			successor := m.addEmptyMachine()
			m.advanceSettled(m.caughtUpTicks())
			m.removeSilently(1)
			m.advanceTick()
			m.lose(successor, repairEmptied)
			return m
		},
		"a machine with an empty disk joins while another shuts down": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(1, repairEmptied)
			m.advanceSettled(2)
			m.start(1, 0)
			m.advanceTick()
			m.terminate(2, true)
			return m
		},
		"a new machine joins beside a silent one": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(2, repairReplaced)
			m.advanceSettled(2)
			return m
		},
		"a removed machine restarts with its old disk": func() *memberExplorer {
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

// exploreFactor returns by how much the exploration is extended, as set by PETRELTIDE_EXPLORE; at least 1.
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

// exploreMachines visits every state within a depth once, and checks the recovery of the chain from every stride-th state of the
// last depth.
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

// advanceFirstAction performs the first possible action in a fixed order, or a tick if there is none.
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

// Explores every interleaving of deliveries, syncs, ticks, starts and one more loss up to a depth, from states along the path
// through joins, shutdowns, replacements and restarts.
func TestInvariantsHoldInEveryInterleavingOfRepairs(t *testing.T) {
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
			viewsBefore := len(m.views)
			total := exploreStats{}
			for n := range maxMemberPathLength {
				if n%stride == 0 {
					e, violation := exploreMachines(m.clone(), depth, 2, recoveryStride)
					if violation != "" {
						t.Fatalf("from state %d: %s", n, violation)
					}
					total.add(e)
				}
				if m.advanceFirstAction(); m.violation != "" {
					t.Fatal(m.violation)
				}
			}
			t.Logf("%d states within %d actions, recovery checked from %d, up to %d losses, %d view changes, %d entries acknowledged", total.states, depth, total.recoveries, total.losses, total.views-viewsBefore, total.acked)
			if total.states < 200 || total.recoveries < 5 {
				t.Errorf("got %+v, want at least 200 states and 5 recoveries for a meaningful test", total)
			}
		})
	}
}

// walkTickUs is shorter than tickUs, the ticks of the exhaustive search, so that the duration of a repair can be measured in ticks.
const walkTickUs = 150 * clock.Ms

// walkOptions are the parameters of a random walk: hellos are dropped at one in helloLossInterval actions, and all machines are
// killed at one in killAllInterval.
type walkOptions struct {
	seed                               uint64
	memberCount, actions               int
	helloLossInterval, killAllInterval int
	mutation                           mutation
}

// walkMachines takes a long random walk. It loses machines in every way, each as soon as it is allowed, and shuts processes down,
// either permanently with a successor started first, or to restart.
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
			// Time advances only after all messages are delivered and all writes synced, as links and disks are healthy.
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

// loseOrTerminate loses a machine or asks one to shut down, with or without a successor started first.
func (me *memberExplorer) loseOrTerminate(next func(int) int) {
	if next(3) > 0 {
		if actions := me.lossActions(); len(actions) > 0 {
			me.apply(actions[next(len(actions))])
		}
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
		if next(2) == 0 {
			me.apply(func(c *memberExplorer) { c.removeSilently(i) })
			return
		}
	}
	me.apply(func(c *memberExplorer) { c.terminate(i, forGood) })
}

func TestInvariantsHoldOnRandomWalksThroughRepairs(t *testing.T) {
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
			t.Logf("%d actions a walk, %d views, %d losses, %d entries acknowledged", memberWalkActions, views, losses, acked)
			if losses < walks/lanes || acked < walks/lanes {
				t.Errorf("got %d losses and %d acknowledged entries, want at least %d of each for a meaningful test", losses, acked, walks/lanes)
			}
		})
	}
}

// Checks that the invariants detect violations: each mutation must be found by a random walk.
func TestRandomWalksDetectMembershipMutations(t *testing.T) {
	// The text that the violation must contain; empty if the mutation can show in several ways.
	for p, want := range map[mutation]string{voteWithoutCopy: "", twoVoteChanges: "more than one voter changed", abruptExit: "", lostPromise: "was decided twice"} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			w := walkOptions{memberCount: 3, actions: memberWalkActions, helloLossInterval: 150, killAllInterval: 150, mutation: p}
			if p == lostPromise {
				// This needs a decision that only one member knows when all are killed.
				w.helloLossInterval, w.killAllInterval = 15, 40
			}
			for w.seed = range uint64(100) {
				if _, violation := walkMachines(w); violation != "" && strings.Contains(violation, want) {
					t.Logf("walk %d: %.300s", w.seed, violation)
					return
				}
			}
			t.Fatalf("no walk of 100 found the mutation %q", p)
		})
	}
}
