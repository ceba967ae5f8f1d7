package chain

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// smallChain is a whole chain in the small: members, their disks, and what is under way between them. Hellos
// arrive with the tick that sends them; everything else may be delivered, lost with a crash or held
// back in any order across pairs.
type smallChain struct {
	nowUs        int64
	members      []*smallMember
	pipes        map[[2]int][]Msg
	views        map[uint64]View
	acked        map[uint64]string
	crashes      int
	ticks        int
	writes       int
	fills        int
	incarnations int
	broken       string
	// fenced counts the processes that a newer one of their member has replaced.
	fenced int
	// autoMembership: the members take each other in and drop each other without orders.
	autoMembership bool
	// minReplicas is how many synced copies an acknowledgement needs there.
	minReplicas int
	// tickEveryUs is how far apart ticks are; 0 stands for tickUs.
	tickEveryUs int64
	// hellosLost: hellos are lost on their way.
	hellosLost bool
	// cuts are the ways on which nothing arrives.
	cuts map[[2]int]bool
	// alter changes a message on its way; nil leaves all as they are.
	alter func(Msg) Msg
	// tenures follows who was open as the tail.
	tenures tailTenures
}

type smallMember struct {
	me    Member
	node  *Node
	disk  []Record
	saves []Persist
	full  bool
	// removed: this machine never comes back. sinceTicks is how many ticks its process has run for.
	removed    bool
	sinceTicks int
	// backUs is when it may start again.
	backUs int64
}

func (n *Node) clone() *Node {
	c := *n
	c.entries = slices.Clone(n.entries)
	c.state = n.state.Snapshot()
	c.pendingWrites = map[uint64]*pendingWrite{}
	for seq, s := range n.pendingWrites {
		held := *s
		c.pendingWrites[seq] = &held
	}
	c.peers = map[string]*peer{}
	for id, p := range n.peers {
		held := *p
		c.peers[id] = &held
	}
	c.headTimes, c.diskIncarnations = slices.Clone(n.headTimes), slices.Clone(n.diskIncarnations)
	c.knownStarts = maps.Clone(n.knownStarts)
	c.knownAddrs, c.leaseGrants = maps.Clone(n.knownAddrs), maps.Clone(n.leaseGrants)
	if n.proposal != nil {
		p := *n.proposal
		p.promises, p.acceptedBy = maps.Clone(p.promises), maps.Clone(p.acceptedBy)
		c.proposal = &p
	}
	c.effects = nil
	return &c
}

// key is everything that what comes next can hang on, with times taken from now.
func (n *Node) key(nowUs int64) string {
	ago := func(us int64) int64 {
		if us == 0 {
			return -1
		}
		return max(-2_000_000, min(nowUs-us, 4_000_000))
	}
	peers := []string{}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		h := p.hello
		peers = append(peers, fmt.Sprint(id, h.Incarnation, h.Phase, h.View.Number, h.LastIndex, h.LastView, h.VotesRecovered, h.CaughtUp, h.PromisedBallot, h.AlivePeers, h.SnapshotIndex, h.AcceptedProposal != nil, h.Stalled, h.ShuttingDown, ago(p.lastHelloUs), n.awakeUs-p.lastHelloAwakeUs, ago(p.stalledSinceUs), ago(p.lastMutualUs)))
	}
	saving := []string{}
	for _, seq := range slices.Sorted(maps.Keys(n.pendingWrites)) {
		s := n.pendingWrites[seq]
		saving = append(saving, fmt.Sprint(ago(s.startedUs), s.entryIndex, s.snapshotIndex, s.reply != nil, s.refused))
	}
	leases := []string{}
	for _, id := range slices.Sorted(maps.Keys(n.leaseGrants)) {
		leases = append(leases, fmt.Sprint(id, ago(n.leaseGrants[id])))
	}
	proposal := ""
	if c := n.proposal; c != nil {
		proposal = fmt.Sprint(c.viewNumber, c.ballot, c.desired, c.chosen, slices.Sorted(maps.Keys(c.promises)), slices.Sorted(maps.Keys(c.acceptedBy)), c.preparing, c.dropIfUnneeded, ago(c.startedUs))
	}
	accepted := ""
	if n.acceptedProposal != nil {
		accepted = fmt.Sprint(*n.acceptedProposal)
	}
	return fmt.Sprint(n.opts.Incarnation, n.phase, n.view, n.promisedBallot, accepted, n.votesRecovered, n.caughtUp, n.shuttingDown, n.base.Index, n.lastIndex(), n.lastView(), n.commitIndex, n.syncedIndex, n.stagedIndex,
		n.snapshotIndex, proposal, n.maxRound, ago(n.viewStableUs), ago(n.diskLaggedUs), n.pendingAccept != nil, ago(n.leaseGuardUs), ago(n.grantedLease.untilUs), ago(n.grantedLease.sentUs), ago(n.leaseReleasedUs), n.successorProgress.acked, n.successorProgress.sent, n.successorProgress.known, n.viewStartIndex, n.viewStartKnown,
		leases, n.tailCommitIndex, ago(n.leaseUntilUs), ago(n.viewInstalledUs), ago(n.startedUs), peers, saving)
}

func (sc *smallChain) key() string {
	var text strings.Builder
	for _, p := range sc.members {
		if p.node != nil {
			text.WriteString(p.node.key(sc.nowUs))
		}
		fmt.Fprint(&text, "|", len(p.saves), len(p.disk), p.full, ";")
	}
	for i := range sc.members {
		for j := range sc.members {
			for _, m := range sc.pipes[[2]int{i, j}] {
				fmt.Fprint(&text, i, j, kindOf(m), messageSummary(m), ";")
			}
		}
	}
	fmt.Fprint(&text, len(sc.cuts), sc.crashes, sc.ticks, sc.writes, sc.fills, len(sc.acked))
	return text.String()
}

func kindOf(m Msg) string {
	switch {
	case m.Prepare != nil:
		return "prepare"
	case m.Promise != nil:
		return "promise"
	case m.Accept != nil:
		return "accept"
	case m.Accepted != nil:
		return "accepting"
	case m.Forward != nil:
		return "forward"
	case m.Ack != nil:
		return "ack"
	case m.Lease != nil:
		if m.Lease.Granted {
			return "given"
		}
		return "lease"
	case m.InstallSnapshot != nil:
		return "joining"
	}
	return "hello"
}

func messageSummary(m Msg) string {
	switch {
	case m.Prepare != nil:
		return fmt.Sprint(*m.Prepare)
	case m.Promise != nil:
		return fmt.Sprint(m.Promise.Number, m.Promise.Ballot, m.Promise.OK, m.Promise.AcceptedProposal != nil)
	case m.Accept != nil:
		return fmt.Sprint(m.Accept.Number, m.Accept.Ballot, m.Accept.View)
	case m.Accepted != nil:
		return fmt.Sprint(*m.Accepted)
	case m.Forward != nil:
		return fmt.Sprint(m.Forward.View, m.Forward.PrevIndex, len(m.Forward.Entries), m.Forward.LastIndex, m.Forward.Snapshot != nil)
	case m.Ack != nil:
		return fmt.Sprint(m.Ack.View, m.Ack.SyncedIndex, m.Ack.CommitIndex)
	case m.Lease != nil:
		return fmt.Sprint(m.Lease.View, m.Lease.Granted)
	case m.InstallSnapshot != nil:
		return fmt.Sprint(m.InstallSnapshot.View, m.InstallSnapshot.Snapshot.Index)
	}
	return ""
}

func (sc *smallChain) clone() *smallChain {
	c := *sc
	c.members = nil
	for _, p := range sc.members {
		held := &smallMember{me: p.me, disk: slices.Clip(p.disk), saves: slices.Clone(p.saves), full: p.full, removed: p.removed, sinceTicks: p.sinceTicks, backUs: p.backUs}
		if p.node != nil {
			held.node = p.node.clone()
		}
		c.members = append(c.members, held)
	}
	c.pipes = map[[2]int][]Msg{}
	for way, list := range sc.pipes {
		if len(list) > 0 {
			c.pipes[way] = slices.Clone(list)
		}
	}
	c.views, c.acked, c.tenures = maps.Clone(sc.views), maps.Clone(sc.acked), sc.tenures.clone()
	return &c
}

func newSmallChain() *smallChain {
	b := &smallChain{nowUs: clock.Sec, pipes: map[[2]int][]Msg{}, views: map[uint64]View{}, acked: map[uint64]string{}}
	for i := 0; i < 3; i++ {
		name := fmt.Sprintf("m%d", i)
		b.members = append(b.members, &smallMember{me: Member{ID: name + "-1", Name: name, Addr: name}})
	}
	for i := range b.members {
		b.start(i, 3)
	}
	for n := 0; n < 12; n++ {
		b.tick()
		b.deliverAll()
	}
	b.ticks = 0
	return b
}

func (sc *smallChain) start(i, founding int) {
	sc.incarnations++
	p := sc.members[i]
	opts := Options{Self: p.me, Incarnation: fmt.Sprintf("%s/%d", p.me.ID, sc.incarnations), BootstrapCount: founding}
	if sc.autoMembership {
		opts.AutoMembership, opts.MinReplicas = true, sc.minReplicas
		opts = paced(opts)
	}
	node, err := NewNode(opts, p.disk, sc.nowUs)
	if err != nil {
		panic(err)
	}
	p.node = node
	for j, other := range sc.members {
		if j != i && !other.removed {
			node.knownAddrs[other.me.Addr] = true
		}
	}
}

func (sc *smallChain) crash(i int) {
	p := sc.members[i]
	p.node, p.saves, p.full = nil, nil, false
	for way := range sc.pipes {
		if way[0] == i || way[1] == i {
			delete(sc.pipes, way)
		}
	}
}

func (sc *smallChain) at(addr string) int {
	for i, p := range sc.members {
		if p.me.Addr == addr {
			return i
		}
	}
	return -1
}

// step feeds one event and carries its effects out; a hello arrives at once, and a newer beat of one
// kind takes the place of an older one that is still under way.
func (sc *smallChain) step(i int, ev Event) {
	p := sc.members[i]
	if p.node == nil {
		return
	}
	for _, e := range p.node.Step(sc.nowUs, ev) {
		switch e := e.(type) {
		case Send:
			j := sc.at(e.Addr)
			if j < 0 || sc.members[j].node == nil {
				continue
			}
			m := e.Msg
			if sc.alter != nil {
				m = sc.alter(m)
			}
			if sc.cuts[[2]int{i, j}] || (m.Hello != nil && sc.hellosLost) {
				continue
			}
			if m.Hello != nil {
				sc.step(j, MessageReceived{Msg: &m})
				continue
			}
			sc.enqueue(i, j, m)
		case Persist:
			p.saves = append(p.saves, e)
		case Applied:
			sc.applied(p, e)
		case Fenced:
			sc.fenced++
		case ViewInstalled:
			if before, seen := sc.views[e.View.Number]; seen {
				if diff := cmp.Diff(before, e.View); diff != "" {
					sc.broken = fmt.Sprintf("view %d was decided twice: %s", e.View.Number, diff)
				}
			}
			sc.views[e.View.Number] = e.View
		}
	}
}

func (sc *smallChain) enqueue(i, j int, m Msg) {
	way := [2]int{i, j}
	kind := kindOf(m)
	if kind == "forward" || kind == "ack" || kind == "lease" || kind == "given" {
		for at, older := range sc.pipes[way] {
			if kindOf(older) == kind {
				sc.pipes[way][at] = m
				return
			}
		}
	}
	sc.pipes[way] = append(sc.pipes[way], m)
}

func (sc *smallChain) applied(p *smallMember, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := sc.acked[a.Entry.Index]; seen && before != id {
		sc.broken = fmt.Sprintf("%s applies %s at %d, where %s was acknowledged", p.me.ID, id, a.Entry.Index, before)
	}
	if p.node.IsTail() && p.node.AcceptsWrites() {
		sc.acked[a.Entry.Index] = id
	}
}

func (sc *smallChain) checkInvariants() {
	open := []string{}
	most := uint64(0)
	for index := range sc.acked {
		most = max(most, index)
	}
	for _, p := range sc.members {
		if p.node != nil {
			most = max(most, p.node.durableIndex())
		}
	}
	for _, p := range sc.members {
		if p.node != nil && p.node.IsTailReady(sc.nowUs) {
			open = append(open, p.me.ID)
			if p.node.CommitIndex() < most {
				sc.broken = fmt.Sprintf("%s is open at %d, %d was acknowledged", p.me.ID, p.node.CommitIndex(), most)
			}
			if broken := sc.tenures.check(p.node); broken != "" {
				sc.broken = broken
			}
		}
	}
	if len(open) > 1 {
		sc.broken = fmt.Sprintf("two open tails: %v", open)
	}
}

const tickUs = 350 * clock.Ms

func (sc *smallChain) tickLength() int64 {
	if sc.tickEveryUs > 0 {
		return sc.tickEveryUs
	}
	return tickUs
}

func (sc *smallChain) tick() {
	sc.nowUs += sc.tickLength()
	sc.ticks++
	for i := range sc.members {
		sc.step(i, Tick{})
	}
}

// ready: the next save of this member may be synced.
func (p *smallMember) ready() bool { return len(p.saves) > 0 && !p.full }

// fill makes a disk refuse its next save, and all until it takes bytes again.
func (sc *smallChain) fill(i int) {
	sc.fills++
	p := sc.members[i]
	p.full = true
	sc.step(i, PersistRefused{Seq: p.saves[0].Seq})
}

func (sc *smallChain) synced(i int) {
	p := sc.members[i]
	s := p.saves[0]
	p.saves = p.saves[1:]
	if s.Compact {
		p.disk = nil
	}
	if s.Snapshot != nil {
		p.disk = append(slices.Clip(p.disk), Record{Snapshot: s.Snapshot})
	}
	p.disk = append(slices.Clip(p.disk), s.Records...)
	sc.step(i, Persisted{Seq: s.Seq})
}

func (sc *smallChain) deliver(way [2]int) {
	m := sc.pipes[way][0]
	sc.pipes[way] = slices.Clone(sc.pipes[way][1:])
	sc.step(way[1], MessageReceived{Msg: &m})
}

// deliverAll carries out all that is under way, in one fixed order.
func (sc *smallChain) deliverAll() {
	for n := 0; n < 400; n++ {
		moved := false
		for i := range sc.members {
			if sc.members[i].ready() {
				sc.synced(i)
				moved = true
			}
			for j := range sc.members {
				if len(sc.pipes[[2]int{i, j}]) > 0 {
					sc.deliver([2]int{i, j})
					moved = true
				}
			}
		}
		if !moved {
			return
		}
	}
}

func (sc *smallChain) write() {
	sc.writes++
	for i, p := range sc.members {
		if p.node != nil && p.node.IsHead() {
			doc := &configuration.Declaration{Name: fmt.Sprint("w", sc.writes)}
			sc.step(i, ChangeSubmitted{Change: &statemachine.Change{ID: doc.Name, Config: &statemachine.ConfigChange{Doc: doc}}})
			return
		}
	}
}

type limits struct {
	crashes, ticks, writes, fills int
	// heals: links that are cut may be whole again.
	heals bool
}

// next lists every state one action away.
func (sc *smallChain) next(l limits) []*smallChain {
	out := []*smallChain{}
	try := func(act func(c *smallChain)) {
		c := sc.clone()
		act(c)
		c.checkInvariants()
		out = append(out, c)
	}
	for i := range sc.members {
		if sc.members[i].ready() {
			try(func(c *smallChain) { c.synced(i) })
			if sc.fills < l.fills && sc.crashes == 0 {
				try(func(c *smallChain) { c.fill(i) })
			}
		}
		if sc.members[i].full {
			try(func(c *smallChain) { c.members[i].full = false })
		}
		for j := range sc.members {
			if way := [2]int{i, j}; len(sc.pipes[way]) > 0 {
				try(func(c *smallChain) { c.deliver(way) })
			}
		}
		if sc.members[i].node == nil {
			try(func(c *smallChain) { c.start(i, 0) })
		} else if sc.crashes < l.crashes && sc.fills == 0 {
			try(func(c *smallChain) {
				c.crashes++
				c.crash(i)
			})
		}
	}
	if l.heals && len(sc.cuts) > 0 {
		try(func(c *smallChain) { c.cuts = nil })
	}
	if sc.ticks < l.ticks {
		try(func(c *smallChain) { c.tick() })
	}
	if sc.writes < l.writes {
		try(func(c *smallChain) { c.write() })
	}
	return out
}

// explore goes through every state within a depth, each once; it reports how many there are, and how
// many views and acknowledgements they held.
func explore(t *testing.T, from *smallChain, depth int, l limits) (states, views, acked int) {
	t.Helper()
	seen := map[string]bool{from.key(): true}
	edge := []*smallChain{from}
	for d := 0; d < depth; d++ {
		var beyond []*smallChain
		for _, b := range edge {
			for _, c := range b.next(l) {
				if c.broken != "" {
					t.Fatalf("depth %d: %s", d+1, c.broken)
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					beyond = append(beyond, c)
				}
				views, acked = max(views, len(c.views)), max(acked, len(c.acked))
			}
		}
		edge = beyond
	}
	return len(seen), views, acked
}

func (sc *smallChain) advanceTicks(ticks int) {
	for n := 0; n < ticks; n++ {
		sc.tick()
		sc.deliverAll()
	}
	sc.ticks = 0
}

// advanceIsolated lets time go by without anything being delivered or synced but hellos.
func (sc *smallChain) advanceIsolated(ticks int) {
	for n := 0; n < ticks; n++ {
		sc.tick()
	}
	sc.ticks = 0
}

func scenarios() map[string]func() *smallChain {
	down := func(i int) func() *smallChain {
		return func() *smallChain {
			b := newSmallChain()
			b.write()
			b.deliverAll()
			b.crash(i)
			b.advanceIsolated(3)
			return b
		}
	}
	return map[string]func() *smallChain{
		"the head is gone":   down(0),
		"the middle is gone": down(1),
		"the tail is gone":   down(2),
		"a write under way as the tail goes": func() *smallChain {
			b := newSmallChain()
			b.write()
			b.synced(0)
			b.crash(2)
			b.advanceIsolated(3)
			return b
		},
		"an empty one joins": func() *smallChain {
			b := newSmallChain()
			b.write()
			b.deliverAll()
			b.crash(1)
			b.advanceTicks(8)
			b.members[1].disk, b.members[1].me.ID = nil, "m1-2"
			b.start(1, 0)
			b.advanceIsolated(2)
			return b
		},
		"one that lost its last records joins": func() *smallChain {
			b := newSmallChain()
			b.write()
			b.deliverAll()
			disk := b.members[2].disk
			b.crash(2)
			b.advanceTicks(6)
			b.members[2].disk = disk[:len(disk)-2]
			b.start(2, 0)
			b.advanceIsolated(2)
			return b
		},
		"all restart, one of them lossy": func() *smallChain {
			b := newSmallChain()
			b.write()
			b.deliverAll()
			for i := range b.members {
				b.crash(i)
			}
			b.members[0].disk = b.members[0].disk[:len(b.members[0].disk)-2]
			for i := range b.members {
				b.start(i, 0)
			}
			b.advanceIsolated(1)
			return b
		},
	}
}

const (
	exploreDepth = 6
	racedDepth   = 3
	pathMost     = 84
	pathStride   = 6
)

// requireProgress takes the one action that comes first in a fixed order, or a tick where nothing is under way.
func (sc *smallChain) requireProgress() {
	for i := range sc.members {
		if sc.members[i].ready() {
			sc.synced(i)
			return
		}
		for j := range sc.members {
			if len(sc.pipes[[2]int{i, j}]) > 0 {
				sc.deliver([2]int{i, j})
				return
			}
		}
	}
	sc.tick()
	sc.ticks = 0
}

// From states all along the way through each scenario's view changes, every interleaving of
// deliveries, syncs, ticks, writes, a crash and restarts up to a depth.
func TestEveryInterleavingOfSmallChains(t *testing.T) {
	depth, stride := exploreDepth, pathStride
	if raced {
		depth, stride = racedDepth, 2*pathStride
	}
	all := scenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := all[name]()
			first := len(b.views)
			states, views, acked, starts := 0, 0, 0, 0
			for n := 0; n < pathMost; n++ {
				if n%stride == 0 {
					s, v, a := explore(t, b.clone(), depth, limits{crashes: 1, ticks: 2, writes: b.writes + 1, fills: 1})
					states, views, acked, starts = states+s, max(views, v), max(acked, a), starts+1
				}
				b.requireProgress()
				b.checkInvariants()
				if b.broken != "" {
					t.Fatal(b.broken)
				}
			}
			t.Logf("%d states within %d actions of %d states on the way, %d view changes, %d acknowledged", states, depth, starts, views-first, acked)
			if states < 200 || views == first {
				t.Errorf("%d states, %d view changes: it proves little", states, views-first)
			}
		})
	}
}

// walk goes on from a scenario for long, at random: whole view changes, joins and crashes on the way.
func TestLongWalksThroughViewChanges(t *testing.T) {
	all := scenarios()
	walks := 400
	if raced {
		walks = 40
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			views, acked := 0, 0
			for seed := 0; seed < walks; seed++ {
				b := all[name]()
				r := uint64(seed)*2654435761 + 1
				for n := 0; n < 500; n++ {
					r ^= r << 13
					r ^= r >> 7
					r ^= r << 17
					b.ticks, b.writes = 0, min(b.writes, n/40)
					b.crashes = min(b.crashes, n/150)
					nexts := b.choices(r)
					if len(nexts) == 0 {
						b.tick()
					} else {
						nexts[r%uint64(len(nexts))](b)
					}
					b.checkInvariants()
					if b.broken != "" {
						t.Fatalf("walk %d, action %d: %s", seed, n, b.broken)
					}
				}
				views, acked = max(views, len(b.views)), max(acked, len(b.acked))
			}
			t.Logf("%d walks of 500 actions, up to %d views, %d acknowledged", walks, views, acked)
			if views < 4 || acked < 2 {
				t.Errorf("up to %d views and %d acknowledged: the walks prove little", views, acked)
			}
		})
	}
}

const crashEvery = 50

// choices are the actions open at a moment, crashes and ticks kept rarer than deliveries.
func (sc *smallChain) choices(r uint64) []func(*smallChain) {
	acts := []func(*smallChain){}
	down := 0
	for i := range sc.members {
		if sc.members[i].ready() {
			acts = append(acts, func(c *smallChain) { c.synced(i) })
			if r%40 == 7 {
				acts = append(acts, func(c *smallChain) { c.fill(i) })
			}
		}
		if sc.members[i].full && r%12 == 5 {
			acts = append(acts, func(c *smallChain) { c.members[i].full = false })
		}
		for j := range sc.members {
			if way := [2]int{i, j}; len(sc.pipes[way]) > 0 {
				acts = append(acts, func(c *smallChain) { c.deliver(way) })
			}
		}
		if sc.members[i].node == nil {
			down++
			if r%8 == 0 {
				acts = append(acts, func(c *smallChain) { c.start(i, 0) })
			}
		}
	}
	if r%crashEvery == 1 && down == 0 {
		acts = append(acts, func(c *smallChain) { c.crash(int(r/64) % 3) })
	}
	if r%20 == 3 {
		acts = append(acts, (*smallChain).write)
	}
	if r%6 == 2 {
		acts = append(acts, (*smallChain).tick)
	}
	return acts
}

func TestRecordsRoundTripAsJSON(t *testing.T) {
	b := newSmallChain()
	b.write()
	b.deliverAll()
	raw, err := json.Marshal(b.members[0].disk)
	if err != nil {
		t.Fatal(err)
	}
	var back []Record
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(Options{Self: b.members[0].me, Incarnation: "x"}, back, b.nowUs)
	if err != nil || node.LastIndex() != b.members[0].node.LastIndex() || node.View().Number != b.members[0].node.View().Number {
		t.Fatal(err, node.LastIndex(), node.View())
	}
}
