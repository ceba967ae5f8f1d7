package replica

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"petreltide/internal/api/configuration"
)

type work struct {
	conn     uint64
	ask      Ask
	arrival  *Arrival
	seq      uint64
	begun    bool
	headed   bool
	unread   int64
	produced int64
	next     int
	doneUs   int64
	count    int
	ailment  Ailment
}

func (w *work) unit() string { return configuration.UnitName(w.ask.Model, w.ask.Adapter) }

// Take is a request that has arrived whole. An incarnation that has ended breaks the connection off.
func (c *Core) Take(nowUs int64, conn uint64, ask Ask) []Effect {
	if c.ended {
		return []Effect{{Conn: conn, Broken: true}}
	}
	c.advance(nowUs)
	c.arrivals++
	c.nonces++
	a := &Arrival{
		Request: ask.ID, Replica: c.opts.ID, Service: c.opts.Service, Addr: c.opts.Addr, From: ask.From, Method: ask.Method, Host: ask.Host, Path: ask.Path,
		Body: ask.Body, Model: ask.Model, Last: ask.Last, Tenant: ask.Tenant, Keyed: ask.Keyed, AtUs: nowUs, Total: Total(ask.Body), Nonce: fmt.Sprintf("%s-%d", c.opts.ID, c.nonces),
	}
	if c.opts.Journal.Arrived != nil {
		c.opts.Journal.Arrived(a)
	}
	c.seq++
	w := &work{conn: conn, ask: ask, arrival: a, seq: c.seq, next: ask.Last + 1, unread: ask.In, count: c.arrivals}
	if status := c.refusal(w); status != 0 {
		c.turn(nowUs, w, status)
		return c.flush()
	}
	if c.opts.Ail != nil {
		w.ailment = c.opts.Ail(w.count, ask.From)
	}
	switch w.ailment {
	case Sheds, Busies:
		c.turn(nowUs, w, map[Ailment]int{Sheds: http.StatusServiceUnavailable, Busies: http.StatusTooManyRequests}[w.ailment])
		return c.flush()
	case Resets:
		a.BrokeOff, a.EndUs = true, nowUs
		c.do(Effect{Conn: conn, Broken: true})
		return c.flush()
	case Hangs:
		return c.flush()
	case Mutes, Loses:
		c.muted[conn] = w
	}
	c.waiting = append(c.waiting, w)
	c.admit(nowUs)
	return c.flush()
}

// refusal is the status by which a request is turned away before it waits, 0 for none.
func (c *Core) refusal(w *work) int {
	switch {
	case w.ask.ID == "":
		return http.StatusBadRequest
	case w.ask.Expect != "" && w.ask.Expect != c.opts.ID && !c.opts.Anyone:
		return http.StatusMisdirectedRequest
	case c.opts.Engine != nil && w.ask.Model != "" && (!c.held[w.ask.Model] || (w.ask.Adapter != "" && !c.held[w.unit()])):
		return http.StatusMisdirectedRequest
	case c.opts.Turn != nil && c.opts.Turn(w.count), len(c.waiting) >= c.opts.Queue, c.concerns(w),
		c.opts.Engine != nil && w.ask.In+int64(w.arrival.Total*c.opts.Engine.Stride) > c.opts.Engine.CacheTokens:
		return http.StatusServiceUnavailable
	}
	return 0
}

// concerns: an unload is under way of what a request is for.
func (c *Core) concerns(w *work) bool {
	if c.order == nil || c.order.order.Operation != "unloading" {
		return false
	}
	return w.ask.Model == c.order.unit || w.unit() == c.order.unit
}

func (c *Core) turn(nowUs int64, w *work, status int) {
	w.arrival.Turned, w.arrival.Status, w.arrival.EndUs = status, status, nowUs
	c.do(Effect{Conn: w.conn, Head: true, Status: status, NotExecuted: true, End: true})
}

// Gone is a connection that closed: what it asked for is dropped.
func (c *Core) Gone(nowUs int64, conn uint64) []Effect {
	c.advance(nowUs)
	drop := func(all []*work) []*work {
		return slices.DeleteFunc(all, func(w *work) bool {
			if w.conn == conn {
				w.arrival.EndUs = nowUs
				delete(c.reading, w)
			}
			return w.conn == conn
		})
	}
	c.waiting, c.running = drop(c.waiting), drop(c.running)
	delete(c.muted, conn)
	c.admit(nowUs)
	return c.flush()
}

// late ends what has passed its deadline: 503 for what has not begun, 504 for what runs.
func (c *Core) late(nowUs int64) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *work) bool {
		if w.ask.DeadlineUs > nowUs {
			return false
		}
		if w.begun {
			c.finish(nowUs, w, http.StatusGatewayTimeout)
		} else {
			c.turn(nowUs, w, http.StatusServiceUnavailable)
		}
		return true
	})
	for _, w := range slices.Clone(c.running) {
		if w.ask.DeadlineUs > nowUs {
			continue
		}
		c.remove(w)
		if w.begun {
			c.finish(nowUs, w, http.StatusGatewayTimeout)
		} else {
			c.turn(nowUs, w, http.StatusServiceUnavailable)
		}
	}
}

func (c *Core) remove(w *work) {
	c.running = slices.DeleteFunc(c.running, func(o *work) bool { return o == w })
	delete(c.reading, w)
}

// finish ends a run that did not come to its own end: with a status, or by breaking off.
func (c *Core) finish(nowUs int64, w *work, status int) {
	w.arrival.EndUs, w.arrival.Status = nowUs, status
	if w.headed {
		w.arrival.BrokeOff = true
		c.do(Effect{Conn: w.conn, Broken: true})
		return
	}
	c.do(Effect{Conn: w.conn, Head: true, Status: status, Seal: Seal(c.opts.ID, w.arrival.Nonce), Body: "failed", End: true})
}

func (c *Core) begin(nowUs int64, w *work) {
	if !w.begun {
		w.begun = true
		w.arrival.RanUs = nowUs
	}
}

// admit lets waiting requests in, the most urgent first.
func (c *Core) admit(nowUs int64) {
	slices.SortStableFunc(c.waiting, func(a, b *work) int {
		return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.seq, b.seq))
	})
	for len(c.waiting) > 0 && len(c.running) < c.opts.Slots {
		w := c.waiting[0]
		if c.opts.Engine != nil && w.ask.Stream && len(c.running) > 0 && c.usedTokens()+w.ask.In+w.produced > c.opts.Engine.CacheTokens {
			break
		}
		c.waiting = c.waiting[1:]
		c.running = append(c.running, w)
		switch {
		case c.opts.Engine != nil && w.ask.Stream:
			w.unread = max(w.ask.In+w.produced-c.cached(w), 1)
		default:
			c.begin(nowUs, w)
			w.doneUs = nowUs + c.opts.WorkUs*c.slow()
		}
	}
	c.start(nowUs)
}

// answer ends a short request with its whole body.
func (c *Core) answer(w *work, nowUs int64) {
	c.remove(w)
	if w.ailment == Errs || (c.opts.Fail != nil && c.opts.Fail(w.count)) {
		c.finish(nowUs, w, http.StatusInternalServerError)
		return
	}
	w.arrival.EndUs, w.arrival.Status, w.arrival.Whole, w.arrival.Sent = nowUs, http.StatusOK, true, 1
	c.do(Effect{Conn: w.conn, Head: true, Status: http.StatusOK, Seal: Seal(c.opts.ID, w.arrival.Nonce), Body: Text(w.ask.Body, 1, w.arrival.Nonce), End: true})
}
