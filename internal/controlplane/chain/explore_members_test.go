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
	plant plant
	// losses counts the losses so far, of lossesMost.
	losses, lossesMost int
	// leaving is the machine that was told to end, -1 if none; goes says that it is removed for good.
	leaving int
	goes    bool
	// history is what was done to machines.
	history []string
}

func (me *memberExplorer) note(format string, args ...any) {
	me.history = append(slices.Clip(me.history), fmt.Sprintf("%.2f ", float64(me.nowUs)/1e6)+fmt.Sprintf(format, args...))
}

type plant string

const (
	voteWithoutCopy plant = "a newcomer's seat and vote without a copy"
	twoVotes        plant = "two votes change in one view"
	abruptHolder    plant = "one that was told to end goes at once"
	forgotPromise   plant = "a promise is forgotten"
)

// caughtUpTicks is the time to catch up, in ticks.
func (me *memberExplorer) caughtUpTicks() int {
	if me.tolerated() > 1 {
		return int(catchUpTwoUs/me.tickLength()) + 1
	}
	return int(catchUpOneUs/me.tickLength()) + 1
}

// tolerated is how many machines may be lost at once.
func (me *memberExplorer) tolerated() int { return me.minReplicas - 1 }

func newMemberExplorer(count int, everyUs int64) *memberExplorer {
	b := &smallChain{nowUs: clock.Sec, pipes: map[[2]int][]Msg{}, views: map[uint64]View{}, acked: map[uint64]string{}, autoMembership: true, minReplicas: (count-1)/2 + 1, tickEveryUs: everyUs}
	for i := range count {
		name := fmt.Sprintf("m%d", i)
		b.members = append(b.members, &smallMember{me: Member{ID: name + "-1", Name: name, Addr: name}})
	}
	m := &memberExplorer{smallChain: b, leaving: -1, lossesMost: 1}
	for i := range b.members {
		b.start(i, count)
	}
	m.rest(m.caughtUpTicks() + 4)
	m.write()
	m.deliverAll()
	return m
}

func (me *memberExplorer) clone() *memberExplorer {
	c := *me
	c.smallChain = me.smallChain.clone()
	return &c
}

func (me *memberExplorer) key() string {
	text := me.smallChain.key()
	for _, p := range me.members {
		text += fmt.Sprint(p.removed, min(p.sinceTicks, me.caughtUpTicks()))
	}
	return text + fmt.Sprint(me.losses, me.leaving, me.goes)
}

// elapse is a tick; those that run are a tick nearer to having caught up.
func (me *memberExplorer) elapse() {
	for _, p := range me.members {
		if p.node != nil {
			p.sinceTicks++
		}
	}
	me.tick()
	me.hellosLost = false
	me.plantOnDisks()
}

// rest lets time go by with all links and disks in order.
func (me *memberExplorer) rest(ticks int) {
	for range ticks {
		me.elapse()
		me.settleAll()
	}
	me.ticks = 0
}

func (me *memberExplorer) settleAll() {
	me.tamper()
	me.deliverAll()
	me.mayEnd()
}

// outstanding counts the machines that are down, or back for less than their time to catch up.
func (me *memberExplorer) outstanding() int {
	n := 0
	for _, p := range me.members {
		if !p.removed && (p.node == nil || p.sinceTicks < me.caughtUpTicks()) {
			n++
		}
	}
	return n
}

// there counts the machines that have not gone for good.
func (me *memberExplorer) there() int {
	n := 0
	for _, p := range me.members {
		if !p.removed {
			n++
		}
	}
	return n
}

// mayLose: the platform may take one more machine now.
func (me *memberExplorer) mayLose() bool {
	return me.losses < me.lossesMost && me.leaving < 0 && me.outstanding() < me.tolerated() && me.there() > 2*me.tolerated()
}

// fresh is an empty machine beside the others.
func (me *memberExplorer) fresh() int {
	me.incarnations++
	name := fmt.Sprintf("m%d", 10+me.incarnations)
	me.members = append(me.members, &smallMember{me: Member{ID: name + "-1", Name: name, Addr: name}})
	i := len(me.members) - 1
	me.start(i, 0)
	return i
}

func (me *memberExplorer) lose(i int, how repair) {
	me.losses++
	p := me.members[i]
	me.note("%s is lost: %s", p.me.ID, how)
	me.crash(i)
	p.sinceTicks = 0
	switch how {
	case replaced:
		p.removed = true
		me.fresh()
	case emptied:
		me.incarnations++
		p.disk, p.me.ID = nil, fmt.Sprintf("%s-%d", p.me.Name, me.incarnations)
	case readdressed:
		me.incarnations++
		p.me.Addr = fmt.Sprintf("%s-%d", p.me.Name, me.incarnations)
	}
}

func (me *memberExplorer) boot(i int) {
	me.start(i, 0)
	me.note("%s starts", me.members[i].me.ID)
}

// terminate tells a process to end; it ends for good, or comes back with its disk.
func (me *memberExplorer) terminate(i int, forGood bool) {
	me.leaving, me.goes = i, forGood
	me.note("%s is told to end, for good %v", me.members[i].me.ID, forGood)
	me.step(i, ShutdownRequested{})
	me.mayEnd()
}

// mayEnd ends the process that was told to, once it says that it may.
func (me *memberExplorer) mayEnd() {
	i := me.leaving
	if i < 0 || me.members[i].node == nil || (!me.members[i].node.ShutdownComplete() && me.plant != abruptHolder) {
		return
	}
	me.note("%s has ended", me.members[i].me.ID)
	me.crash(i)
	me.members[i].sinceTicks = 0
	me.members[i].removed = me.goes
	me.leaving = -1
}

// tamper plants a second change of votes beside one that is proposed.
func (me *memberExplorer) tamper() {
	if me.plant != twoVotes {
		return
	}
	for _, p := range me.members {
		if p.node == nil || p.node.proposal == nil || !p.node.proposal.preparing {
			continue
		}
		want, view := &p.node.proposal.desired, p.node.view
		if votesMoved(view, *want) != 1 {
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

// plantOnDisks takes from disks what the planted defect does not keep there: promises, or what a newcomer should have
// copied before it was seated.
func (me *memberExplorer) plantOnDisks() {
	for i, p := range me.members {
		switch {
		case me.plant == forgotPromise:
			p.disk = slices.DeleteFunc(slices.Clone(p.disk), func(r Record) bool { return r.PromisedBallot != nil || r.AcceptedProposal != nil })
		case me.plant == voteWithoutCopy && i >= 3:
			p.disk = slices.DeleteFunc(slices.Clone(p.disk), func(r Record) bool { return r.Snapshot != nil || r.Entry != nil })
		}
	}
}

// judgeMachines holds the account of losses against what lies on the disks.
func (me *memberExplorer) judgeMachines() {
	me.checkInvariants()
	if me.broken != "" {
		return
	}
	spare := me.tolerated() - me.outstanding()
	if me.leaving >= 0 {
		spare--
	}
	spare = max(0, spare)
	for index, id := range me.acked {
		holders := 0
		for _, p := range me.members {
			if !p.removed && holds(p.disk, index) {
				holders++
			}
		}
		if holders < spare+1 {
			me.broken = fmt.Sprintf("%s, acknowledged at %d, lies on %d disks when %d may be lost", id, index, holders, spare)
		}
	}
	for number, v := range me.views {
		if prior, seen := me.views[number-1]; seen && number > 1 && votesMoved(prior, v) > 1 {
			me.broken = fmt.Sprintf("more than one vote changed from %v to %v", prior, v)
		}
	}
}

// votesMoved counts the votes that came or went, whichever are more.
func votesMoved(a, b View) int {
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
func holds(disk []Record, index uint64) bool {
	for _, r := range disk {
		if (r.Entry != nil && r.Entry.Index == index) || (r.Snapshot != nil && r.Snapshot.Index >= index) {
			return true
		}
	}
	return false
}

// recovers: once all that is down has come back and nothing more is lost, all have seat and vote within the time to
// catch up, and a write is acknowledged.
func (me *memberExplorer) recovers() string {
	c := me.clone()
	for i, p := range c.members {
		if p.node == nil && !p.removed {
			c.start(i, 0)
		}
		p.full = false
	}
	c.rest(c.caughtUpTicks())
	before := len(c.acked)
	c.write()
	c.settleAll()
	c.rest(2)
	if c.judgeMachines(); c.broken != "" {
		return c.broken
	}
	if len(c.acked) <= before {
		state := ""
		for _, p := range c.members {
			if p.node != nil {
				state += fmt.Sprintf("; %s is %s in view %d of %d votes, leaving %v, waits for %q", p.me.ID, p.node.phase, p.node.view.Number, len(p.node.view.Voters), p.node.shuttingDown, p.node.WaitReason())
			}
		}
		return "nothing is acknowledged after the repair" + state
	}
	return ""
}

// hush loses all hellos until time goes by: all machines count as cut off.
func (me *memberExplorer) hush() {
	me.hellosLost = true
	me.note("hellos are lost")
	for _, p := range me.members {
		p.sinceTicks = 0
	}
}

// killAll ends every process at once; disks remain, and one machine comes back later than the others.
func (me *memberExplorer) killAll(late int, lateTicks int64) {
	me.leaving = -1
	me.note("all are killed, %d comes %d ticks late", late, lateTicks)
	for i, p := range me.members {
		if p.removed {
			continue
		}
		me.crash(i)
		p.sinceTicks, p.backUs = 0, me.nowUs
		if i == late {
			p.backUs += lateTicks * me.tickLength()
		}
	}
}

// memberActs are the changes of machines that may come now.
func (me *memberExplorer) memberActs() []func(*memberExplorer) {
	acts := []func(*memberExplorer){}
	if !me.mayLose() {
		return acts
	}
	for i, p := range me.members {
		if p.node == nil || p.removed {
			continue
		}
		for _, how := range []repair{replaced, emptied, restarted, readdressed} {
			acts = append(acts, func(c *memberExplorer) { c.lose(i, how) })
		}
	}
	return acts
}

// flowActs are deliveries, syncs and starts.
func (me *memberExplorer) flowActs() []func(*memberExplorer) {
	acts := []func(*memberExplorer){}
	for i, p := range me.members {
		if p.ready() {
			acts = append(acts, func(c *memberExplorer) { c.synced(i) })
		}
		if p.node == nil && !p.removed && me.nowUs >= p.backUs {
			acts = append(acts, func(c *memberExplorer) { c.boot(i) })
		}
		for j := range me.members {
			if way := [2]int{i, j}; len(me.pipes[way]) > 0 {
				acts = append(acts, func(c *memberExplorer) { c.deliver(way) })
			}
		}
	}
	return acts
}

func (me *memberExplorer) do(act func(*memberExplorer)) {
	me.tamper()
	act(me)
	me.mayEnd()
	me.judgeMachines()
}

// memberScenarios begin where one machine's repair is under way or has just ended.
func memberScenarios() map[string]func() *memberExplorer {
	return map[string]func() *memberExplorer{
		"replaced for good, the next lost": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, replaced)
			m.rest(m.caughtUpTicks())
			m.losses = 0
			return m
		},
		"replaced for good, and the next lost at once when the successor has caught up": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(0, replaced)
			m.rest(m.caughtUpTicks())
			m.lose(1, replaced)
			m.rest(2)
			return m
		},
		"the successor came first, the old one is told to end": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.fresh()
			m.rest(m.caughtUpTicks())
			m.terminate(0, true)
			return m
		},
		"the old head of four is told to end and comes back": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.fresh()
			m.rest(m.caughtUpTicks())
			m.terminate(1, false)
			return m
		},
		"an empty one joins as another is told to end": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(1, emptied)
			m.rest(2)
			m.start(1, 0)
			m.elapse()
			m.terminate(2, true)
			return m
		},
		"a newcomer beside one that has fallen silent": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			m.lose(2, replaced)
			m.rest(2)
			return m
		},
		"one that was removed comes back with its old disk": func() *memberExplorer {
			m := newMemberExplorer(3, tickUs)
			disk, me := m.members[2].disk, m.members[2].me
			m.lose(2, replaced)
			m.rest(m.caughtUpTicks())
			m.members[2].removed, m.members[2].disk, m.members[2].me = false, disk, me
			m.start(2, 0)
			m.losses = 0
			m.elapse()
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

type explored struct {
	states, recoveries, views, acked, losses int
}

func (e *explored) add(o explored) {
	e.states, e.recoveries = e.states+o.states, e.recoveries+o.recoveries
	e.views, e.acked, e.losses = max(e.views, o.views), max(e.acked, o.acked), max(e.losses, o.losses)
}

// exploreMachines goes through every state within a depth, each once; of every stride-th of those at the edge it asks
// whether the chain recovers.
func exploreMachines(from *memberExplorer, depth, ticks, stride int) (e explored, broken string) {
	seen := map[string]bool{from.key(): true}
	edge := []*memberExplorer{from}
	for d := range depth {
		var beyond []*memberExplorer
		for _, m := range edge {
			acts := append(m.flowActs(), m.memberActs()...)
			if m.ticks < ticks {
				acts = append(acts, (*memberExplorer).elapse)
			}
			for _, act := range acts {
				c := m.clone()
				c.do(act)
				if c.broken != "" {
					return e, fmt.Sprintf("depth %d: %s", d+1, c.broken)
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					beyond = append(beyond, c)
				}
				e.views, e.acked, e.losses = max(e.views, len(c.views)), max(e.acked, len(c.acked)), max(e.losses, c.losses)
			}
		}
		edge = beyond
	}
	for i := 0; i < len(edge); i += stride {
		e.recoveries++
		if why := edge[i].recovers(); why != "" {
			return e, why
		}
	}
	e.states = len(seen)
	return e, ""
}

// forward takes the next action in a fixed order, or a tick.
func (me *memberExplorer) forward() {
	if acts := me.flowActs(); len(acts) > 0 {
		me.do(acts[0])
		return
	}
	me.do((*memberExplorer).elapse)
	me.ticks = 0
}

const (
	memberDepth        = 4
	memberPathMost     = 60
	memberPathStride   = 5
	recoveryStride     = 40
	memberWalks        = 180
	memberWalkActs     = 1500
	memberRacedWalks   = 4
	memberRacedStrides = 1
)

// Repairs of machines in the small: every interleaving of deliveries, syncs, ticks, starts and one more loss up to a
// depth, from states all along the way through joining, leaving, replacing and coming back.
func TestEveryInterleavingOfRepairs(t *testing.T) {
	depth, stride := memberDepth, memberPathStride
	if raced {
		depth, stride = memberDepth-1, memberRacedStrides*memberPathStride
	} else if exploreFactor() > 1 {
		depth, stride = memberDepth+1, max(1, memberPathStride/exploreFactor())
	}
	all := memberScenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := all[name]()
			first := len(m.views)
			sum := explored{}
			for n := range memberPathMost {
				if n%stride == 0 {
					e, broken := exploreMachines(m.clone(), depth, 2, recoveryStride)
					if broken != "" {
						t.Fatalf("from state %d: %s", n, broken)
					}
					sum.add(e)
				}
				if m.forward(); m.broken != "" {
					t.Fatal(m.broken)
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

// walk is how a random walk goes: hellos are lost at one in cutEvery actions, and all machines are killed at one in
// killEvery.
type walk struct {
	seed                uint64
	count, acts         int
	cutEvery, killEvery int
	plant               plant
}

// walkMachines goes on at random for long: losses of every kind, each as soon as the platform may bring it, and
// processes that are told to end, for good with their successor started first or to come back.
func walkMachines(w walk) (m *memberExplorer, broken string) {
	m = newMemberExplorer(w.count, walkTickUs)
	m.plant, m.lossesMost = w.plant, 1<<30
	r := w.seed*2654435761 + 1
	next := func(n int) int {
		r ^= r << 13
		r ^= r >> 7
		r ^= r << 17
		return int(r>>8) % n
	}
	for n := range w.acts {
		if next(w.cutEvery) == 0 {
			m.hush()
		}
		switch flow := m.flowActs(); {
		case next(w.killEvery) == 0:
			late, ticks := next(len(m.members)), int64(next(10))
			m.do(func(c *memberExplorer) { c.killAll(late, ticks) })
		case len(flow) > 0 && next(12) > 0:
			m.do(flow[next(len(flow))])
		case m.mayLose() && next(3) == 0:
			m.disturb(next)
		case next(6) == 0:
			m.do(func(c *memberExplorer) { c.write() })
		default:
			// Time goes by only with what is under way carried out: links and disks are in order.
			m.settleAll()
			m.do((*memberExplorer).elapse)
			m.ticks = 0
		}
		if m.broken == "" && n%400 == 399 {
			m.broken = m.recovers()
		}
		if m.broken != "" {
			return m, fmt.Sprintf("action %d: %s\n%s", n, m.broken, strings.Join(m.history, "\n"))
		}
	}
	return m, ""
}

// disturb loses a machine, or tells one to end, with or without a successor that came first.
func (me *memberExplorer) disturb(next func(int) int) {
	if next(3) > 0 {
		acts := me.memberActs()
		me.do(acts[next(len(acts))])
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
		me.fresh()
		me.rest(me.caughtUpTicks())
	}
	me.do(func(c *memberExplorer) { c.terminate(i, forGood) })
}

func TestLongWalksThroughRepairs(t *testing.T) {
	walks := memberWalks * exploreFactor()
	if raced {
		walks = memberRacedWalks
	}
	const lanes = 6
	for lane := range lanes {
		t.Run(fmt.Sprint("lane ", lane), func(t *testing.T) {
			t.Parallel()
			views, losses, acked := 0, 0, 0
			for seed := lane; seed < walks; seed += lanes {
				m, broken := walkMachines(walk{seed: uint64(seed), count: []int{3, 3, 5}[seed/lanes%3], acts: memberWalkActs, cutEvery: 150, killEvery: 150})
				if broken != "" {
					t.Fatalf("walk %d: %s", seed, broken)
				}
				views, losses, acked = views+len(m.views), losses+m.losses, acked+len(m.acked)
			}
			t.Logf("%d actions a walk, %d views, %d losses, %d acknowledged", memberWalkActs, views, losses, acked)
			if losses < walks/lanes || acked < walks/lanes {
				t.Errorf("%d losses, %d acknowledged: the walks prove little", losses, acked)
			}
		})
	}
}

// Each rule of the explorer must be able to fail: a defect is planted, and a walk must find it.
func TestPlantedMembershipDefectsAreFound(t *testing.T) {
	// What the walks must say; an empty text stands for several ways in which it shows.
	for p, says := range map[plant]string{voteWithoutCopy: "", twoVotes: "more than one vote changed", abruptHolder: "", forgotPromise: "was decided twice"} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			w := walk{count: 3, acts: memberWalkActs, cutEvery: 150, killEvery: 150, plant: p}
			if p == forgotPromise {
				// It takes a decision that only one member knows as all are killed.
				w.cutEvery, w.killEvery = 15, 40
			}
			for w.seed = range uint64(100) {
				if _, broken := walkMachines(w); broken != "" && strings.Contains(broken, says) {
					t.Logf("walk %d: %.300s", w.seed, broken)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
