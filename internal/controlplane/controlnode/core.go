package controlnode

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/quota"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

// Core is the deterministic state machine of a control node: its chain node, the distribution to gateways and, at the head,
// the controller. It does no I/O and is not safe for concurrent use.
type Core struct {
	// Node is this control node's member of the replication chain.
	Node *chain.Node
	// Updates publishes numbered configuration updates and grants leases on them; it is active only at the tail.
	Updates *distribution.UpdatePublisher
	// Controller acts as the leader while this control node is the head.
	Controller *controller.Controller
	// FailureDetector monitors the gateways that the ring assigns to this control node.
	FailureDetector *failuredetector.Monitor
	// soft is the state that is not stored and is rebuilt after a restart: the replica registry, frame subscriptions and
	// outlier verdicts.
	soft softState
	// effects collects the effects of the current Step.
	effects []Effect
	// quota counts the requests of tenants; quotaDoc is the declaration from which its limits were set.
	quota    *quota.Ledger
	quotaDoc *configuration.Declaration

	// lastSuspicionReportUs is when suspicions were last reported to the head, and lastMemberDoneUs when the completion of a
	// membership change was last submitted.
	lastSuspicionReportUs, lastMemberDoneUs int64
	// checkedView is the view in which the leader last recorded the platform's list of replicas. Leases are granted only in
	// that view.
	checkedView uint64
	// followableMembers are the control nodes that gateways may subscribe to, as of membersUpdatedUs.
	followableMembers []chain.Member
	membersUpdatedUs  int64
	// lastStepUs is the time of the last event. pauseStartUs and pauseEndUs bound the last period in which this process was
	// not scheduled.
	lastStepUs, pauseStartUs, pauseEndUs int64
	// startUs is when this incarnation started, and startIndex the last index that its log held then. The commands in entries
	// up to startIndex were issued before startUs.
	startUs    int64
	startIndex uint64
	// lastRejectionLogUs is when a rejected message was last logged.
	lastRejectionLogUs int64
}

// CoreOptions configures a Core; the zero value selects the defaults.
type CoreOptions struct {
	// UnreachableUs is the time without a heartbeat after which a replica is unreachable, in microseconds; 0 means 3 s.
	UnreachableUs int64
	// Quota bounds how far rate-limited tenants may exceed their limits.
	Quota quota.Options
	// Controller configures the controller.
	Controller controller.Options
}

// NewCore returns the Core of the control node whose member of the chain is node.
func NewCore(node *chain.Node, opts CoreOptions) *Core {
	c := &Core{
		Node: node, Updates: distribution.NewUpdatePublisher(), Controller: controller.New(node.Self().ID, opts.Controller),
		FailureDetector: failuredetector.NewMonitor(), soft: newSoftState(opts.UnreachableUs),
		quota:   quota.NewLedger(opts.Quota, node.NowUs()),
		startUs: node.NowUs(), startIndex: node.LastIndex(),
	}
	c.restoreDepartures(c.startUs)
	return c
}

// Step processes one event at nowUs and returns the effects to execute, in order.
func (c *Core) Step(nowUs int64, event Event) []Effect {
	c.effects = nil
	c.detectPause(nowUs)
	if request, isQuota := event.(QuotaRequested); isQuota {
		// A quota request changes nothing that is published to gateways or peers.
		c.handleQuotaRequest(nowUs, request)
		return c.effects
	}
	switch event := event.(type) {
	case Tick:
		c.tick(nowUs)
	case PeerMessage:
		c.handlePeerMessage(nowUs, *event.Message)
	case Persisted:
		c.stepChain(nowUs, chain.Persisted{Seq: event.Seq, LogBytes: event.LogBytes})
	case PersistFailed:
		c.stepChain(nowUs, chain.PersistRefused{Seq: event.Seq})
	case SubmitChange:
		c.stepChain(nowUs, chain.ChangeSubmitted{Change: event.Change})
	case LearnPeers:
		c.stepChain(nowUs, chain.AddrsLearned{Addrs: event.Addrs})
	case PeerConnectionRefused:
		c.stepChain(nowUs, chain.ConnectionRefused{Addr: event.Addr})
	case LeaveChain:
		c.stepChain(nowUs, chain.ShutdownRequested{})
	case ControllerInput:
		c.stepController(nowUs, event.Event)
	case PeerHeartbeat:
		c.FailureDetector.Receive(nowUs, *event.Heartbeat)
	default:
		c.stepFleet(nowUs, event)
	}
	c.publish(nowUs)
	return c.effects
}

// stepFleet processes the events that gateways and replicas cause.
func (c *Core) stepFleet(nowUs int64, event Event) {
	switch event := event.(type) {
	case SubscribeUpdates:
		c.Updates.SetActive(nowUs, c.Node.IsTailReady(nowUs))
		c.Updates.Subscribe(nowUs, *event.Request)
	case GatewayReport:
		c.handleGatewayReport(nowUs, event)
	case ReplicaHeartbeat:
		c.handleReplicaHeartbeat(nowUs, *event.Status, event.ReplyID)
	case ReplicaDeregistration:
		c.handleReplicaDeregistration(nowUs, event.ID, event.ReplyID)
	case SubscribeFrames:
		c.soft.FramePublisher.Subscribe(nowUs, *event.Request)
	case UnsubscribeFrames:
		c.soft.FramePublisher.Unsubscribe(event.Gateway, event.Incarnation)
	case RoutedGatewayReport:
		c.handleRoutedGatewayReport(nowUs, *event.Report)
	}
}

// tick runs everything that is due by time.
func (c *Core) tick(nowUs int64) {
	c.stepChain(nowUs, chain.Tick{})
	c.stepController(nowUs, controller.Tick{})
	c.reportSuspects(nowUs)
	c.completeMemberChange(nowUs)
	c.resolveDepartures(nowUs)
}

// publish emits what the step changed: updates and frames for gateways, results for the origins of changes, and gossip for the
// other control nodes.
func (c *Core) publish(nowUs int64) {
	c.Updates.SetActive(nowUs, c.Node.IsTailReady(nowUs))
	for _, p := range c.Updates.Updates(c.Node.State(), c.Node.View()) {
		push := p
		c.effects = append(c.effects, PushUpdate{Push: &push})
	}
	for _, a := range c.Updates.ReleasedResults(nowUs) {
		c.sendResult(nowUs, a.Origin, a.Result)
	}
	c.observeQuota(nowUs)
	c.restoreDepartures(nowUs)
	c.gossip(nowUs)
	c.pushFrames(nowUs)
}

// handlePeerMessage processes the one part of a message that is set.
func (c *Core) handlePeerMessage(nowUs int64, message peering.Message) {
	switch {
	case message.Chain != nil:
		c.stepChain(nowUs, chain.MessageReceived{Msg: message.Chain})
	case message.Result != nil:
		c.handleResult(nowUs, message.Result)
	case message.Report != nil:
		c.stepController(nowUs, controller.GatewayReport{Report: message.Report})
	case message.Suspicion != nil:
		c.stepController(nowUs, controller.WatcherReport{Report: *message.Suspicion})
	case message.Gossip != nil:
		c.handleGossip(nowUs, *message.Gossip)
	case message.Outliers != nil && message.Outliers.NewerThan(c.soft.Outliers):
		c.soft.Outliers = *message.Outliers
	}
}

func (c *Core) send(addr string, message peering.Message) {
	c.effects = append(c.effects, SendMessage{Addr: addr, Message: message})
}

// stepChain passes an event to the chain node and processes its effects.
func (c *Core) stepChain(nowUs int64, ev chain.Event) {
	for _, e := range c.Node.Step(nowUs, ev) {
		switch e := e.(type) {
		case chain.Send:
			msg := e.Msg
			c.send(e.Addr, peering.Message{Chain: &msg})
		case chain.Persist:
			c.effects = append(c.effects, Persist{Request: &e})
		case chain.Applied:
			c.handleApplied(nowUs, e)
		case chain.ViewInstalled:
			c.Updates.SetActive(nowUs, c.Node.IsTailReady(nowUs))
			c.effects = append(c.effects, LogMessage{Message: "view", Detail: formatView(e.View)})
		case chain.Fenced:
			c.effects = append(c.effects, LogMessage{Message: "fenced by another process of this identity", Detail: e.By.Incarnation})
		case chain.MessageRejected:
			c.logRejectedMessage(nowUs, e.Fault)
		case chain.ChangeRejected:
			c.effects = append(c.effects, DeliverResult{Result: &wire.Result{Outcome: statemachine.Outcome{
				ID: e.ID, Fault: fault.New(fault.NotServing, "", "%s", e.Reason),
			}}})
		}
	}
}

// rejectedLogIntervalUs is the minimum interval between two log lines about rejected messages, as their sender keeps sending.
const rejectedLogIntervalUs = 10 * clock.Sec

func (c *Core) logRejectedMessage(nowUs int64, reason *fault.Fault) {
	if c.lastRejectionLogUs != 0 && nowUs-c.lastRejectionLogUs < rejectedLogIntervalUs {
		return
	}
	c.lastRejectionLogUs = nowUs
	c.effects = append(c.effects, LogMessage{Message: "message not read", Detail: reason.Error()})
}

// handleApplied processes a change that was applied to the replicated state: it passes a leader's update to the controller and,
// at a tail that accepts writes, sends the result to the origin of the change. The result of a configuration change without a
// version is held back until the gateways have acknowledged the update.
func (c *Core) handleApplied(nowUs int64, a chain.Applied) {
	change := a.Entry.Change
	if change.LeaderUpdate != nil && change.LeaderUpdate.CheckedInView > 0 {
		c.checkedView = change.LeaderUpdate.CheckedInView
	}
	c.effects = append(c.effects, ChangeApplied{Applied: &a})
	if change.LeaderUpdate != nil && len(change.LeaderUpdate.Commands)+len(change.LeaderUpdate.Results) > 0 {
		observedUs := nowUs
		if a.Entry.Index <= c.startIndex {
			observedUs = c.startUs
		}
		c.Controller.OnApplied(observedUs, change.Epoch, *change.LeaderUpdate, c.Node.State())
	}
	if change.LeaderUpdate != nil && change.Epoch == c.Node.State().Epoch {
		out := a.Outcome
		c.stepController(nowUs, controller.WriteResult{Outcome: out})
	}
	if !c.Node.IsTail() || change.Origin == "" || !c.Node.AcceptsWrites() {
		return
	}
	if change.Config != nil && a.Outcome.Fault == nil && change.Config.Version == 0 {
		c.Updates.SetActive(nowUs, c.Node.IsTailReady(nowUs))
		c.Updates.AwaitAcknowledgements(change.Origin, a.Outcome, c.Node.State().UpdateIndex)
		return
	}
	c.sendResult(nowUs, change.Origin, wire.Result{Outcome: a.Outcome, OnAllGateways: true})
}

// Outcome returns the recorded outcome of the change with this ID, marked as repeated. It reports false if the change is
// unknown, or if its entry is not yet durable in the chain and so must not be acknowledged from here.
func (c *Core) Outcome(id string) (statemachine.Outcome, bool) {
	out, seen := c.Node.State().Outcomes[id]
	out.Repeated = true
	return out, seen && c.Node.IsDurable(out.Index)
}

// sendResult sends the result of a change to the control node at which it was submitted.
func (c *Core) sendResult(nowUs int64, origin string, r wire.Result) {
	if origin == c.Node.Self().Addr {
		c.handleResult(nowUs, &r)
		return
	}
	c.send(origin, peering.Message{Result: &r})
}

// stepController passes an event to the controller and processes its effects.
func (c *Core) stepController(nowUs int64, event controller.Event) {
	snapshot := controller.Snapshot{
		NowUs: nowUs, State: c.Node.State(), IsHead: c.Node.IsHead(),
		IsFresh: c.Node.IsHeadConfirmed(nowUs), CanWrite: c.Node.AcceptsWrites(), ViewNumber: c.Node.View().Number,
		Registry: c.soft.Registry, Outliers: c.soft.Outliers,
	}
	if !snapshot.CanWrite {
		snapshot.IsFresh = false
	}
	for _, effect := range c.Controller.Step(snapshot, event) {
		switch effect := effect.(type) {
		case controller.WriteChange:
			c.stepChain(nowUs, chain.ChangeSubmitted{Change: effect.Change})
		case controller.PublishVerdicts:
			c.publishOutliers(effect.Table)
		case controller.RolloutProgress:
			c.effects = append(c.effects, rolloutLogMessage(effect))
		default:
			c.effects = append(c.effects, RunController{Effect: effect})
		}
	}
}
