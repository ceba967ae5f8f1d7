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
	gateway *routedGateway
	call    *scheduling.Call
	try     *rules.Attempt
	ask     replica.Ask
	seat    *seat
	back    *pipe
	opened  bool
	retried bool
	last    int
	attempt *attempt
	gone    bool
	over    bool
}

func (x *exchange) done() {
	x.over = true
	if x.call != nil {
		delete(x.gateway.open, x.call.ID)
	}
}

// fail ends a request with an answer of the product's own, or cuts it where one has begun.
func (x *exchange) fail(f *fault.Fault) {
	if x.over {
		return
	}
	x.done()
	if x.opened {
		x.back.send(func() { x.seat.broken(x.try) })
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
	x.back.send(func() { x.seat.answered(x.try, status, "", "", f.RetryMs) })
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

// begin is the executor of one attempt.
func (x *exchange) begin(st scheduling.AttemptStart) {
	t := x.gateway
	d := t.day
	d.conns++
	l := &attempt{x: x, st: st, conn: d.conns}
	x.attempt = l
	if st.DeadlineUs-t.clock() < ms {
		t.later(1, func() { l.finish(scheduling.OutcomeUnsent) })
		return
	}
	l.to = d.replicaAt(st.Addr)
	reused := t.kept[st.Incarnation] > d.nowUs && l.to != nil && l.to.name == st.Incarnation
	switch {
	case l.to == nil:
		t.later(ms, func() { l.finish(scheduling.OutcomeUnsent) })
	case reused:
		l.kept = true
		t.later(1, l.write)
	case d.isCut(t.name, l.to.name) || d.isCut(l.to.name, t.name) || l.to.thawUs > d.nowUs:
		t.later(dialUs, func() { l.finish(scheduling.OutcomeUnsent) })
	default:
		t.later(300+d.r.Int63n(1500), l.write)
	}
}
