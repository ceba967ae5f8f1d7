package history

import (
	"container/heap"
	"fmt"
	"math/rand"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// A walk plays three control nodes (the real reducers of control node, chain and ledger) and operators on a network that delays,
// loses and doubles, with control nodes that crash, freeze and are cut off, all drawn from one seed.

const (
	controlNodes = 3
	tickUs       = 25 * clock.Ms
	callWaitUs   = clock.Sec
	resubmitUs   = 400 * clock.Ms
	answerWaitUs = 8 * clock.Sec
	underWayMost = 8
)

type timed struct {
	atUs, number int64
	run          func()
}

type timeline []timed

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(i, j int) bool {
	return q[i].atUs < q[j].atUs || q[i].atUs == q[j].atUs && q[i].number < q[j].number
}
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(v any)   { *q = append(*q, v.(timed)) }
func (q *timeline) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type walk struct {
	r            *rand.Rand
	nowUs        int64
	queue        timeline
	number       int64
	controlNodes []*walkControlNode
	cuts         map[[2]int]bool
	slowUs       int64
	plant        string
	rec          *Recorder

	orders   []*sentOrder
	tip      uint64
	underWay int
	counts   map[string]int
}

// sentOrder is an order and what the operators know of it.
type sentOrder struct {
	order  *Order
	change statemachine.ConfigChange
	answer Answer
}

func newWalk(seed int64, plant string) *walk {
	w := &walk{r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, cuts: map[[2]int]bool{}, plant: plant, rec: &Recorder{}, counts: map[string]int{}}
	for i := range controlNodes {
		w.controlNodes = append(w.controlNodes, &walkControlNode{walk: w, number: i, addr: fmt.Sprint("a", i)})
	}
	for _, o := range w.controlNodes {
		o.start(true)
	}
	return w
}

func (w *walk) after(us int64, run func()) {
	w.number++
	heap.Push(&w.queue, timed{w.nowUs + us, w.number, run})
}

func (w *walk) pass(us int64) {
	endUs := w.nowUs + us
	for len(w.queue) > 0 && w.queue[0].atUs <= endUs {
		next := heap.Pop(&w.queue).(timed)
		w.nowUs = max(w.nowUs, next.atUs)
		next.run()
	}
	w.nowUs = endUs
}

// walkControlNode is one control node: its reducer, what its disk has synced, and the callers that wait at it.
type walkControlNode struct {
	walk        *walk
	number      int
	addr        string
	core        *controlnode.Core
	incarnation int
	wipes       int
	thawUs      int64
	records     []chain.Record
	waiters     map[string][]func(statemachine.Outcome)
}

func (o *walkControlNode) start(first bool) {
	o.incarnation++
	o.waiters = map[string][]func(statemachine.Outcome){}
	opts := controlnode.WithAutoMembershipTimings(chain.Options{
		Self: chain.Member{ID: fmt.Sprint("o", o.addr, "-", o.wipes), Name: "o" + o.addr, Addr: o.addr, Zone: "z"}, Incarnation: fmt.Sprint(o.addr, "/", o.incarnation), MinReplicas: 2, AutoMembership: true,
	})
	if first {
		opts.BootstrapAddrs, opts.FirstStart = []string{"a0", "a1", "a2"}, true
	}
	node, err := chain.NewNode(opts, o.records, o.walk.nowUs)
	if err != nil {
		panic(err)
	}
	o.core = controlnode.NewCore(node, controlnode.CoreOptions{Controller: controller.Options{LeaseUs: 3 * clock.Sec}})
	o.step(controlnode.LearnPeers{Addrs: []string{"a0", "a1", "a2"}})
	o.tick()
}

func (o *walkControlNode) crash() {
	o.incarnation++
	o.core = nil
}

// wipe takes the disk's content too: the control node comes back as another member under its name.
func (o *walkControlNode) wipe() {
	o.crash()
	o.records = nil
	o.wipes++
}

// later runs in this incarnation of the control node, once it is not frozen.
func (o *walkControlNode) later(us int64, run func()) {
	incarnation := o.incarnation
	var due func()
	due = func() {
		switch {
		case o.core == nil || o.incarnation != incarnation:
		case o.walk.nowUs < o.thawUs:
			o.walk.after(o.thawUs-o.walk.nowUs, due)
		default:
			run()
		}
	}
	o.walk.after(us, due)
}

func (o *walkControlNode) tick() {
	o.later(tickUs, func() {
		o.step(controlnode.Tick{})
		o.tick()
	})
}

func (o *walkControlNode) step(ev controlnode.Event) {
	for _, effect := range o.core.Step(o.walk.nowUs, ev) {
		switch e := effect.(type) {
		case controlnode.SendMessage:
			o.send(e.Addr, e.Message)
		case controlnode.Persist:
			o.sync(*e.Request)
		case controlnode.DeliverResult:
			o.answer(e.Result.Outcome)
		case controlnode.RunController:
			if _, polls := e.Effect.(controller.PollPlatform); polls {
				o.later(clock.Ms, func() { o.step(controlnode.ControllerInput{Event: controller.PlatformListing{}}) })
			}
		}
	}
	o.damage()
}

// damage plants what a control node with a fault would have lost.
func (o *walkControlNode) damage() {
	s := o.core.Node.State()
	switch o.walk.plant {
	case "forgetful":
		clear(s.Outcomes)
		s.OutcomeIDs = nil
	case "forgets-refusals":
		s.EarlyRefusals = nil
	}
}

func (o *walkControlNode) sync(s chain.Persist) {
	o.later(clock.Ms+o.walk.r.Int63n(15*clock.Ms), func() {
		if s.Compact {
			o.records = nil
		}
		if s.Snapshot != nil {
			o.records = append(o.records, chain.Record{Snapshot: s.Snapshot})
		}
		o.records = append(o.records, s.Records...)
		o.step(controlnode.Persisted{Seq: s.Seq})
	})
}

func (o *walkControlNode) send(addr string, l peering.Message) {
	w := o.walk
	for _, to := range w.controlNodes {
		if to.addr != addr || to == o || w.cuts[[2]int{o.number, to.number}] || w.r.Intn(50) == 0 {
			continue
		}
		copies := 1
		if w.r.Intn(20) == 0 {
			copies = 2
		}
		for range copies {
			delayUs := clock.Ms + w.r.Int63n(10*clock.Ms)
			if l.Chain != nil && l.Chain.Submit != nil && w.r.Intn(4) == 0 {
				// An order that waited at a frozen or slow machine on its way.
				delayUs += w.r.Int63n(4 * clock.Sec)
			}
			w.after(delayUs+w.r.Int63n(w.slowUs+1), func() {
				to.later(0, func() { to.step(controlnode.PeerMessage{Message: &l}) })
			})
		}
	}
}

// configure does for an order what a control node's host does: it asks the reducer, sends the order on until an outcome
// comes, and gives up when nobody waits any more.
func (o *walkControlNode) configure(sent *sentOrder, wanted func() bool, answer func(Answer)) {
	id := "op-" + sent.order.ID
	if o.walk.plant == "own-state" && sent.order.Base != o.core.Node.State().Version() {
		answer(Refused)
		return
	}
	if out, seen := o.core.Outcome(id); seen {
		answer(o.answerOf(out))
		return
	}
	if doc := sent.change.Doc; doc != nil && doc.CheckRoutes() != nil {
		answer(Invalid)
		return
	}
	over := false
	o.waiters[id] = append(o.waiters[id], func(out statemachine.Outcome) {
		if !over && (out.Fault == nil || out.Fault.Code != fault.NotServing) {
			over = true
			answer(o.answerOf(out))
		}
	})
	endUs := o.walk.nowUs + answerWaitUs
	var retry func()
	retry = func() {
		if over || o.walk.nowUs > endUs || !wanted() {
			over = true
			return
		}
		change := sent.change
		o.step(controlnode.SubmitChange{Change: &statemachine.Change{ID: id, Origin: o.addr, Config: &change}})
		o.later(resubmitUs, retry)
	}
	retry()
}

func (o *walkControlNode) answer(out statemachine.Outcome) {
	for _, waiter := range o.waiters[out.ID] {
		waiter(out)
	}
}

func (o *walkControlNode) answerOf(out statemachine.Outcome) Answer {
	switch {
	case out.Fault == nil && o.walk.plant == "denies-winners" && o.walk.r.Intn(4) == 0:
		return Refused
	case out.Fault == nil:
		return Acknowledged
	case out.Fault.Code == fault.StaleBase && o.walk.plant == "two-winners" && o.walk.r.Intn(4) == 0:
		return Acknowledged
	case out.Fault.Code == fault.StaleBase:
		return Refused
	case out.Fault.Code == fault.InvalidConfig:
		return Invalid
	}
	return Unclear
}

// read gives the declaration in force to done, where this control node or the tail it knows can say.
func (o *walkControlNode) read(done func(*configuration.Declaration)) {
	node := o.core.Node
	if node.IsTailReady(o.walk.nowUs) || o.walk.plant == "reads-old" {
		done(node.State().Doc)
		return
	}
	for _, tail := range o.walk.controlNodes {
		if tail == o || tail.addr != node.View().Tail().Addr || o.walk.cuts[[2]int{o.number, tail.number}] {
			continue
		}
		o.walk.after(clock.Ms+o.walk.r.Int63n(20*clock.Ms), func() {
			tail.later(0, func() {
				if tail.core.Node.IsTailReady(o.walk.nowUs) {
					doc := tail.core.Node.State().Doc
					o.walk.after(clock.Ms, func() { done(doc) })
				}
			})
		})
	}
}
