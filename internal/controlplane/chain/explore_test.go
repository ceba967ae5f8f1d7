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

// smallChain models a whole chain for state space exploration: the members, their disks and the messages in flight between them.
// A hello is delivered when it is sent. Other messages may be delivered in any order across pairs of members, delayed, or lost
// with a crash.
type smallChain struct {
	nowUs        int64
	members      []*smallMember
	links        map[[2]int][]Msg
	views        map[uint64]View
	acked        map[uint64]string
	crashes      int
	ticks        int
	writes       int
	diskRefusals int
	incarnations int
	violation    string
	// fenced counts the processes that were fenced by a newer process of their member.
	fenced int
	// autoMembership is Options.AutoMembership of all members.
	autoMembership bool
	// minReplicas is Options.MinReplicas of all members, with autoMembership.
	minReplicas int
	// tickIntervalUs is the time between ticks; 0 is tickUs.
	tickIntervalUs int64
	// dropHellos drops all hellos.
	dropHellos bool
	// cutLinks are the directed links that deliver no messages.
	cutLinks map[[2]int]bool
	// mutate changes a message in flight; nil changes none.
	mutate func(Msg) Msg
	// tenures checks which processes were ready as the tail.
	tenures tailTenures
}

type smallMember struct {
	member          Member
	node            *Node
	disk            []Record
	pendingPersists []Persist
	diskFull        bool
	// removed marks a machine that never restarts. uptimeTicks is how many ticks its process has run for.
	removed     bool
	uptimeTicks int
	// restartableUs is from when it may restart.
	restartableUs int64
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
		p.promises, p.acceptances = maps.Clone(p.promises), maps.Clone(p.acceptances)
		c.proposal = &p
	}
	c.effects = nil
	return &c
}

// stateKey encodes the whole state that later steps can depend on, with times relative to nowUs.
func (n *Node) stateKey(nowUs int64) string {
	age := func(us int64) int64 {
		if us == 0 {
			return -1
		}
		return max(-2_000_000, min(nowUs-us, 4_000_000))
	}
	peers := []string{}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		h := p.hello
		peers = append(peers, fmt.Sprint(id, h.Incarnation, h.Phase, h.View.Number, h.LastIndex, h.LastView, h.VotesRecovered, h.CaughtUp, h.PromisedBallot, h.AlivePeers, h.SnapshotIndex, h.AcceptedProposal != nil, h.Stalled, h.ShuttingDown, age(p.lastHelloUs), n.awakeUs-p.lastHelloAwakeUs, age(p.stalledSinceUs), age(p.lastMutualUs), age(p.firstHelloUs), age(p.echoUs), age(p.firstStalledHelloUs), age(p.voter.sentUs)))
	}
	pendingWrites := []string{}
	for _, seq := range slices.Sorted(maps.Keys(n.pendingWrites)) {
		s := n.pendingWrites[seq]
		pendingWrites = append(pendingWrites, fmt.Sprint(age(s.startedUs), s.entryIndex, s.snapshotIndex, s.reply != nil, s.refused))
	}
	leases := []string{}
	for _, id := range slices.Sorted(maps.Keys(n.leaseGrants)) {
		leases = append(leases, fmt.Sprint(id, age(n.leaseGrants[id])))
	}
	proposal := ""
	if c := n.proposal; c != nil {
		proposal = fmt.Sprint(c.viewNumber, c.ballot, c.desired, c.chosen, slices.Sorted(maps.Keys(c.promises)), slices.Sorted(maps.Keys(c.acceptances)), c.preparing, c.dropIfUnneeded, age(c.startedUs), c.evidence.lost, c.evidence.tieBreakerLost, isIsolated(c.promises), isIsolated(c.acceptances))
	}
	accepted := ""
	if n.acceptedProposal != nil {
		accepted = fmt.Sprint(*n.acceptedProposal)
	}
	return fmt.Sprint(n.opts.Incarnation, n.phase, n.view, n.promisedBallot, accepted, n.votesRecovered, n.caughtUp, n.shuttingDown, n.base.Index, n.lastIndex(), n.lastView(), n.commitIndex, n.syncedIndex, n.stagedIndex,
		n.snapshotIndex, proposal, n.maxRound, age(n.viewStableUs), age(n.diskLaggedUs), n.pendingAccept != nil, age(n.leaseGuardUs), age(n.grantedLease.untilUs), age(n.grantedLease.sentUs), age(n.leaseReleasedUs), n.successorProgress.acked, n.successorProgress.sent, n.successorProgress.known, n.viewStartIndex, n.viewStartKnown,
		leases, n.tailCommitIndex, age(n.leaseUntilUs), age(n.viewInstalledUs), age(n.startedUs), peers, pendingWrites)
}

func (sc *smallChain) stateKey() string {
	var text strings.Builder
	for _, p := range sc.members {
		if p.node != nil {
			text.WriteString(p.node.stateKey(sc.nowUs))
		}
		fmt.Fprint(&text, "|", len(p.pendingPersists), len(p.disk), p.diskFull, ";")
	}
	for i := range sc.members {
		for j := range sc.members {
			for _, m := range sc.links[[2]int{i, j}] {
				fmt.Fprint(&text, i, j, messageKind(m), messageSummary(m), ";")
			}
		}
	}
	fmt.Fprint(&text, len(sc.cutLinks), sc.crashes, sc.ticks, sc.writes, sc.diskRefusals, len(sc.acked))
	return text.String()
}

func messageKind(m Msg) string {
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
		held := &smallMember{member: p.member, disk: slices.Clip(p.disk), pendingPersists: slices.Clone(p.pendingPersists), diskFull: p.diskFull, removed: p.removed, uptimeTicks: p.uptimeTicks, restartableUs: p.restartableUs}
		if p.node != nil {
			held.node = p.node.clone()
		}
		c.members = append(c.members, held)
	}
	c.links = map[[2]int][]Msg{}
	for link, list := range sc.links {
		if len(list) > 0 {
			c.links[link] = slices.Clone(list)
		}
	}
	c.views, c.acked, c.tenures = maps.Clone(sc.views), maps.Clone(sc.acked), sc.tenures.clone()
	return &c
}

func newSmallChain() *smallChain {
	sc := &smallChain{nowUs: clock.Sec, links: map[[2]int][]Msg{}, views: map[uint64]View{}, acked: map[uint64]string{}}
	for i := 0; i < 3; i++ {
		name := fmt.Sprintf("m%d", i)
		sc.members = append(sc.members, &smallMember{member: Member{ID: name + "-1", Name: name, Addr: name}})
	}
	for i := range sc.members {
		sc.start(i, 3)
	}
	for n := 0; n < 12; n++ {
		sc.tick()
		sc.deliverAll()
	}
	sc.ticks = 0
	return sc
}

func (sc *smallChain) start(i, founding int) {
	sc.incarnations++
	p := sc.members[i]
	opts := Options{Self: p.member, Incarnation: fmt.Sprintf("%s/%d", p.member.ID, sc.incarnations), BootstrapCount: founding}
	if sc.autoMembership {
		opts.AutoMembership, opts.MinReplicas = true, sc.minReplicas
		opts = withFleetTimings(opts)
	}
	node, err := NewNode(opts, p.disk, sc.nowUs)
	if err != nil {
		panic(err)
	}
	p.node = node
	for j, other := range sc.members {
		if j != i && !other.removed {
			node.knownAddrs[other.member.Addr] = true
		}
	}
}

func (sc *smallChain) crash(i int) {
	p := sc.members[i]
	p.node, p.pendingPersists, p.diskFull = nil, nil, false
	for link := range sc.links {
		if link[0] == i || link[1] == i {
			delete(sc.links, link)
		}
	}
}

func (sc *smallChain) indexOf(addr string) int {
	for i, p := range sc.members {
		if p.member.Addr == addr {
			return i
		}
	}
	return -1
}

// step processes one event and carries out its effects. A hello is delivered at once, and a periodic message replaces an older
// one of its kind that is still in flight.
func (sc *smallChain) step(i int, ev Event) {
	p := sc.members[i]
	if p.node == nil {
		return
	}
	for _, e := range p.node.Step(sc.nowUs, ev) {
		switch e := e.(type) {
		case Send:
			j := sc.indexOf(e.Addr)
			if j < 0 || sc.members[j].node == nil {
				continue
			}
			m := e.Msg
			if sc.mutate != nil {
				m = sc.mutate(m)
			}
			if sc.cutLinks[[2]int{i, j}] || (m.Hello != nil && sc.dropHellos) {
				continue
			}
			if m.Hello != nil {
				sc.step(j, MessageReceived{Msg: &m})
				continue
			}
			sc.enqueue(i, j, m)
		case Persist:
			p.pendingPersists = append(p.pendingPersists, e)
		case Applied:
			sc.recordApplied(p, e)
		case Fenced:
			sc.fenced++
		case ViewInstalled:
			if before, seen := sc.views[e.View.Number]; seen {
				if diff := cmp.Diff(before, e.View); diff != "" {
					sc.violation = fmt.Sprintf("view %d was decided twice: %s", e.View.Number, diff)
				}
			}
			sc.views[e.View.Number] = e.View
		}
	}
}

func (sc *smallChain) enqueue(i, j int, m Msg) {
	link := [2]int{i, j}
	kind := messageKind(m)
	if kind == "forward" || kind == "ack" || kind == "lease" || kind == "given" {
		for at, older := range sc.links[link] {
			if messageKind(older) == kind {
				sc.links[link][at] = m
				return
			}
		}
	}
	sc.links[link] = append(sc.links[link], m)
}

func (sc *smallChain) recordApplied(p *smallMember, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := sc.acked[a.Entry.Index]; seen && before != id {
		sc.violation = fmt.Sprintf("%s applied %s at index %d, where %s was acknowledged", p.member.ID, id, a.Entry.Index, before)
	}
	if p.node.IsTail() && p.node.AcceptsWrites() {
		sc.acked[a.Entry.Index] = id
	}
}

func (sc *smallChain) checkInvariants() {
	readyTails := []string{}
	maxAcked := uint64(0)
	for index := range sc.acked {
		maxAcked = max(maxAcked, index)
	}
	for _, p := range sc.members {
		if p.node != nil {
			maxAcked = max(maxAcked, p.node.durableIndex())
		}
	}
	for _, p := range sc.members {
		if p.node != nil && p.node.IsTailReady(sc.nowUs) {
			readyTails = append(readyTails, p.member.ID)
			if p.node.CommitIndex() < maxAcked {
				sc.violation = fmt.Sprintf("%s is ready as the tail at commit index %d, but index %d was acknowledged", p.member.ID, p.node.CommitIndex(), maxAcked)
			}
			if violation := sc.tenures.check(p.node); violation != "" {
				sc.violation = violation
			}
		}
	}
	if len(readyTails) > 1 {
		sc.violation = fmt.Sprintf("two ready tails: %v", readyTails)
	}
}

const tickUs = 350 * clock.Ms

func (sc *smallChain) tickDurationUs() int64 {
	if sc.tickIntervalUs > 0 {
		return sc.tickIntervalUs
	}
	return tickUs
}

func (sc *smallChain) tick() {
	sc.nowUs += sc.tickDurationUs()
	sc.ticks++
	for i := range sc.members {
		sc.step(i, Tick{})
	}
}

// canSync reports whether the next write of this member can be synced.
func (p *smallMember) canSync() bool { return len(p.pendingPersists) > 0 && !p.diskFull }

// refuseWrite makes a disk refuse its next write, and all further ones until diskFull is cleared.
func (sc *smallChain) refuseWrite(i int) {
	sc.diskRefusals++
	p := sc.members[i]
	p.diskFull = true
	sc.step(i, PersistRefused{Seq: p.pendingPersists[0].Seq})
}

func (sc *smallChain) syncNext(i int) {
	p := sc.members[i]
	s := p.pendingPersists[0]
	p.pendingPersists = p.pendingPersists[1:]
	if s.Compact {
		p.disk = nil
	}
	if s.Snapshot != nil {
		p.disk = append(slices.Clip(p.disk), Record{Snapshot: s.Snapshot})
	}
	p.disk = append(slices.Clip(p.disk), s.Records...)
	sc.step(i, Persisted{Seq: s.Seq})
}

func (sc *smallChain) deliver(link [2]int) {
	m := sc.links[link][0]
	sc.links[link] = slices.Clone(sc.links[link][1:])
	sc.step(link[1], MessageReceived{Msg: &m})
}

// deliverAll delivers all messages in flight and syncs all pending writes, in a fixed order.
func (sc *smallChain) deliverAll() {
	for n := 0; n < 400; n++ {
		moved := false
		for i := range sc.members {
			if sc.members[i].canSync() {
				sc.syncNext(i)
				moved = true
			}
			for j := range sc.members {
				if len(sc.links[[2]int{i, j}]) > 0 {
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

type exploreLimits struct {
	crashes, ticks, writes, diskRefusals int
	// healLinks allows cut links to be restored.
	healLinks bool
}

// nextStates returns every state that one action can lead to.
func (sc *smallChain) nextStates(l exploreLimits) []*smallChain {
	out := []*smallChain{}
	try := func(act func(c *smallChain)) {
		c := sc.clone()
		act(c)
		c.checkInvariants()
		out = append(out, c)
	}
	for i := range sc.members {
		if sc.members[i].canSync() {
			try(func(c *smallChain) { c.syncNext(i) })
			if sc.diskRefusals < l.diskRefusals && sc.crashes == 0 {
				try(func(c *smallChain) { c.refuseWrite(i) })
			}
		}
		if sc.members[i].diskFull {
			try(func(c *smallChain) { c.members[i].diskFull = false })
		}
		for j := range sc.members {
			if link := [2]int{i, j}; len(sc.links[link]) > 0 {
				try(func(c *smallChain) { c.deliver(link) })
			}
		}
		if sc.members[i].node == nil {
			try(func(c *smallChain) { c.start(i, 0) })
		} else if sc.crashes < l.crashes && sc.diskRefusals == 0 {
			try(func(c *smallChain) {
				c.crashes++
				c.crash(i)
			})
		}
	}
	if l.healLinks && len(sc.cutLinks) > 0 {
		try(func(c *smallChain) { c.cutLinks = nil })
	}
	if sc.ticks < l.ticks {
		try(func(c *smallChain) { c.tick() })
	}
	if sc.writes < l.writes {
		try(func(c *smallChain) { c.write() })
	}
	return out
}

// explore visits every state within a depth once. It returns the number of states, and the maximum numbers of views and of
// acknowledged entries in a state.
func explore(t *testing.T, from *smallChain, depth int, l exploreLimits) (states, views, acked int) {
	t.Helper()
	seen := map[string]bool{from.stateKey(): true}
	frontier := []*smallChain{from}
	for d := 0; d < depth; d++ {
		var next []*smallChain
		for _, sc := range frontier {
			for _, c := range sc.nextStates(l) {
				if c.violation != "" {
					t.Fatalf("depth %d: %s", d+1, c.violation)
				}
				if k := c.stateKey(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
				views, acked = max(views, len(c.views)), max(acked, len(c.acked))
			}
		}
		frontier = next
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

// advanceIsolated advances the time with only hellos delivered and nothing synced.
func (sc *smallChain) advanceIsolated(ticks int) {
	for n := 0; n < ticks; n++ {
		sc.tick()
	}
	sc.ticks = 0
}

func scenarios() map[string]func() *smallChain {
	down := func(i int) func() *smallChain {
		return func() *smallChain {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			sc.crash(i)
			sc.advanceIsolated(3)
			return sc
		}
	}
	return map[string]func() *smallChain{
		"the head crashed":   down(0),
		"the middle crashed": down(1),
		"the tail crashed":   down(2),
		"the tail crashed during a write": func() *smallChain {
			sc := newSmallChain()
			sc.write()
			sc.syncNext(0)
			sc.crash(2)
			sc.advanceIsolated(3)
			return sc
		},
		"a member with an empty disk joins": func() *smallChain {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			sc.crash(1)
			sc.advanceTicks(8)
			sc.members[1].disk, sc.members[1].member.ID = nil, "m1-2"
			sc.start(1, 0)
			sc.advanceIsolated(2)
			return sc
		},
		"a member that lost its last records joins": func() *smallChain {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			disk := sc.members[2].disk
			sc.crash(2)
			sc.advanceTicks(6)
			sc.members[2].disk = disk[:len(disk)-2]
			sc.start(2, 0)
			sc.advanceIsolated(2)
			return sc
		},
		"all restart, one without its last records": func() *smallChain {
			sc := newSmallChain()
			sc.write()
			sc.deliverAll()
			for i := range sc.members {
				sc.crash(i)
			}
			sc.members[0].disk = sc.members[0].disk[:len(sc.members[0].disk)-2]
			for i := range sc.members {
				sc.start(i, 0)
			}
			sc.advanceIsolated(1)
			return sc
		},
	}
}

const (
	exploreDepth  = 6
	raceDepth     = 3
	maxPathLength = 84
	pathStride    = 6
)

// advanceOnce performs the first possible action in a fixed order, or a tick if nothing is in flight.
func (sc *smallChain) advanceOnce() {
	for i := range sc.members {
		if sc.members[i].canSync() {
			sc.syncNext(i)
			return
		}
		for j := range sc.members {
			if len(sc.links[[2]int{i, j}]) > 0 {
				sc.deliver([2]int{i, j})
				return
			}
		}
	}
	sc.tick()
	sc.ticks = 0
}

// Explores every interleaving of deliveries, syncs, ticks, writes, a crash and restarts up to a depth, from states along the path
// through the view changes of each scenario.
func TestInvariantsHoldInEveryInterleaving(t *testing.T) {
	depth, stride := exploreDepth, pathStride
	if raceEnabled {
		depth, stride = raceDepth, 2*pathStride
	}
	all := scenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := all[name]()
			viewsBefore := len(sc.views)
			states, views, acked, starts := 0, 0, 0, 0
			for n := 0; n < maxPathLength; n++ {
				if n%stride == 0 {
					s, v, a := explore(t, sc.clone(), depth, exploreLimits{crashes: 1, ticks: 2, writes: sc.writes + 1, diskRefusals: 1})
					states, views, acked, starts = states+s, max(views, v), max(acked, a), starts+1
				}
				sc.advanceOnce()
				sc.checkInvariants()
				if sc.violation != "" {
					t.Fatal(sc.violation)
				}
			}
			t.Logf("%d states within %d actions of %d start states, %d view changes, %d entries acknowledged", states, depth, starts, views-viewsBefore, acked)
			if states < 200 || views == viewsBefore {
				t.Errorf("got %d states and %d view changes, want at least 200 and 1 for a meaningful test", states, views-viewsBefore)
			}
		})
	}
}

// Takes long random walks from each scenario, through complete view changes, joins and crashes.
func TestInvariantsHoldOnRandomWalksThroughViewChanges(t *testing.T) {
	all := scenarios()
	walks := 400
	if raceEnabled {
		walks = 40
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			views, acked := 0, 0
			for seed := 0; seed < walks; seed++ {
				sc := all[name]()
				r := uint64(seed)*2654435761 + 1
				for n := 0; n < 500; n++ {
					r ^= r << 13
					r ^= r >> 7
					r ^= r << 17
					sc.ticks, sc.writes = 0, min(sc.writes, n/40)
					sc.crashes = min(sc.crashes, n/150)
					nexts := sc.randomActions(r)
					if len(nexts) == 0 {
						sc.tick()
					} else {
						nexts[r%uint64(len(nexts))](sc)
					}
					sc.checkInvariants()
					if sc.violation != "" {
						t.Fatalf("walk %d, action %d: %s", seed, n, sc.violation)
					}
				}
				views, acked = max(views, len(sc.views)), max(acked, len(sc.acked))
			}
			t.Logf("%d walks of 500 actions, up to %d views, %d entries acknowledged", walks, views, acked)
			if views < 4 || acked < 2 {
				t.Errorf("got up to %d views and %d acknowledged entries, want at least 4 and 2 for a meaningful test", views, acked)
			}
		})
	}
}

const crashInterval = 50

// randomActions returns the actions that are possible now. Crashes and ticks are offered less often than deliveries.
func (sc *smallChain) randomActions(r uint64) []func(*smallChain) {
	actions := []func(*smallChain){}
	down := 0
	for i := range sc.members {
		if sc.members[i].canSync() {
			actions = append(actions, func(c *smallChain) { c.syncNext(i) })
			if r%40 == 7 {
				actions = append(actions, func(c *smallChain) { c.refuseWrite(i) })
			}
		}
		if sc.members[i].diskFull && r%12 == 5 {
			actions = append(actions, func(c *smallChain) { c.members[i].diskFull = false })
		}
		for j := range sc.members {
			if link := [2]int{i, j}; len(sc.links[link]) > 0 {
				actions = append(actions, func(c *smallChain) { c.deliver(link) })
			}
		}
		if sc.members[i].node == nil {
			down++
			if r%8 == 0 {
				actions = append(actions, func(c *smallChain) { c.start(i, 0) })
			}
		}
	}
	if r%crashInterval == 1 && down == 0 {
		actions = append(actions, func(c *smallChain) { c.crash(int(r/64) % 3) })
	}
	if r%20 == 3 {
		actions = append(actions, (*smallChain).write)
	}
	if r%6 == 2 {
		actions = append(actions, (*smallChain).tick)
	}
	return actions
}

func TestRecordsRoundTripAsJSON(t *testing.T) {
	sc := newSmallChain()
	sc.write()
	sc.deliverAll()
	raw, err := json.Marshal(sc.members[0].disk)
	if err != nil {
		t.Fatal(err)
	}
	var back []Record
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	node, err := NewNode(Options{Self: sc.members[0].member, Incarnation: "x"}, back, sc.nowUs)
	if err != nil || node.LastIndex() != sc.members[0].node.LastIndex() || node.View().Number != sc.members[0].node.View().Number {
		t.Fatalf("got error %v, last index %d and view %v, want last index %d and view %v", err, node.LastIndex(), node.View(), sc.members[0].node.LastIndex(), sc.members[0].node.View())
	}
}
