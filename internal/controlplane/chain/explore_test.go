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

// box is a whole chain in the small: members, their disks, and what is under way between them. Hellos
// arrive with the tick that sends them; everything else may be delivered, lost with a crash or held
// back in any order across pairs.
type box struct {
	nowUs        int64
	members      []*place
	pipes        map[[2]int][]Msg
	views        map[uint64]View
	acked        map[uint64]string
	crashes      int
	ticks        int
	writes       int
	fills        int
	incarnations int
	broken       string
	// self: the members take each other in and drop each other without orders.
	self bool
	// copies is how many synced copies an acknowledgement needs there.
	copies int
	// everyUs is how far apart ticks are; 0 stands for tickUs.
	everyUs int64
	// hushed: hellos are lost on their way.
	hushed bool
	// cuts are the ways on which nothing arrives.
	cuts map[[2]int]bool
}

type place struct {
	me    Member
	node  *Node
	disk  []Record
	saves []Persist
	full  bool
	// gone: this machine never comes back. sinceTicks is how many ticks its process has run for.
	gone       bool
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
	c.headTimes = slices.Clone(n.headTimes)
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
		n.snapshotIndex, proposal, n.maxRound, ago(n.viewStableUs), ago(n.diskLaggedUs), n.pendingAccept != nil, ago(n.leaseGuardUs), ago(n.grantedLease.untilUs), ago(n.grantedLease.sentUs), ago(n.leaseReleasedUs), n.succLast, n.succSent, n.succKnown, n.viewStartIndex, n.viewStartKnown,
		leases, n.tailCommitIndex, ago(n.leaseUntilUs), ago(n.viewInstalledUs), ago(n.startedUs), peers, saving)
}

func (b *box) key() string {
	var text strings.Builder
	for _, p := range b.members {
		if p.node != nil {
			text.WriteString(p.node.key(b.nowUs))
		}
		fmt.Fprint(&text, "|", len(p.saves), len(p.disk), p.full, ";")
	}
	for i := range b.members {
		for j := range b.members {
			for _, m := range b.pipes[[2]int{i, j}] {
				fmt.Fprint(&text, i, j, kindOf(m), short(m), ";")
			}
		}
	}
	fmt.Fprint(&text, len(b.cuts), b.crashes, b.ticks, b.writes, b.fills, len(b.acked))
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

func short(m Msg) string {
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

func (b *box) clone() *box {
	c := *b
	c.members = nil
	for _, p := range b.members {
		held := &place{me: p.me, disk: slices.Clip(p.disk), saves: slices.Clone(p.saves), full: p.full, gone: p.gone, sinceTicks: p.sinceTicks, backUs: p.backUs}
		if p.node != nil {
			held.node = p.node.clone()
		}
		c.members = append(c.members, held)
	}
	c.pipes = map[[2]int][]Msg{}
	for way, list := range b.pipes {
		if len(list) > 0 {
			c.pipes[way] = slices.Clone(list)
		}
	}
	c.views, c.acked = maps.Clone(b.views), maps.Clone(b.acked)
	return &c
}

func newBox() *box {
	b := &box{nowUs: clock.Sec, pipes: map[[2]int][]Msg{}, views: map[uint64]View{}, acked: map[uint64]string{}}
	for i := 0; i < 3; i++ {
		name := fmt.Sprintf("m%d", i)
		b.members = append(b.members, &place{me: Member{ID: name + "-1", Name: name, Addr: name}})
	}
	for i := range b.members {
		b.start(i, 3)
	}
	for n := 0; n < 12; n++ {
		b.tick()
		b.settle()
	}
	b.ticks = 0
	return b
}

func (b *box) start(i, founding int) {
	b.incarnations++
	p := b.members[i]
	opts := Options{Self: p.me, Incarnation: fmt.Sprintf("%s/%d", p.me.ID, b.incarnations), BootstrapCount: founding}
	if b.self {
		opts.AutoMembership, opts.MinReplicas = true, b.copies
		opts = paced(opts)
	}
	node, err := NewNode(opts, p.disk, b.nowUs)
	if err != nil {
		panic(err)
	}
	p.node = node
	for j, other := range b.members {
		if j != i && !other.gone {
			node.knownAddrs[other.me.Addr] = true
		}
	}
}

func (b *box) crash(i int) {
	p := b.members[i]
	p.node, p.saves, p.full = nil, nil, false
	for way := range b.pipes {
		if way[0] == i || way[1] == i {
			delete(b.pipes, way)
		}
	}
}

func (b *box) at(addr string) int {
	for i, p := range b.members {
		if p.me.Addr == addr {
			return i
		}
	}
	return -1
}

// step feeds one event and carries its effects out; a hello arrives at once, and a newer beat of one
// kind takes the place of an older one that is still under way.
func (b *box) step(i int, ev Event) {
	p := b.members[i]
	if p.node == nil {
		return
	}
	for _, e := range p.node.Step(b.nowUs, ev) {
		switch e := e.(type) {
		case Send:
			j := b.at(e.Addr)
			if j < 0 || b.members[j].node == nil {
				continue
			}
			m := e.Msg
			if b.cuts[[2]int{i, j}] || (m.Hello != nil && b.hushed) {
				continue
			}
			if m.Hello != nil {
				b.step(j, MessageReceived{Msg: &m})
				continue
			}
			b.put(i, j, m)
		case Persist:
			p.saves = append(p.saves, e)
		case Applied:
			b.applied(p, e)
		case ViewInstalled:
			if before, seen := b.views[e.View.Number]; seen {
				if diff := cmp.Diff(before, e.View); diff != "" {
					b.broken = fmt.Sprintf("view %d was decided twice: %s", e.View.Number, diff)
				}
			}
			b.views[e.View.Number] = e.View
		}
	}
}

func (b *box) put(i, j int, m Msg) {
	way := [2]int{i, j}
	kind := kindOf(m)
	if kind == "forward" || kind == "ack" || kind == "lease" || kind == "given" {
		for at, older := range b.pipes[way] {
			if kindOf(older) == kind {
				b.pipes[way][at] = m
				return
			}
		}
	}
	b.pipes[way] = append(b.pipes[way], m)
}

func (b *box) applied(p *place, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := b.acked[a.Entry.Index]; seen && before != id {
		b.broken = fmt.Sprintf("%s applies %s at %d, where %s was acknowledged", p.me.ID, id, a.Entry.Index, before)
	}
	if p.node.IsTail() && p.node.AcceptsWrites() {
		b.acked[a.Entry.Index] = id
	}
}

func (b *box) judge() {
	open := []string{}
	most := uint64(0)
	for index := range b.acked {
		most = max(most, index)
	}
	for _, p := range b.members {
		if p.node != nil {
			most = max(most, p.node.durableIndex())
		}
	}
	for _, p := range b.members {
		if p.node != nil && p.node.TailReady(b.nowUs) {
			open = append(open, p.me.ID)
			if p.node.CommitIndex() < most {
				b.broken = fmt.Sprintf("%s is open at %d, %d was acknowledged", p.me.ID, p.node.CommitIndex(), most)
			}
		}
	}
	if len(open) > 1 {
		b.broken = fmt.Sprintf("two open tails: %v", open)
	}
}

const tickUs = 350 * clock.Ms

func (b *box) tickLength() int64 {
	if b.everyUs > 0 {
		return b.everyUs
	}
	return tickUs
}

func (b *box) tick() {
	b.nowUs += b.tickLength()
	b.ticks++
	for i := range b.members {
		b.step(i, Tick{})
	}
}

// ready: the next save of this member may be synced.
func (p *place) ready() bool { return len(p.saves) > 0 && !p.full }

// fill makes a disk refuse its next save, and all until it takes bytes again.
func (b *box) fill(i int) {
	b.fills++
	p := b.members[i]
	p.full = true
	b.step(i, PersistRefused{Seq: p.saves[0].Seq})
}

func (b *box) synced(i int) {
	p := b.members[i]
	s := p.saves[0]
	p.saves = p.saves[1:]
	if s.Compact {
		p.disk = nil
	}
	if s.Snapshot != nil {
		p.disk = append(slices.Clip(p.disk), Record{Snapshot: s.Snapshot})
	}
	p.disk = append(slices.Clip(p.disk), s.Records...)
	b.step(i, Persisted{Seq: s.Seq})
}

func (b *box) deliver(way [2]int) {
	m := b.pipes[way][0]
	b.pipes[way] = slices.Clone(b.pipes[way][1:])
	b.step(way[1], MessageReceived{Msg: &m})
}

// settle carries out all that is under way, in one fixed order.
func (b *box) settle() {
	for n := 0; n < 400; n++ {
		moved := false
		for i := range b.members {
			if b.members[i].ready() {
				b.synced(i)
				moved = true
			}
			for j := range b.members {
				if len(b.pipes[[2]int{i, j}]) > 0 {
					b.deliver([2]int{i, j})
					moved = true
				}
			}
		}
		if !moved {
			return
		}
	}
}

func (b *box) write() {
	b.writes++
	for i, p := range b.members {
		if p.node != nil && p.node.IsHead() {
			doc := &configuration.Declaration{Name: fmt.Sprint("w", b.writes)}
			b.step(i, ChangeSubmitted{Change: &statemachine.Change{ID: doc.Name, Config: &statemachine.ConfigChange{Doc: doc}}})
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
func (b *box) next(l limits) []*box {
	out := []*box{}
	try := func(act func(c *box)) {
		c := b.clone()
		act(c)
		c.judge()
		out = append(out, c)
	}
	for i := range b.members {
		if b.members[i].ready() {
			try(func(c *box) { c.synced(i) })
			if b.fills < l.fills && b.crashes == 0 {
				try(func(c *box) { c.fill(i) })
			}
		}
		if b.members[i].full {
			try(func(c *box) { c.members[i].full = false })
		}
		for j := range b.members {
			if way := [2]int{i, j}; len(b.pipes[way]) > 0 {
				try(func(c *box) { c.deliver(way) })
			}
		}
		if b.members[i].node == nil {
			try(func(c *box) { c.start(i, 0) })
		} else if b.crashes < l.crashes && b.fills == 0 {
			try(func(c *box) {
				c.crashes++
				c.crash(i)
			})
		}
	}
	if l.heals && len(b.cuts) > 0 {
		try(func(c *box) { c.cuts = nil })
	}
	if b.ticks < l.ticks {
		try(func(c *box) { c.tick() })
	}
	if b.writes < l.writes {
		try(func(c *box) { c.write() })
	}
	return out
}

// explore goes through every state within a depth, each once; it reports how many there are, and how
// many views and acknowledgements they held.
func explore(t *testing.T, from *box, depth int, l limits) (states, views, acked int) {
	t.Helper()
	seen := map[string]bool{from.key(): true}
	edge := []*box{from}
	for d := 0; d < depth; d++ {
		var beyond []*box
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

func (b *box) pass(ticks int) {
	for n := 0; n < ticks; n++ {
		b.tick()
		b.settle()
	}
	b.ticks = 0
}

// silence lets time go by without anything being delivered or synced but hellos.
func (b *box) silence(ticks int) {
	for n := 0; n < ticks; n++ {
		b.tick()
	}
	b.ticks = 0
}

func scenarios() map[string]func() *box {
	down := func(i int) func() *box {
		return func() *box {
			b := newBox()
			b.write()
			b.settle()
			b.crash(i)
			b.silence(3)
			return b
		}
	}
	return map[string]func() *box{
		"the head is gone":   down(0),
		"the middle is gone": down(1),
		"the tail is gone":   down(2),
		"a write under way as the tail goes": func() *box {
			b := newBox()
			b.write()
			b.synced(0)
			b.crash(2)
			b.silence(3)
			return b
		},
		"an empty one joins": func() *box {
			b := newBox()
			b.write()
			b.settle()
			b.crash(1)
			b.pass(8)
			b.members[1].disk, b.members[1].me.ID = nil, "m1-2"
			b.start(1, 0)
			b.silence(2)
			return b
		},
		"one that lost its last records joins": func() *box {
			b := newBox()
			b.write()
			b.settle()
			disk := b.members[2].disk
			b.crash(2)
			b.pass(6)
			b.members[2].disk = disk[:len(disk)-2]
			b.start(2, 0)
			b.silence(2)
			return b
		},
		"all restart, one of them lossy": func() *box {
			b := newBox()
			b.write()
			b.settle()
			for i := range b.members {
				b.crash(i)
			}
			b.members[0].disk = b.members[0].disk[:len(b.members[0].disk)-2]
			for i := range b.members {
				b.start(i, 0)
			}
			b.silence(1)
			return b
		},
	}
}

const (
	exploreDepth = 6
	racedDepth   = 3
	pathMost     = 72
	pathStride   = 6
)

// onward takes the one action that comes first in a fixed order, or a tick where nothing is under way.
func (b *box) onward() {
	for i := range b.members {
		if b.members[i].ready() {
			b.synced(i)
			return
		}
		for j := range b.members {
			if len(b.pipes[[2]int{i, j}]) > 0 {
				b.deliver([2]int{i, j})
				return
			}
		}
	}
	b.tick()
	b.ticks = 0
}

// From states all along the way through each scenario's view changes, every interleaving of
// deliveries, syncs, ticks, writes, a crash and restarts up to a depth.
func TestEveryInterleavingInTheSmall(t *testing.T) {
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
				b.onward()
				b.judge()
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
					b.judge()
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
func (b *box) choices(r uint64) []func(*box) {
	acts := []func(*box){}
	down := 0
	for i := range b.members {
		if b.members[i].ready() {
			acts = append(acts, func(c *box) { c.synced(i) })
			if r%40 == 7 {
				acts = append(acts, func(c *box) { c.fill(i) })
			}
		}
		if b.members[i].full && r%12 == 5 {
			acts = append(acts, func(c *box) { c.members[i].full = false })
		}
		for j := range b.members {
			if way := [2]int{i, j}; len(b.pipes[way]) > 0 {
				acts = append(acts, func(c *box) { c.deliver(way) })
			}
		}
		if b.members[i].node == nil {
			down++
			if r%8 == 0 {
				acts = append(acts, func(c *box) { c.start(i, 0) })
			}
		}
	}
	if r%crashEvery == 1 && down == 0 {
		acts = append(acts, func(c *box) { c.crash(int(r/64) % 3) })
	}
	if r%20 == 3 {
		acts = append(acts, (*box).write)
	}
	if r%6 == 2 {
		acts = append(acts, (*box).tick)
	}
	return acts
}

func TestRecordsAreCarriedAsJSON(t *testing.T) {
	b := newBox()
	b.write()
	b.settle()
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
