package simulator

import (
	"net/http"

	"petreltide/internal/dataplane/scheduling"
	"petreltide/tests/platform/replica"
)

// attempt is one request on one connection to a replica.
type attempt struct {
	x     *exchange
	st    scheduling.AttemptStart
	conn  uint64
	to    *replicaNode
	up    *pipe
	down  *pipe
	seal  string
	head  bool
	ended bool
	kept  bool
}

// write sends the request, unless the news has changed since it was decided.
func (l *attempt) write() {
	t, st := l.x.gateway, l.st
	d := t.day
	if l.ended {
		return
	}
	if !st.MaySend(t.snap, t.clock(), 0) || !l.to.up {
		l.finish(scheduling.OutcomeUnsent)
		return
	}
	ask := l.x.ask
	ask.From, ask.Expect, ask.Last = t.name, st.Incarnation, l.x.last
	ask.Priority = l.st.Route.Priority
	ask.DeadlineUs = d.nowUs + max(1, (st.DeadlineUs-t.clock()-deadlineUs)/1000)*ms
	if d.plan.Plant == "smuggler" && d.r.Intn(50) == 0 {
		ask.ID += "x"
	}
	l.up, l.down = d.pipe(&t.machine, &l.to.machine), d.pipe(&l.to.machine, &t.machine)
	if drops := l.to.dropsIdle; drops != nil && l.kept {
		drops()
		delete(t.kept, st.Incarnation)
		l.up.closed = true
		l.reset()
		return
	}
	l.up.send(func() { l.to.take(l, ask) })
	boot := l.to.boot
	d.at(d.nowUs+3*ms, func() { l.watch(boot) })
	t.later(max(1, st.DeadlineUs-t.clock()), func() { l.lost(true) })
}

// watch finds a replica's end before it has taken the request.
func (l *attempt) watch(boot int) {
	if l.ended || l.to.conns[l.conn] != nil {
		return
	}
	if !l.to.up || l.to.boot != boot {
		l.reset()
		return
	}
	if len(l.up.queue) > 0 {
		l.x.gateway.day.at(l.x.gateway.day.nowUs+20*ms, func() { l.watch(boot) })
	}
}

// reset is a connection that the other end has given up; a cut hides it.
func (l *attempt) reset() {
	t := l.x.gateway
	d := t.day
	boot := t.boot
	var arrive func()
	arrive = func() {
		if l.ended {
			return
		}
		if d.isCut(l.to.name, t.name) {
			d.at(d.nowUs+20*ms, arrive)
			return
		}
		t.now(boot, func() { l.lost(false) })
	}
	d.at(max(d.nowUs+ms, l.down.freeUs), arrive)
}

// lost is an attempt that was sent and whose answer did not come, or not whole.
func (l *attempt) lost(late bool) {
	switch {
	case late && !l.x.gone:
		l.finish(scheduling.Decide(l.st.Kind, scheduling.NoResponseBeforeDeadline).Outcome)
	case l.head:
		l.finish(scheduling.Decide(l.st.Kind, l.broke()).Outcome)
	default:
		if l.x.gateway.day.plan.Plant == "again" {
			l.finish(scheduling.OutcomeUnsent)
			return
		}
		l.finish(scheduling.Decide(l.st.Kind, scheduling.ClosedBeforeResponse).Outcome)
	}
}

// broke is a stream that cannot be read on, by what of it has reached the client.
func (l *attempt) broke() scheduling.Observation {
	if l.x.opened {
		return scheduling.StreamInterrupted
	}
	return scheduling.TruncatedResponse
}

// cancel ends an attempt whose client is gone.
func (l *attempt) cancel() {
	boot := l.x.gateway.boot
	l.x.gateway.day.at(l.x.gateway.day.nowUs+ms, func() {
		l.x.gateway.now(boot, func() {
			if !l.ended {
				if l.up == nil {
					l.finish(scheduling.OutcomeUnsent)
					return
				}
				l.lost(false)
			}
		})
	})
}

// close gives the connection up: what a cut holds back is lost, and the replica learns of the end.
func (l *attempt) close() {
	if l.ended {
		return
	}
	l.ended = true
	if l.up == nil {
		return
	}
	l.up.closed, l.down.closed = true, true
	t, p := l.x.gateway, l.to
	d := t.day
	var arrive func()
	arrive = func() {
		if d.isCut(t.name, p.name) {
			d.at(d.nowUs+50*ms, arrive)
			return
		}
		p.now(p.boot, func() { p.gone(l.conn) })
	}
	d.at(d.nowUs+ms, arrive)
}

// finish tells the decider how an attempt ended.
func (l *attempt) finish(e scheduling.Outcome) {
	if l.ended {
		return
	}
	x, t := l.x, l.x.gateway
	if e == scheduling.OutcomeDone || e == scheduling.OutcomeFailed || e == scheduling.OutcomeRejected || e == scheduling.OutcomeModelMissing {
		l.ended = true
		t.kept[l.st.Incarnation] = t.day.nowUs + idleUs
	} else {
		l.close()
		l.ended = true
	}
	x.attempt = nil
	if x.gone || e == scheduling.OutcomeDone || e == scheduling.OutcomeFailed {
		x.done()
	}
	t.step(scheduling.AttemptEnded{Call: l.st.Call.ID, Attempt: l.st.Attempt, Outcome: e})
}

// got is what a replica sends, as the platform's side of a gateway reads it.
func (l *attempt) got(e replica.Effect) {
	if l.ended {
		return
	}
	x := l.x
	d := x.gateway.day
	switch {
	case e.Head && (e.Status == http.StatusMisdirectedRequest || e.NotExecuted):
		l.turned(e)
	case e.Head && x.try.Stream && e.Status/100 == 2:
		l.head, l.seal = true, e.Seal
		if e.End {
			l.finish(scheduling.OutcomeDone)
		}
	case e.Head:
		l.whole(e)
	case e.End:
		if !x.opened {
			l.open()
		}
		x.back.send(func() { x.seat.complete(x.try) })
		l.finish(scheduling.OutcomeDone)
	default:
		if int64(e.N) <= x.call.Progress.Load() && x.call.Progress.Load() > 0 {
			l.finish(scheduling.Decide(l.st.Kind, l.broke()).Outcome)
			return
		}
		if d.plan.Plant == "skips" && e.N == 3 {
			return
		}
		x.last = e.N
		x.call.Progress.Store(int64(e.N))
		l.open()
		text := e.Text
		if d.plan.Plant == "mixer" && e.N == 2 {
			text = "0000000000000000~" + text
		}
		x.back.send(func() { x.seat.event(x.try, e.N, text) })
	}
}

func (l *attempt) turned(e replica.Effect) {
	switch {
	case e.Status == http.StatusMisdirectedRequest && l.to.name != l.st.Incarnation:
		l.finish(scheduling.OutcomeWrongIncarnation)
	case e.Status == http.StatusMisdirectedRequest:
		l.finish(scheduling.OutcomeModelMissing)
	default:
		l.finish(scheduling.OutcomeRejected)
	}
}

// whole is an answer that came at once.
func (l *attempt) whole(e replica.Effect) {
	x := l.x
	l.first()
	decided := scheduling.Decide(l.st.Kind, l.classify(e.Status))
	if decided.Response != scheduling.ForwardResponse {
		x.retried = x.retried || e.Status/100 != 2
		l.finish(decided.Outcome)
		return
	}
	x.opened = true
	seal := e.Seal
	if x.gateway.day.plan.Plant == "unsealed" {
		seal = ""
	}
	x.back.send(func() { x.seat.answered(x.try, e.Status, seal, e.Body, 0) })
	l.finish(decided.Outcome)
}

// classify is what a whole answer is to this request, as the platform's side of a gateway has it.
func (l *attempt) classify(status int) scheduling.Observation {
	switch {
	case l.x.opened:
		return scheduling.NonStreamResponse
	case status/100 == 2:
		return scheduling.CompleteResponse
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return scheduling.UnconfirmedRejection
	case l.x.retried || l.st.Route.MaxAttempts <= 1:
		return scheduling.ErrorResponseRepeated
	}
	return scheduling.ErrorResponse
}

func (l *attempt) first() { l.x.call.FirstByteUs.CompareAndSwap(0, l.x.gateway.clock()) }

// open begins an answer with the head of the replica that sent the first event.
func (l *attempt) open() {
	l.first()
	x := l.x
	if x.opened {
		return
	}
	x.opened = true
	seal := l.seal
	x.back.send(func() { x.seat.head(x.try, http.StatusOK, seal) })
}
