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

// Costs in a simulated cluster. The core's costs approximate encoding and decoding JSON and compressing a snapshot: a state
// of 488 KB took 9.5, 11.5 and 10.7 ms on one machine, and twice that is charged. The cost of applying a change grows with
// the number of routes (5.7 ms at 900 routes).
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

// cluster is a chain whose members use the store on in-memory disks under simulated time. Links have a delay and a bandwidth,
// a disk takes a millisecond for a sync, and each member has one core, which is charged for encoding, decoding and applying.
type cluster struct {
	t       *testing.T
	nowUs   int64
	queue   eventQueue
	events  int
	members []*member
	routes  int
	starts  int
	// snapshotCosts are the costs of messages that carry a snapshot; the costs of other messages are constant.
	snapshotCosts costs

	change            *statemachine.Change
	sentUs            int64
	nextChange        func(version uint64) *statemachine.ConfigChange
	changes           uint64
	changeIntervalUs  int64
	slowestUs         int64
	slowestChange     uint64
	acknowledgedIndex uint64
	maxDiskBytes      int64
	// maxLogBytes is the log size that triggers compaction, maxRetainedEntries the number of entries retained; 0 selects the
	// defaults.
	maxLogBytes        int64
	maxRetainedEntries int
	// violation describes the first rule that was violated; empty where none was.
	violation string
}

// costs are the costs of one byte of a message, in ns, on a link and on a core.
type costs struct{ linkNs, codeNs int64 }

// member is one machine: its disk, core and link, and its process, whose node is nil while it is stopped.
type member struct {
	cluster *cluster
	self    chain.Member
	node    *chain.Node
	store   *Store
	disk    *powerDisk
	boot    int
	coreUs  int64
	diskUs  int64
	linkUs  int64
	// receivedBytes counts the bytes of received messages, snapshotBytes those of messages that carried a snapshot.
	receivedBytes, snapshotBytes int64
	persistQueue                 []chain.Persist
	// powerLossCountdown counts down the disk changes made while a snapshot is saved. When it reaches 0, power is lost before
	// that change, and chooseDisk selects one of the possible remaining disks. A countdown of 1 after the last change loses
	// power there. A countdown that starts at 0 injects no power loss.
	powerLossCountdown int
	chooseDisk         func(all []*powerDisk) *powerDisk
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

func (c *cluster) scheduleAt(us int64, run func()) {
	c.events++
	heap.Push(&c.queue, event{max(us, c.nowUs), c.events, run})
}

// advance runs events for the given simulated time, or until done returns true, and reports whether done did.
func (c *cluster) advance(us int64, done func() bool) bool {
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

func newBoundedCluster(t *testing.T, routes int, next func(version uint64) *statemachine.ConfigChange, maxLogBytes int64, maxRetainedEntries int) *cluster {
	c := &cluster{t: t, nowUs: clock.Sec, routes: routes, nextChange: next, changeIntervalUs: 20 * clock.Ms, maxLogBytes: maxLogBytes, maxRetainedEntries: maxRetainedEntries, snapshotCosts: costs{linkNsPerByte, codeNsPerByte}}
	for _, name := range []string{"a", "b", "c"} {
		c.members = append(c.members, &member{cluster: c, self: chain.Member{ID: name + "-1", Name: name, Addr: name, Zone: name}, disk: newPowerDisk()})
	}
	for _, m := range c.members {
		m.start(true)
	}
	if !c.advance(20*clock.Sec, func() bool { return c.allCaughtUp() }) {
		t.Fatal("cluster was not bootstrapped within 20 s of simulated time")
	}
	c.submitNext()
	return c
}

func (m *member) start(first bool) {
	c := m.cluster
	c.starts++
	m.boot++
	m.coreUs, m.diskUs, m.linkUs, m.persistQueue = 0, 0, 0, nil
	opened, err := openFiles(m.disk, "/data", chain.Owner{MemberID: m.self.ID, Name: m.self.Name})
	if err != nil {
		c.fail("store of %s does not open: %v", m.self.Name, err)
		m.loseDisk()
		m.start(false)
		return
	}
	m.store = opened.Store
	m.self.ID = m.store.Owner().MemberID
	opts := chain.Options{
		Self: m.self, Incarnation: fmt.Sprint(m.self.ID, "/", c.starts), AutoMembership: true,
		HelloIntervalUs: 200 * clock.Ms, HeartbeatIntervalUs: 200 * clock.Ms, SuspectTimeoutUs: 800 * clock.Ms, LeaseDurationUs: 700 * clock.Ms,
		VoteRecoveryTimeoutUs: 900 * clock.Ms, GatherTimeoutUs: 1300 * clock.Ms, PrepareTimeoutUs: 200 * clock.Ms,
		MaxLogBytes: c.maxLogBytes, MaxRetainedEntries: c.maxRetainedEntries, UnsyncedLog: opened.WriteErr != nil,
	}
	if first {
		opts.BootstrapAddrs, opts.FirstStart = []string{"a", "b", "c"}, true
	}
	if m.node, err = chain.NewNode(opts, opened.Records, c.nowUs); err != nil {
		c.t.Fatal(err)
	}
	addrs := []string{}
	for _, other := range c.members {
		addrs = append(addrs, other.self.Addr)
	}
	m.enqueue(handleUs, chain.AddrsLearned{Addrs: addrs})
	m.retry(chain.OpeningPersistSeq, c.nowUs+syncUs, func() error {
		if _, err := m.store.Write(nil, false); err != nil {
			return err
		}
		m.step(chain.Persisted{Seq: chain.OpeningPersistSeq, LogBytes: m.store.LogBytes()})
		return nil
	})
	m.tick()
}

// loseDisk replaces the machine's disk by an empty one, which makes it a new member.
func (m *member) loseDisk() {
	m.disk = newPowerDisk()
	m.self.ID = fmt.Sprint(m.self.Name, "-", m.cluster.starts+10)
}

func (m *member) stop() { m.node, m.boot = nil, m.boot+1 }

// scheduleAt calls run at a time if the process is still running then.
func (m *member) scheduleAt(us int64, run func()) {
	boot := m.boot
	m.cluster.scheduleAt(us, func() {
		if m.node != nil && m.boot == boot {
			run()
		}
	})
}

func (m *member) tick() {
	m.enqueue(handleUs, chain.Tick{})
	m.scheduleAt(m.cluster.nowUs+tickUs, m.tick)
}

// enqueue passes an event to the member once its core has spent costUs on it.
func (m *member) enqueue(costUs int64, ev chain.Event) {
	m.coreUs = max(m.coreUs, m.cluster.nowUs) + costUs
	m.scheduleAt(m.coreUs, func() { m.step(ev) })
}

func (m *member) step(ev chain.Event) {
	c := m.cluster
	for _, e := range m.node.Step(c.nowUs, ev) {
		switch e := e.(type) {
		case chain.Send:
			m.send(e.Addr, e.Msg)
		case chain.Persist:
			if m.persistQueue = append(m.persistQueue, e); len(m.persistQueue) == 1 {
				m.persistNext()
			}
		case chain.Applied:
			if e.Entry.Change.Config != nil {
				m.coreUs = max(m.coreUs, c.nowUs) + applyUs + int64(c.routes)*applyPerRouteUs
			}
		}
	}
	c.checkInvariants(m)
}

func (m *member) send(addr string, msg chain.Msg) {
	c := m.cluster
	raw, err := json.Marshal(msg)
	if err != nil {
		c.t.Fatal(err)
	}
	size, carriesSnapshot := int64(len(raw)), msg.CarriesSnapshot()
	cost := costs{linkNsPerByte, codeNsPerByte}
	if carriesSnapshot {
		cost = c.snapshotCosts
	}
	codeUs := size * cost.codeNs / 1000
	m.coreUs = max(m.coreUs, c.nowUs) + codeUs
	m.linkUs = max(m.linkUs, m.coreUs) + size*cost.linkNs/1000
	for _, to := range c.members {
		if to.self.Addr != addr || to == m {
			continue
		}
		c.scheduleAt(m.linkUs+linkDelayUs, func() {
			if to.node == nil {
				return
			}
			to.receivedBytes += size
			if carriesSnapshot {
				to.snapshotBytes += size
			}
			received := chain.Msg{}
			if err := json.Unmarshal(raw, &received); err != nil {
				c.t.Fatal(err)
			}
			to.enqueue(handleUs+codeUs, chain.MessageReceived{Msg: &received})
		})
	}
}

// persistNext carries out the oldest queued Persist, as a control node does: one at a time, but snapshots concurrently with
// the log.
func (m *member) persistNext() {
	c := m.cluster
	s := m.persistQueue[0]
	m.diskUs = max(m.diskUs, c.nowUs) + syncUs
	if s.Compact {
		m.diskUs += syncUs
	}
	m.retry(s.Seq, m.diskUs, func() error {
		from, err := m.store.Write(s.Records, s.Compact)
		if err != nil {
			return err
		}
		if s.Snapshot != nil {
			m.retry(s.Seq, c.nowUs+3*syncUs, func() error { return m.saveSnapshot(s, from) })
		} else {
			m.step(chain.Persisted{Seq: s.Seq, LogBytes: m.store.LogBytes()})
		}
		c.recordDiskUsage(m)
		if m.persistQueue = m.persistQueue[1:]; len(m.persistQueue) > 0 {
			m.persistNext()
		}
		return nil
	})
}

// retry repeats an operation until the disk accepts it, and reports every refusal to the chain.
func (m *member) retry(seq uint64, us int64, try func() error) {
	m.scheduleAt(us, func() {
		err := try()
		var bad *fault.Fault
		switch {
		case errors.As(err, &bad):
			m.cluster.t.Fatal(err)
		case err != nil:
			m.step(chain.PersistRefused{Seq: seq})
			m.retry(seq, m.cluster.nowUs+retrySaveUs, try)
		}
	})
}

// saveSnapshot saves a snapshot and compacts the log; an injected power loss stops the member.
func (m *member) saveSnapshot(s chain.Persist, from uint64) error {
	result := m.runWithPowerLoss(func() error { return m.store.SaveSnapshot(*s.Snapshot, from) })
	if result.disk != nil {
		m.stop()
		m.disk = result.disk.withAllDurable()
		return nil
	}
	m.cluster.recordDiskUsage(m)
	if result.err == nil && s.Compact {
		result.err = m.store.Compact(from)
	}
	if result.err == nil {
		m.step(chain.Persisted{Seq: s.Seq, LogBytes: m.store.LogBytes()})
	}
	return result.err
}

// workResult is the result of an operation: its error, and the remaining disk where power was lost.
type workResult struct {
	disk *powerDisk
	err  error
}

// runWithPowerLoss runs an operation with the power loss that powerLossCountdown requests.
func (m *member) runWithPowerLoss(work func() error) (result workResult) {
	if m.powerLossCountdown == 0 {
		return workResult{err: work()}
	}
	m.disk.before = func() {
		if m.powerLossCountdown--; m.powerLossCountdown == 0 {
			result.disk = m.chooseDisk(m.disk.afterPowerLoss())
		}
	}
	result.err = work()
	m.disk.before = nil
	if result.disk == nil && m.powerLossCountdown == 1 {
		m.powerLossCountdown, result.disk = 0, m.chooseDisk(m.disk.afterPowerLoss())
	}
	return result
}

// recordDiskUsage updates the maximum size of a disk's files.
func (c *cluster) recordDiskUsage(m *member) {
	sum := int64(0)
	for _, f := range m.disk.names {
		sum += int64(len(f.data))
	}
	c.maxDiskBytes = max(c.maxDiskBytes, sum)
}

func (c *cluster) head() *member {
	for _, m := range c.members {
		if m.node != nil && m.node.IsHead() {
			return m
		}
	}
	return nil
}

// memberAt returns the member at a position of the head's view.
func (c *cluster) memberAt(at int) *member {
	order := c.head().node.View().Replicas
	for _, m := range c.members {
		if m.self.ID == order[at].ID {
			return m
		}
	}
	return nil
}

// allCaughtUp reports whether every member is running and has caught up.
func (c *cluster) allCaughtUp() bool {
	for _, m := range c.members {
		if m.node == nil || !m.caughtUp() {
			return false
		}
	}
	return true
}

// caughtUp reports whether the member serves as a voter of a complete view and has committed all acknowledged entries but the
// last two.
func (m *member) caughtUp() bool {
	n := m.node
	view := n.View()
	return n.Phase() == chain.PhaseServing && n.WaitReason() == "" && view.IsVoter(m.self.ID) && len(view.Replicas) == 3 && n.CommitIndex()+2 >= m.cluster.acknowledgedIndex
}

// submitNext submits the next change, which is resent until it is acknowledged.
func (c *cluster) submitNext() {
	c.changes++
	c.sentUs = c.nowUs
	c.change = &statemachine.Change{ID: fmt.Sprint("change-", c.changes), Config: c.nextChange(c.changes)}
	c.submit(c.change)
}

func (c *cluster) submit(change *statemachine.Change) {
	if c.change != change {
		return
	}
	if h := c.head(); h != nil {
		submitted := *change
		h.enqueue(handleUs, chain.ChangeSubmitted{Change: &submitted})
	}
	c.scheduleAt(c.nowUs+resubmitUs, func() { c.submit(change) })
}

// checkInvariants checks that a ready tail and a confirmed head have all acknowledged entries, and records the acknowledgement
// of the current change.
func (c *cluster) checkInvariants(m *member) {
	n := m.node
	if n.IsTailReady(c.nowUs) && n.CommitIndex() < c.acknowledgedIndex {
		c.fail("%s is ready as the tail at entry %d, but entry %d was acknowledged", m.self.ID, n.CommitIndex(), c.acknowledgedIndex)
	}
	if n.IsHeadConfirmed(c.nowUs) && n.LastIndex() < c.acknowledgedIndex {
		c.fail("%s is confirmed as the head at entry %d, but entry %d was acknowledged", m.self.ID, n.LastIndex(), c.acknowledgedIndex)
	}
	if c.change == nil {
		return
	}
	out, seen := n.State().Outcomes[c.change.ID]
	if !seen || !n.IsDurable(out.Index) {
		return
	}
	if out.Fault != nil {
		c.fail("change %d: got fault %v, want none", c.changes, out.Fault)
	}
	c.recordAcknowledgement(out.Index)
}

func (c *cluster) recordAcknowledgement(index uint64) {
	if tookUs := c.nowUs - c.sentUs; tookUs > c.slowestUs {
		c.slowestUs, c.slowestChange = tookUs, c.changes
	}
	c.acknowledgedIndex = index
	c.change = nil
	c.scheduleAt(c.nowUs+c.changeIntervalUs, c.submitNext)
}

// fail records a violation with the simulated time, unless one is recorded already.
func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %d ms: ", c.nowUs/clock.Ms) + fmt.Sprintf(format, args...)
	}
}

// awaitChanges runs the cluster until count more changes were submitted, within 2 s of simulated time each plus 20 s.
func (c *cluster) awaitChanges(count int) {
	want := c.changes + uint64(count)
	c.advance(int64(count)*2*clock.Sec+20*clock.Sec, func() bool { return c.changes >= want || c.violation != "" })
	if c.changes < want {
		c.fail("submitted changes: got %d, want %d", c.changes, want)
	}
}
