package simulator

import (
	"net/http"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

// exchange is one client's request at one gateway.
type exchange struct {
	gateway    *routedGateway
	call       *scheduling.Call
	attempt    *rules.Attempt
	request    replica.Ask
	client     *clientRequest
	toClient   *link
	opened     bool
	retried    bool
	last       int
	current    *attempt
	clientGone bool
	// awaitsQuota: nobody has said yet whether it is within its tenant's limit.
	awaitsQuota bool
	finished    bool
}

func (x *exchange) close() {
	x.finished = true
	if x.call != nil {
		delete(x.gateway.open, x.call.ID)
	}
}

// fail ends a request with an answer of the product's own, or cuts it where one has begun.
func (x *exchange) fail(f *fault.Fault) {
	if x.finished {
		return
	}
	x.close()
	if x.opened {
		x.toClient.send(func() { x.client.onBrokenConnection(x.attempt) })
		return
	}
	x.answer(f)
}

// answer mirrors how the platform's side of a gateway words what the product says.
func (x *exchange) answer(f *fault.Fault) {
	status := http.StatusBadGateway
	switch f.Code {
	case fault.NotFound, fault.UnknownKind:
		status = http.StatusNotFound
	case fault.BadField, fault.BadLastEventID:
		status = http.StatusBadRequest
	case fault.Unauthenticated:
		status = http.StatusUnauthorized
	case fault.QuotaExceeded:
		status = http.StatusTooManyRequests
	default:
		if f.Run == "" || f.Run == fault.RunNone {
			status = http.StatusServiceUnavailable
		} else if f.Code == fault.Expired {
			status = http.StatusGatewayTimeout
		}
	}
	if x.gateway.day.plan.Plant == "liar" && status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	x.toClient.send(func() { x.client.onResponse(x.attempt, status, "", "", f.RetryMs) })
}

// ended is a call whose last attempt did not end well.
func (x *exchange) ended(e scheduling.Outcome) {
	f := &fault.Fault{Code: fault.OutcomeUnknown, Run: fault.RunUnknown}
	switch {
	case e == scheduling.OutcomeTimedOut:
		f.Code = fault.Expired
	case x.opened:
		f.Code, f.Run = fault.StreamBroken, fault.RunPartial
	}
	x.fail(f)
}

// startAttempt is the executor of one attempt.
func (x *exchange) startAttempt(st scheduling.AttemptStart) {
	t := x.gateway
	d := t.day
	d.connections++
	l := &attempt{exchange: x, start: st, connection: d.connections}
	x.current = l
	if st.DeadlineUs-t.clock() < millisecond {
		t.after(1, func() { l.finish(scheduling.OutcomeUnsent) })
		return
	}
	l.to = d.replicaAt(st.Addr)
	reused := t.idleConnections[st.Incarnation] > d.nowUs && l.to != nil && l.to.name == st.Incarnation
	switch {
	case l.to == nil:
		t.after(millisecond, func() { l.finish(scheduling.OutcomeUnsent) })
	case reused:
		l.reused = true
		t.after(1, l.write)
	case d.isCut(t.name, l.to.name) || d.isCut(l.to.name, t.name) || l.to.thawUs > d.nowUs:
		t.after(dialUs, func() { l.finish(scheduling.OutcomeUnsent) })
	default:
		t.after(300+d.random.Int63n(1500), l.write)
	}
}
