package simulator

import (
	"net/http"

	"petreltide/internal/dataplane/scheduling"
	"petreltide/tests/platform/replica"
)

// attempt is one request on one connection to a replica.
type attempt struct {
	exchange        *exchange
	start           scheduling.AttemptStart
	connection      uint64
	to              *replicaNode
	toReplica       *link
	fromReplica     *link
	seal            string
	headersReceived bool
	ended           bool
	reused          bool
}

// write sends the request, unless the news has changed since it was decided.
func (a *attempt) write() {
	t, st := a.exchange.gateway, a.start
	d := t.day
	if a.ended {
		return
	}
	if !st.MaySend(t.snapshot, t.clock(), 0) || !a.to.up {
		a.finish(scheduling.OutcomeUnsent)
		return
	}
	ask := a.exchange.request
	ask.From, ask.Expect, ask.Last = t.name, st.Incarnation, a.exchange.last
	ask.Priority = a.start.Priority
	ask.Tenant = t.snapshot.TenantName(st.Call)
	if d.plan.Plant == "namesake" {
		ask.Tenant = d.tenants.unlimited().name
	}
	ask.Keyed = d.plan.Plant == "key-passed" && d.random.Intn(50) == 0
	ask.DeadlineUs = d.nowUs + max(1, (st.DeadlineUs-t.clock()-deadlineUs)/1000)*millisecond
	if d.plan.Plant == "smuggler" && d.random.Intn(50) == 0 {
		ask.ID += "x"
	}
	a.toReplica, a.fromReplica = d.newLink(&t.machine, &a.to.machine), d.newLink(&a.to.machine, &t.machine)
	if drops := a.to.dropsIdle; drops != nil && a.reused {
		drops()
		delete(t.idleConnections, st.Incarnation)
		a.toReplica.closed = true
		a.reset()
		return
	}
	a.toReplica.send(func() { a.to.receive(a, ask) })
	boot := a.to.boot
	d.schedule(d.nowUs+3*millisecond, func() { a.watch(boot) })
	t.after(max(1, st.DeadlineUs-t.clock()), func() { a.connectionLost(true) })
}

// watch finds a replica's end before it has taken the request.
func (a *attempt) watch(boot int) {
	if a.ended || a.to.connections[a.connection] != nil {
		return
	}
	if !a.to.up || a.to.boot != boot {
		a.reset()
		return
	}
	if len(a.toReplica.queue) > 0 {
		a.exchange.gateway.day.schedule(a.exchange.gateway.day.nowUs+20*millisecond, func() { a.watch(boot) })
	}
}

// reset is a connection that the other end has given up; a cut hides it.
func (a *attempt) reset() {
	t := a.exchange.gateway
	d := t.day
	boot := t.boot
	var arrive func()
	arrive = func() {
		if a.ended {
			return
		}
		if d.isCut(a.to.name, t.name) {
			d.schedule(d.nowUs+20*millisecond, arrive)
			return
		}
		t.deliver(boot, func() { a.connectionLost(false) })
	}
	d.schedule(max(d.nowUs+millisecond, a.fromReplica.nextDeliveryUs), arrive)
}

// connectionLost is an attempt that was sent and whose answer did not come, or not whole.
func (a *attempt) connectionLost(late bool) {
	switch {
	case late && !a.exchange.clientGone:
		a.finish(scheduling.Decide(a.start.Kind, scheduling.NoResponseBeforeDeadline).Outcome)
	case a.headersReceived:
		a.finish(scheduling.Decide(a.start.Kind, a.brokenObservation()).Outcome)
	default:
		if a.exchange.gateway.day.plan.Plant == "again" {
			a.finish(scheduling.OutcomeUnsent)
			return
		}
		a.finish(scheduling.Decide(a.start.Kind, scheduling.ClosedBeforeResponse).Outcome)
	}
}

// brokenObservation is a stream that cannot be read on, by what of it has reached the client.
func (a *attempt) brokenObservation() scheduling.Observation {
	if a.exchange.opened {
		return scheduling.StreamInterrupted
	}
	return scheduling.TruncatedResponse
}

// cancel ends an attempt whose client is gone.
func (a *attempt) cancel() {
	boot := a.exchange.gateway.boot
	a.exchange.gateway.day.schedule(a.exchange.gateway.day.nowUs+millisecond, func() {
		a.exchange.gateway.deliver(boot, func() {
			if !a.ended {
				if a.toReplica == nil {
					a.finish(scheduling.OutcomeUnsent)
					return
				}
				a.connectionLost(false)
			}
		})
	})
}

// close gives the connection up: what a cut holds back is lost, and the replica learns of the end.
func (a *attempt) close() {
	if a.ended {
		return
	}
	a.ended = true
	if a.toReplica == nil {
		return
	}
	a.toReplica.closed, a.fromReplica.closed = true, true
	t, p := a.exchange.gateway, a.to
	d := t.day
	var arrive func()
	arrive = func() {
		if d.isCut(t.name, p.name) {
			d.schedule(d.nowUs+50*millisecond, arrive)
			return
		}
		p.deliver(p.boot, func() { p.connectionClosed(a.connection) })
	}
	d.schedule(d.nowUs+millisecond, arrive)
}

// finish tells the decider how an attempt ended.
func (a *attempt) finish(e scheduling.Outcome) {
	if a.ended {
		return
	}
	x, t := a.exchange, a.exchange.gateway
	if e == scheduling.OutcomeDone || e == scheduling.OutcomeFailed || e == scheduling.OutcomeRejected || e == scheduling.OutcomeModelMissing {
		a.ended = true
		t.idleConnections[a.start.Incarnation] = t.day.nowUs + idleUs
	} else {
		a.close()
		a.ended = true
	}
	x.current = nil
	if x.clientGone || e == scheduling.OutcomeDone || e == scheduling.OutcomeFailed {
		x.close()
	}
	if t.day.plan.Plant == "keeps-slots" && e == scheduling.OutcomeUnknown {
		return
	}
	t.step(scheduling.AttemptEnded{Call: a.start.Call.ID, Attempt: a.start.Attempt, Outcome: e})
}

// onEffect is what a replica sends, as the platform's side of a gateway reads it.
func (a *attempt) onEffect(e replica.Effect) {
	if a.ended {
		return
	}
	x := a.exchange
	d := x.gateway.day
	switch {
	case e.Head && (e.Status == http.StatusMisdirectedRequest || e.NotExecuted):
		a.onRejection(e)
	case e.Head && x.attempt.Stream && e.Status/100 == 2:
		a.headersReceived, a.seal = true, e.Seal
		if e.End {
			a.finish(scheduling.OutcomeDone)
		}
	case e.Head:
		a.onCompleteResponse(e)
	case e.End:
		if !x.opened {
			a.open()
		}
		x.toClient.send(func() { x.client.onComplete(x.attempt) })
		a.finish(scheduling.OutcomeDone)
	default:
		if int64(e.N) <= x.call.Progress.Load() && x.call.Progress.Load() > 0 {
			a.finish(scheduling.Decide(a.start.Kind, a.brokenObservation()).Outcome)
			return
		}
		if d.plan.Plant == "skips" && e.N == 3 {
			return
		}
		x.last = e.N
		x.call.Progress.Store(int64(e.N))
		a.open()
		text := e.Text
		if d.plan.Plant == "mixer" && e.N == 2 {
			text = "0000000000000000~" + text
		}
		x.toClient.send(func() { x.client.onStreamEvent(x.attempt, e.N, text) })
	}
}

func (a *attempt) onRejection(e replica.Effect) {
	switch {
	case e.Status == http.StatusMisdirectedRequest && a.to.name != a.start.Incarnation:
		a.finish(scheduling.OutcomeWrongIncarnation)
	case e.Status == http.StatusMisdirectedRequest:
		a.finish(scheduling.OutcomeModelMissing)
	default:
		a.finish(scheduling.OutcomeRejected)
	}
}

// onCompleteResponse is an answer that came at once.
func (a *attempt) onCompleteResponse(e replica.Effect) {
	x := a.exchange
	a.recordFirstToken()
	decided := scheduling.Decide(a.start.Kind, a.classify(e.Status))
	if decided.Response != scheduling.ForwardResponse {
		x.retried = x.retried || e.Status/100 != 2
		a.finish(decided.Outcome)
		return
	}
	x.opened = true
	seal := e.Seal
	if x.gateway.day.plan.Plant == "unsealed" {
		seal = ""
	}
	x.toClient.send(func() { x.client.onResponse(x.attempt, e.Status, seal, e.Body, 0) })
	a.finish(decided.Outcome)
}

// classify is what a whole answer is to this request, as the platform's side of a gateway has it.
func (a *attempt) classify(status int) scheduling.Observation {
	switch {
	case a.exchange.opened:
		return scheduling.NonStreamResponse
	case status/100 == 2:
		return scheduling.CompleteResponse
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return scheduling.UnconfirmedRejection
	case a.exchange.retried || a.start.Route.MaxAttempts <= 1:
		return scheduling.ErrorResponseRepeated
	}
	return scheduling.ErrorResponse
}

func (a *attempt) recordFirstToken() {
	a.exchange.call.FirstByteUs.CompareAndSwap(0, a.exchange.gateway.clock())
}

// open begins an answer with the head of the replica that sent the first event.
func (a *attempt) open() {
	a.recordFirstToken()
	x := a.exchange
	if x.opened {
		return
	}
	x.opened = true
	seal := a.seal
	x.toClient.send(func() { x.client.onHeaders(x.attempt, http.StatusOK, seal) })
}
