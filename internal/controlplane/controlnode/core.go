package controlnode

import (
	"sort"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const memberDoneRetryUs = 500 * clock.Ms

// Event is one thing that happens to a control node; at most one field beside NowUs and Reply is set. With none it
// is a tick.
type Event struct {
	NowUs      int64
	Message    *wire.Message
	Saved      uint64
	LogBytes   int64
	Refused    uint64
	Submit     *statemachine.Change
	Learn      []string
	Leave      bool
	Follow     *wire.SubscribeRequest
	Report     *Reported
	Controller controller.Event
	Beat       *failuredetector.Heartbeat
	Heard      *registry.ReplicaStatus
	Left       string
	// Reply names the answer that is owed for Heard or Left; 0 where nobody waits.
	Reply         uint64
	Subscribe     *wire.SubscribeRequest
	Unfollow      *Unfollow
	GatewayReport *wire.Report
}

// Reported is a gateway's report and the number under which its lease is awaited.
type Reported struct {
	Report wire.Report
	Reply  uint64
}

// Effect is one thing that the host has to do; one field is set, but for Note and Trouble, which go together.
type Effect struct {
	Message    *Message
	Save       *chain.Persist
	Push       *distribution.UpdatePush
	Frame      *distribution.FramePush
	Result     *wire.Result
	Lease      *Leased
	Word       *ReplicaAcknowledged
	Controller controller.Effect
	Applied    *chain.Applied
	Trouble    string
	Note       string
}

// Message is a message to another control node, at its address.
type Message struct {
	Addr    string
	Message wire.Message
}

// Leased answers a Reported with the same number.
type Leased struct {
	Reply uint64
	Lease wire.Lease
}

// Core is a control node's whole reducer: the chain, the tail's feed and the head's controller.
type Core struct {
	Node               *chain.Node
	Snapshots          *distribution.UpdatePublisher
	Controller         *controller.Controller
	effects            []Effect
	FailureDetector    *failuredetector.Monitor
	suspectsReportedUs int64
	memberDoneUs       int64
	checked            uint64
	soft               softState
	membersUs          int64
	members            []chain.Member
	stepUs             int64
	pausedUs           int64
	resumedUs          int64
	// startUs and startIndex are when this incarnation began, and what its log held then: whatever was settled in there was
	// ordered before.
	startUs    int64
	startIndex uint64
	// rejectedUs is when a message that was not read was last told of.
	rejectedUs int64
}

// CoreOptions are what a control node knows of replicas that make themselves known; all may be left out.
type CoreOptions struct {
	UnreachableUs int64
	Controller    controller.Options
}

// NewCore is NewCoreWith without anything known of replicas.
func NewCore(node *chain.Node) *Core { return NewCoreWith(node, CoreOptions{}) }

// NewCoreWith is a control node around its part of the chain.
func NewCoreWith(node *chain.Node, opts CoreOptions) *Core {
	return &Core{
		Node: node, Snapshots: distribution.NewUpdatePublisher(), Controller: controller.New(node.Self().ID, opts.Controller), FailureDetector: failuredetector.NewMonitor(), soft: newSoftState(opts.UnreachableUs),
		startUs: node.NowUs(), startIndex: node.LastIndex(),
	}
}

// Step takes one event and returns what has to be done because of it, in order.
func (c *Core) Step(ev Event) []Effect {
	c.effects = nil
	c.detectPause(ev.NowUs)
	switch {
	case ev.Message != nil:
		c.messageReceived(ev.NowUs, *ev.Message)
	case ev.Saved != 0:
		c.chain(ev.NowUs, chain.Persisted{Seq: ev.Saved, LogBytes: ev.LogBytes})
	case ev.Refused != 0:
		c.chain(ev.NowUs, chain.PersistRefused{Seq: ev.Refused})
	case ev.Submit != nil:
		c.chain(ev.NowUs, chain.ChangeSubmitted{Change: ev.Submit})
	case ev.Learn != nil:
		c.chain(ev.NowUs, chain.AddrsLearned{Addrs: ev.Learn})
	case ev.Leave:
		c.chain(ev.NowUs, chain.ShutdownRequested{})
	case ev.Follow != nil:
		c.Snapshots.SetActive(ev.NowUs, c.Node.TailReady(ev.NowUs))
		c.Snapshots.Follow(ev.NowUs, *ev.Follow)
	case ev.Report != nil:
		c.gatewayReported(ev.NowUs, *ev.Report)
	case ev.Controller != nil:
		c.controller(ev.NowUs, ev.Controller)
	case ev.Beat != nil:
		c.FailureDetector.Receive(ev.NowUs, *ev.Beat)
	case ev.Heard != nil:
		c.replicaReported(ev.NowUs, *ev.Heard, ev.Reply)
	case ev.Left != "":
		c.replicaRemoved(ev.NowUs, ev.Left, ev.Reply)
	case ev.Subscribe != nil:
		c.soft.Hub.Follow(ev.NowUs, *ev.Subscribe)
	case ev.Unfollow != nil:
		c.soft.Hub.Unfollow(ev.Unfollow.Gateway, ev.Unfollow.Incarnation)
	case ev.GatewayReport != nil:
		c.routedGatewayReported(ev.NowUs, *ev.GatewayReport)
	default:
		c.chain(ev.NowUs, chain.Tick{})
		c.controller(ev.NowUs, controller.Tick{})
		c.reportSuspects(ev.NowUs)
		c.completeMemberChange(ev.NowUs)
		c.resolveDepartures(ev.NowUs)
	}
	c.Snapshots.SetActive(ev.NowUs, c.Node.TailReady(ev.NowUs))
	for _, p := range c.Snapshots.Updates(c.Node.State(), c.Node.View()) {
		push := p
		c.effects = append(c.effects, Effect{Push: &push})
	}
	for _, a := range c.Snapshots.ReleasedResults(ev.NowUs) {
		c.respond(a.Origin, a.Result)
	}
	c.gossip(ev.NowUs)
	c.pushFrames(ev.NowUs)
	return c.effects
}

func (c *Core) messageReceived(nowUs int64, message wire.Message) {
	switch {
	case message.Chain != nil:
		c.chain(nowUs, chain.MessageReceived{Msg: message.Chain})
	case message.Result != nil:
		c.effects = append(c.effects, Effect{Result: message.Result})
	case message.Report != nil:
		c.controller(nowUs, controller.GatewayReport{Report: message.Report})
	case message.Suspicion != nil:
		c.controller(nowUs, controller.WatcherReport{Report: *message.Suspicion})
	case message.Gossip != nil:
		c.gossipReceived(nowUs, *message.Gossip)
	case message.DrainConfirmation != nil:
		c.departuresConfirmed(nowUs, *message.DrainConfirmation)
	case message.Outliers != nil && message.Outliers.NewerThan(c.soft.Outliers):
		c.soft.Outliers = *message.Outliers
	}
}

// completeMemberChange is the head's: it takes an order about members out of the ledger once the view has it.
func (c *Core) completeMemberChange(nowUs int64) {
	if nowUs-c.memberDoneUs < memberDoneRetryUs || !c.Node.IsHead() || !c.Node.MemberChangeDone() {
		return
	}
	c.memberDoneUs = nowUs
	id := c.Node.State().MembershipID
	c.chain(nowUs, chain.ChangeSubmitted{Change: &statemachine.Change{ID: "done-" + id, Membership: &statemachine.MembershipChange{Action: statemachine.MembershipDone, Name: id}}})
}

func (c *Core) reportSuspects(nowUs int64) {
	if nowUs-c.suspectsReportedUs < failuredetector.HeartbeatIntervalUs {
		return
	}
	c.suspectsReportedUs = nowUs
	s := &failuredetector.SuspicionReport{Reporter: c.Node.Self().ID, Suspects: c.FailureDetector.Suspects(nowUs)}
	if c.Node.IsHead() {
		c.controller(nowUs, controller.WatcherReport{Report: *s})
	} else if head := c.Node.View().Head(); head.Addr != "" {
		c.send(head.Addr, wire.Message{Suspicion: s})
	}
}

func (c *Core) gatewayReported(nowUs int64, r Reported) {
	c.Snapshots.SetActive(nowUs, c.Node.TailReady(nowUs))
	view := c.Node.View().Number
	lease := c.Snapshots.Report(nowUs, view, c.Node.State().UpdateIndex, c.checked == view, r.Report)
	lease.Ring = c.Snapshots.Ring(nowUs, c.Node.View())
	c.effects = append(c.effects, Effect{Lease: &Leased{Reply: r.Reply, Lease: lease}})
	if !c.Node.TailReady(nowUs) {
		return
	}
	if c.Node.IsHead() {
		c.controller(nowUs, controller.GatewayReport{Report: &r.Report})
		return
	}
	report := r.Report
	c.send(c.Node.View().Head().Addr, wire.Message{Report: &report})
}

func (c *Core) send(addr string, message wire.Message) {
	c.effects = append(c.effects, Effect{Message: &Message{Addr: addr, Message: message}})
}

func (c *Core) chain(nowUs int64, ev chain.Event) {
	for _, e := range c.Node.Step(nowUs, ev) {
		switch e := e.(type) {
		case chain.Send:
			msg := e.Msg
			c.send(e.Addr, wire.Message{Chain: &msg})
		case chain.Persist:
			c.effects = append(c.effects, Effect{Save: &e})
		case chain.Applied:
			c.applied(nowUs, e)
		case chain.ViewInstalled:
			c.Snapshots.SetActive(nowUs, c.Node.TailReady(nowUs))
			c.effects = append(c.effects, Effect{Note: "view", Trouble: viewText(e.View)})
		case chain.MessageRejected:
			c.rejected(nowUs, e.Fault)
		case chain.ChangeRejected:
			c.effects = append(c.effects, Effect{Result: &wire.Result{Outcome: statemachine.Outcome{
				ID: e.ID, Fault: fault.New(fault.NotServing, "", "%s", e.Reason),
			}}})
		}
	}
}

// rejectedLogIntervalUs is how often messages that are not read are told of at most: their sender goes on.
const rejectedLogIntervalUs = 10 * clock.Sec

func (c *Core) rejected(nowUs int64, why *fault.Fault) {
	if c.rejectedUs != 0 && nowUs-c.rejectedUs < rejectedLogIntervalUs {
		return
	}
	c.rejectedUs = nowUs
	c.effects = append(c.effects, Effect{Note: "message not read", Trouble: why.Error()})
}

func (c *Core) applied(nowUs int64, a chain.Applied) {
	change := a.Entry.Change
	if change.LeaderUpdate != nil && change.LeaderUpdate.CheckedInView > 0 {
		c.checked = change.LeaderUpdate.CheckedInView
	}
	c.effects = append(c.effects, Effect{Applied: &a})
	if change.LeaderUpdate != nil && len(change.LeaderUpdate.Commands)+len(change.LeaderUpdate.Results) > 0 {
		sawUs := nowUs
		if a.Entry.Index <= c.startIndex {
			sawUs = c.startUs
		}
		c.Controller.OnApplied(sawUs, change.Epoch, *change.LeaderUpdate, c.Node.State())
	}
	if change.LeaderUpdate != nil && change.Epoch == c.Node.State().Epoch {
		out := a.Outcome
		c.controller(nowUs, controller.WriteResult{Outcome: out})
	}
	if !c.Node.IsTail() || change.Origin == "" || !c.Node.AcceptsWrites() {
		return
	}
	if change.Config != nil && a.Outcome.Fault == nil && change.Config.Version == 0 {
		c.Snapshots.SetActive(nowUs, c.Node.TailReady(nowUs))
		c.Snapshots.AwaitAcknowledgements(change.Origin, a.Outcome, c.Node.State().UpdateIndex)
		return
	}
	c.respond(change.Origin, wire.Result{Outcome: a.Outcome, OnAllGateways: true})
}

// Outcome is the outcome of a change that was taken before and may be acknowledged here again.
func (c *Core) Outcome(id string) (statemachine.Outcome, bool) {
	out, seen := c.Node.State().Outcomes[id]
	out.Repeated = true
	return out, seen && c.Node.Durable(out.Index)
}

func (c *Core) respond(origin string, r wire.Result) {
	if origin == c.Node.Self().Addr {
		c.effects = append(c.effects, Effect{Result: &r})
		return
	}
	c.send(origin, wire.Message{Result: &r})
}

func (c *Core) controller(nowUs int64, event controller.Event) {
	seen := controller.Snapshot{
		NowUs: nowUs, State: c.Node.State(), IsHead: c.Node.IsHead(),
		IsFresh: c.Node.HeadConfirmed(nowUs), CanWrite: c.Node.AcceptsWrites(), ViewNumber: c.Node.View().Number,
		Registry: c.soft.Registry, Outliers: c.soft.Outliers,
	}
	if !seen.CanWrite {
		seen.IsFresh = false
	}
	for _, effect := range c.Controller.Step(seen, event) {
		switch effect := effect.(type) {
		case controller.WriteChange:
			c.chain(nowUs, chain.ChangeSubmitted{Change: effect.Change})
		case controller.PublishVerdicts:
			c.outliersJudged(effect.Table)
		default:
			c.effects = append(c.effects, Effect{Controller: effect})
		}
	}
}

func viewText(v chain.View) string {
	text := ""
	for i, s := range v.Replicas {
		if i > 0 {
			text += " > "
		}
		text += s.ID
	}
	return text
}

// Status is what a control node knows of itself, the chain and the fleet. It is this control node's own view, and may be old.
type Status struct {
	ControlNode      chain.Member                   `json:"office"`
	Phase            chain.Phase                    `json:"phase"`
	View             chain.View                     `json:"view"`
	Open             bool                           `json:"open"`
	WaitingFor       string                         `json:"waitsFor,omitempty"`
	Commit           uint64                         `json:"commit"`
	Last             uint64                         `json:"last"`
	Epoch            uint64                         `json:"epoch"`
	LeaseHolder      string                         `json:"holder"`
	IsLeader         bool                           `json:"onDuty"`
	Revision         uint64                         `json:"revision"`
	EmptiedZones     []string                       `json:"emptied,omitempty"`
	Peers            []chain.PeerStatus             `json:"partners"`
	Gateways         []distribution.GatewayStatus   `json:"desks,omitempty"`
	Demand           []controller.GatewayStatus     `json:"demand,omitempty"`
	Replicas         []statemachine.Replica         `json:"replicas"`
	Pending          []statemachine.ReplicaCommand  `json:"pending"`
	Counts           any                            `json:"counts,omitempty"`
	Policy           controller.PolicyStatus        `json:"policy"`
	Shadows          []controller.PolicyStatus      `json:"shadows,omitempty"`
	Faults           map[fault.Code]uint64          `json:"faults,omitempty"`
	Refused          map[fault.Code]uint64          `json:"refused,omitempty"`
	Keys             int                            `json:"keys"`
	Member           *statemachine.MembershipChange `json:"member,omitempty"`
	MemberWaitingFor string                         `json:"memberWaitsFor,omitempty"`
	Grants           int                            `json:"grants"`
	Loads            uint64                         `json:"loads"`
	LoadedMb         int64                          `json:"loadedMb"`
	Fleet            *Fleet                         `json:"fleet,omitempty"`
	// Outliers are the replicas that gateways are kept from, wholly or in part.
	Outliers []outlier.Verdict `json:"outliers,omitempty"`
}

// Status is this control node's own view of now.
func (c *Core) Status(nowUs int64) Status {
	s := c.Node.State()
	st := Status{
		ControlNode: c.Node.Self(), Phase: c.Node.Phase(), View: c.Node.View(), Open: c.Node.TailReady(nowUs), WaitingFor: c.Node.WaitReason(),
		Commit: c.Node.CommitIndex(), Last: c.Node.LastIndex(), Epoch: s.Epoch, LeaseHolder: s.Leader, IsLeader: c.Controller.IsLeader(s),
		Revision: s.Revision, Peers: c.Node.Peers(), Gateways: c.Snapshots.Gateways(nowUs), Demand: c.Controller.Gateways(nowUs),
		Counts: c.Controller.Counts(), Policy: c.Controller.Policy, Shadows: c.Controller.Shadows,
		Faults: copyOf(c.Controller.Faults), Refused: copyOf(s.RefusalCounts), Keys: len(s.Keys), Member: s.Membership, MemberWaitingFor: c.Node.MemberChangeWaitReason(), Grants: len(s.Grants), Loads: s.TotalLoads, LoadedMb: s.TotalLoadedMB,
		Pending: []statemachine.ReplicaCommand{}, Replicas: []statemachine.Replica{}, Fleet: c.fleetStatus(nowUs), Outliers: c.soft.Outliers.Rows,
	}
	if s.Doc != nil {
		st.EmptiedZones = s.Doc.DrainedZones
	}
	for _, id := range s.ReplicaIDs() {
		r := *s.Replicas[id]
		r.Resident, r.Quotas = copyOf(r.Resident), copyOf(r.Quotas)
		st.Replicas = append(st.Replicas, r)
	}
	for _, t := range s.Pending {
		st.Pending = append(st.Pending, t)
	}
	sort.Slice(st.Pending, func(i, j int) bool { return st.Pending[i].Number < st.Pending[j].Number })
	return st
}

func copyOf[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
