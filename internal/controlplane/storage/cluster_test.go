package storage

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// What things cost in a cluster. A core encodes and decodes JSON and packs a copy at about these rates (a state of
// 488 KB took 9.5, 11.5 and 10.7 ms on one machine; twice that is charged), and a change takes its time to apply
// with each route (5.7 ms at 900).
const (
	linkDelayUs     = 500
	linkNsPerByte   = 8
	syncUs          = 1000
	retrySaveUs     = 250 * clock.Ms
	codeNsPerByte   = 50
	applyUs         = 200
	applyPerRouteUs = 7
	handleUs        = 50
	tickUs          = 25 * clock.Ms
	resubmitUs      = 400 * clock.Ms
)

// cluster is a chain with the store's own code on disks in memory, under simulated time: links with a delay and a
// bandwidth, disks that take a millisecond for a sync, and one core for each member, which is charged for what it
// encodes, decodes and applies.
type cluster struct {
	t       *testing.T
	nowUs   int64
	queue   eventQueue
	events  int
	members []*member
	routes  int
	starts  int
	// copyCosts are those of a whole state; the others always cost the same.
	copyCosts costs

	change   *statemachine.Change
	sentUs   int64
	next     func(version uint64) *statemachine.ConfigChange
	changes  uint64
	gapUs    int64
	worstUs  int64
	slowest  uint64
	newest   uint64
	mostDisk int64
	// logMost is the size of a log that is begun anew, keepMost the number of entries kept; 0 for the usual ones.
	logMost  int64
	keepMost int
	// wrong is the first rule that was broken.
	wrong string
}

// costs are what a byte of a copy costs on a link and on a core.
type costs struct{ linkNs, codeNs int64 }

// member is one machine: its process while it lives, its disk, core and link.
type member struct {
	cluster *cluster
	me      chain.Member
	node    *chain.Node
	store   *Store
	disk    *powerDisk
	boot    int
	coreUs  int64
	diskUs  int64
	linkUs  int64
	// received counts the bytes of messages from others, and copies those of them that carried a whole state.
	received, copies int64
	saves            []chain.Persist
	// losesPowerIn counts down the changes of the disk that a copy takes; before the last one power is lost, and
	// leaves one of the disks that it may leave.
	losesPowerIn int
	leaves       func(all []*powerDisk) *powerDisk
}

type event struct {
	atUs  int64
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atUs < q[j].atUs || q[i].atUs == q[j].atUs && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *cluster) at(us int64, run func()) {
	c.events++
	heap.Push(&c.queue, event{max(us, c.nowUs), c.events, run})
}

// pass lets time go on until the moment, or until done says so.
func (c *cluster) pass(us int64, done func() bool) bool {
	endUs := c.nowUs + us
	for len(c.queue) > 0 && c.queue[0].atUs <= endUs {
		e := heap.Pop(&c.queue).(event)
		c.nowUs = e.atUs
		e.run()
		if done != nil && done() {
			return true
		}
	}
	c.nowUs = endUs
	return false
}

func newCluster(t *testing.T, routes int, next func(version uint64) *statemachine.ConfigChange) *cluster {
	return newBoundedCluster(t, routes, next, 0, 0)
}

func newBoundedCluster(t *testing.T, routes int, next func(version uint64) *statemachine.ConfigChange, logMost int64, keepMost int) *cluster {
	c := &cluster{t: t, nowUs: clock.Sec, routes: routes, next: next, gapUs: 20 * clock.Ms, logMost: logMost, keepMost: keepMost, copyCosts: costs{linkNsPerByte, codeNsPerByte}}
	for _, name := range []string{"a", "b", "c"} {
		c.members = append(c.members, &member{cluster: c, me: chain.Member{ID: name + "-1", Name: name, Addr: name, Zone: name}, disk: newPowerDisk()})
	}
	for _, m := range c.members {
		m.start(true)
	}
	if !c.pass(20*clock.Sec, func() bool { return c.whole() }) {
		t.Fatal("it was not founded")
	}
	c.submitNext()
	return c
}

func (m *member) start(first bool) {
	c := m.cluster
	c.starts++
	m.boot++
	m.coreUs, m.diskUs, m.linkUs, m.saves = 0, 0, 0, nil
	opened, err := openFiles(m.disk, "/data", chain.Owner{MemberID: m.me.ID, Name: m.me.Name})
	if err != nil {
		c.fail("%s does not open: %v", m.me.Name, err)
		m.loseDisk()
		m.start(false)
		return
	}
	m.store = opened.Store
	m.me.ID = m.store.Owner().MemberID
	opts := chain.Options{
		Self: m.me, Incarnation: fmt.Sprint(m.me.ID, "/", c.starts), AutoMembership: true,
		HelloIntervalUs: 200 * clock.Ms, HeartbeatIntervalUs: 200 * clock.Ms, SuspectTimeoutUs: 800 * clock.Ms, LeaseDurationUs: 700 * clock.Ms,
		VoteRecoveryTimeoutUs: 900 * clock.Ms, GatherTimeoutUs: 1300 * clock.Ms, PrepareTimeoutUs: 200 * clock.Ms,
		MaxLogBytes: c.logMost, MaxRetainedEntries: c.keepMost, UnsyncedLog: opened.WriteErr != nil,
	}
	if first {
		opts.BootstrapAddrs, opts.FirstStart = []string{"a", "b", "c"}, true
	}
	if m.node, err = chain.NewNode(opts, opened.Records, c.nowUs); err != nil {
		c.t.Fatal(err)
	}
	addrs := []string{}
	for _, other := range c.members {
		addrs = append(addrs, other.me.Addr)
	}
	m.handle(handleUs, chain.AddrsLearned{Addrs: addrs})
	m.insist(chain.OpeningPersistSeq, c.nowUs+syncUs, func() error {
		if _, err := m.store.Write(nil, false); err != nil {
			return err
		}
		m.step(chain.Persisted{Seq: chain.OpeningPersistSeq, LogBytes: m.store.LogBytes()})
		return nil
	})
	m.tick()
}

// loseDisk gives the machine an empty disk, with which it is another member.
func (m *member) loseDisk() {
	m.disk = newPowerDisk()
	m.me.ID = fmt.Sprint(m.me.Name, "-", m.cluster.starts+10)
}

func (m *member) stop() { m.node, m.boot = nil, m.boot+1 }

// later runs something at a moment, if the process still lives by then.
func (m *member) later(us int64, run func()) {
	boot := m.boot
	m.cluster.at(us, func() {
		if m.node != nil && m.boot == boot {
			run()
		}
	})
}

func (m *member) tick() {
	m.handle(handleUs, chain.Tick{})
	m.later(m.cluster.nowUs+tickUs, m.tick)
}

// handle gives the member an event once its core has come to it.
func (m *member) handle(costUs int64, ev chain.Event) {
	m.coreUs = max(m.coreUs, m.cluster.nowUs) + costUs
	m.later(m.coreUs, func() { m.step(ev) })
}

func (m *member) step(ev chain.Event) {
	c := m.cluster
	for _, e := range m.node.Step(c.nowUs, ev) {
		switch e := e.(type) {
		case chain.Send:
			m.send(e.Addr, e.Msg)
		case chain.Persist:
			if m.saves = append(m.saves, e); len(m.saves) == 1 {
				m.save()
			}
		case chain.Applied:
			if e.Entry.Change.Config != nil {
				m.coreUs = max(m.coreUs, c.nowUs) + applyUs + int64(c.routes)*applyPerRouteUs
			}
		}
	}
	c.judge(m)
}

func (m *member) send(addr string, msg chain.Msg) {
	c := m.cluster
	raw, err := json.Marshal(msg)
	if err != nil {
		c.t.Fatal(err)
	}
	size, bulk := int64(len(raw)), msg.CarriesSnapshot()
	cost := costs{linkNsPerByte, codeNsPerByte}
	if bulk {
		cost = c.copyCosts
	}
	codeUs := size * cost.codeNs / 1000
	m.coreUs = max(m.coreUs, c.nowUs) + codeUs
	m.linkUs = max(m.linkUs, m.coreUs) + size*cost.linkNs/1000
	for _, to := range c.members {
		if to.me.Addr != addr || to == m {
			continue
		}
		c.at(m.linkUs+linkDelayUs, func() {
			if to.node == nil {
				return
			}
			to.received += size
			if bulk {
				to.copies += size
			}
			held := chain.Msg{}
			if err := json.Unmarshal(raw, &held); err != nil {
				c.t.Fatal(err)
			}
			to.handle(handleUs+codeUs, chain.MessageReceived{Msg: &held})
		})
	}
}

// save writes the oldest save that waits, as a control node does: one at a time, copies beside the log.
func (m *member) save() {
	c := m.cluster
	s := m.saves[0]
	m.diskUs = max(m.diskUs, c.nowUs) + syncUs
	if s.Compact {
		m.diskUs += syncUs
	}
	m.insist(s.Seq, m.diskUs, func() error {
		from, err := m.store.Write(s.Records, s.Compact)
		if err != nil {
			return err
		}
		if s.Snapshot != nil {
			m.insist(s.Seq, c.nowUs+3*syncUs, func() error { return m.keep(s, from) })
		} else {
			m.step(chain.Persisted{Seq: s.Seq, LogBytes: m.store.LogBytes()})
		}
		c.weigh(m)
		if m.saves = m.saves[1:]; len(m.saves) > 0 {
			m.save()
		}
		return nil
	})
}

// insist tries the same again until the disk takes it; the chain hears of the first refusal.
func (m *member) insist(seq uint64, us int64, try func() error) {
	m.later(us, func() {
		err := try()
		var bad *fault.Fault
		switch {
		case errors.As(err, &bad):
			m.cluster.t.Fatal(err)
		case err != nil:
			m.step(chain.PersistRefused{Seq: seq})
			m.insist(seq, m.cluster.nowUs+retrySaveUs, try)
		}
	})
}

func (m *member) keep(s chain.Persist, from uint64) error {
	left := m.powerLostWhile(func() error { return m.store.SaveSnapshot(*s.Snapshot, from) })
	if left.disk != nil {
		m.stop()
		m.disk = left.disk.settled()
		return nil
	}
	m.cluster.weigh(m)
	if left.err == nil && s.Compact {
		left.err = m.store.Compact(from)
	}
	if left.err == nil {
		m.step(chain.Persisted{Seq: s.Seq, LogBytes: m.store.LogBytes()})
	}
	return left.err
}

// leftOver is how a piece of work ended: with an error or none, or with a loss of power that left a disk.
type leftOver struct {
	disk *powerDisk
	err  error
}

func (m *member) powerLostWhile(work func() error) (left leftOver) {
	if m.losesPowerIn == 0 {
		return leftOver{err: work()}
	}
	m.disk.before = func() {
		if m.losesPowerIn--; m.losesPowerIn == 0 {
			left.disk = m.leaves(m.disk.afterPowerLoss())
		}
	}
	left.err = work()
	m.disk.before = nil
	if left.disk == nil && m.losesPowerIn == 1 {
		m.losesPowerIn, left.disk = 0, m.leaves(m.disk.afterPowerLoss())
	}
	return left
}

// weigh notes the most that a disk has held.
func (c *cluster) weigh(m *member) {
	sum := int64(0)
	for _, f := range m.disk.names {
		sum += int64(len(f.data))
	}
	c.mostDisk = max(c.mostDisk, sum)
}

func (c *cluster) head() *member {
	for _, m := range c.members {
		if m.node != nil && m.node.IsHead() {
			return m
		}
	}
	return nil
}

// place finds the member at a place of the newest view.
func (c *cluster) place(at int) *member {
	order := c.head().node.View().Replicas
	for _, m := range c.members {
		if m.me.ID == order[at].ID {
			return m
		}
	}
	return nil
}

// whole: every member that lives has a seat, a vote and all that was acknowledged.
func (c *cluster) whole() bool {
	for _, m := range c.members {
		if m.node == nil || !m.caughtUp() {
			return false
		}
	}
	return true
}

func (m *member) caughtUp() bool {
	n := m.node
	view := n.View()
	return n.Phase() == chain.PhaseServing && n.WaitReason() == "" && view.IsVoter(m.me.ID) && len(view.Replicas) == 3 && n.CommitIndex()+2 >= m.cluster.newest
}

// submitNext begins the next change; it is sent again until it is acknowledged.
func (c *cluster) submitNext() {
	c.changes++
	c.sentUs = c.nowUs
	c.change = &statemachine.Change{ID: fmt.Sprint("change-", c.changes), Config: c.next(c.changes)}
	c.submit(c.change)
}

func (c *cluster) submit(change *statemachine.Change) {
	if c.change != change {
		return
	}
	if h := c.head(); h != nil {
		held := *change
		h.handle(handleUs, chain.ChangeSubmitted{Change: &held})
	}
	c.at(c.nowUs+resubmitUs, func() { c.submit(change) })
}

// judge holds what a member may say against what was acknowledged, and takes the acknowledgement of the change that
// is under way.
func (c *cluster) judge(m *member) {
	n := m.node
	if n.IsTailReady(c.nowUs) && n.CommitIndex() < c.newest {
		c.fail("%s answers as tail at %d, %d was acknowledged", m.me.ID, n.CommitIndex(), c.newest)
	}
	if n.IsHeadConfirmed(c.nowUs) && n.LastIndex() < c.newest {
		c.fail("%s gives orders at %d, %d was acknowledged", m.me.ID, n.LastIndex(), c.newest)
	}
	if c.change == nil {
		return
	}
	out, seen := n.State().Outcomes[c.change.ID]
	if !seen || !n.IsDurable(out.Index) {
		return
	}
	if out.Fault != nil {
		c.fail("change %d: %v", c.changes, out.Fault)
	}
	c.acknowledged(out.Index)
}

func (c *cluster) acknowledged(index uint64) {
	if tookUs := c.nowUs - c.sentUs; tookUs > c.worstUs {
		c.worstUs, c.slowest = tookUs, c.changes
	}
	c.newest = index
	c.change = nil
	c.at(c.nowUs+c.gapUs, c.submitNext)
}

func (c *cluster) fail(format string, args ...any) {
	if c.wrong == "" {
		c.wrong = fmt.Sprintf("at %d ms: ", c.nowUs/clock.Ms) + fmt.Sprintf(format, args...)
	}
}

// acknowledge lets so many changes be acknowledged, within a time for each.
func (c *cluster) acknowledge(count int) {
	want := c.changes + uint64(count)
	c.pass(int64(count)*2*clock.Sec+20*clock.Sec, func() bool { return c.changes >= want || c.wrong != "" })
	if c.changes < want {
		c.fail("%d changes of %d", c.changes, want)
	}
}
