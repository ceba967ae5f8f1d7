package controlnode

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/failuredetector"
)

// handleRoutedGatewayReport passes a gateway's report to the controller, or forwards it to the head, where the leading
// controller runs.
func (c *Core) handleRoutedGatewayReport(nowUs int64, r wire.Report) {
	c.soft.FramePublisher.RecordGateway(nowUs, r.Gateway)
	if c.Node.IsHead() {
		c.stepController(nowUs, controller.GatewayReport{Report: &r})
	} else if head := c.Node.View().Head(); head.Addr != "" && head.ID != c.Node.Self().ID {
		c.send(head.Addr, peering.Message{Report: &r})
	}
}

// reportSuspects reports the gateways that the failure detector suspects to the head, once in each heartbeat interval.
func (c *Core) reportSuspects(nowUs int64) {
	if nowUs-c.lastSuspicionReportUs < failuredetector.HeartbeatIntervalUs {
		return
	}
	c.lastSuspicionReportUs = nowUs
	s := &failuredetector.SuspicionReport{Reporter: c.Node.Self().ID, Suspects: c.FailureDetector.Suspects(nowUs)}
	if c.Node.IsHead() {
		c.stepController(nowUs, controller.WatcherReport{Report: *s})
	} else if head := c.Node.View().Head(); head.Addr != "" {
		c.send(head.Addr, peering.Message{Suspicion: s})
	}
}

// handleGatewayReport answers a gateway's report with a lease and, at a ready tail, passes the report to the controller at the
// head.
func (c *Core) handleGatewayReport(nowUs int64, r GatewayReport) {
	c.Updates.SetActive(nowUs, c.Node.IsTailReady(nowUs))
	view := c.Node.View().Number
	lease := c.Updates.Report(nowUs, view, c.Node.State().UpdateIndex, c.checkedView == view, r.Report)
	lease.Ring = c.Updates.Ring(nowUs, c.Node.View())
	c.effects = append(c.effects, ReplyLease{ReplyID: r.ReplyID, Lease: lease})
	if !c.Node.IsTailReady(nowUs) {
		return
	}
	if c.Node.IsHead() {
		c.stepController(nowUs, controller.GatewayReport{Report: &r.Report})
		return
	}
	report := r.Report
	c.send(c.Node.View().Head().Addr, peering.Message{Report: &report})
}
