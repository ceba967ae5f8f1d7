package replica

import (
	"cmp"
	"net/http"
	"slices"
)

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

// start begins the next step of the batch: a chunk of prompts is read, and each other run gets a token.
func (c *Core) start(nowUs int64) {
	if c.stepUs > 0 || c.opts.Engine == nil {
		return
	}
	streams, left := 0, int64(chunkTokens)
	clear(c.reading)
	for _, w := range c.running {
		if w.doneUs > 0 {
			continue
		}
		streams++
		if n := min(w.unread, left); n > 0 {
			c.reading[w] = n
			left -= n
		}
	}
	if streams == 0 {
		return
	}
	e := c.opts.Engine
	c.stepUs = nowUs + (e.StepUs+int64(streams)*e.SlotUs+int64(float64(chunkTokens-left)/e.TokensPerMs*1000))*c.slow()
}

func (c *Core) stepped(nowUs int64) {
	for _, w := range slices.Clone(c.running) {
		if w.doneUs > 0 {
			continue
		}
		if w.unread > 0 {
			w.unread -= c.reading[w]
			if w.unread > 0 || c.reading[w] == 0 {
				continue
			}
			c.keep(nowUs, w)
		}
		c.begin(nowUs, w)
		w.produced++
		c.emit(nowUs, w)
	}
	for c.usedTokens() > c.opts.Engine.CacheTokens && len(c.running) > 1 {
		c.putBack()
	}
}

// putBack takes the newest of the least urgent runs out of the batch; it will be read anew.
func (c *Core) putBack() {
	var last *work
	for _, w := range c.running {
		if w.doneUs == 0 && (last == nil || w.ask.Priority > last.ask.Priority || (w.ask.Priority == last.ask.Priority && w.seq > last.seq)) {
			last = w
		}
	}
	if last == nil {
		return
	}
	c.remove(last)
	c.waiting = append(c.waiting, last)
}

func (c *Core) emit(nowUs int64, w *work) {
	e := c.opts.Engine
	if !w.headed {
		if w.ailment == Errs || (c.opts.Fail != nil && c.opts.Fail(w.count)) {
			c.remove(w)
			c.finish(nowUs, w, http.StatusInternalServerError)
			return
		}
		w.headed = true
		c.do(Effect{Conn: w.conn, Head: true, Status: http.StatusOK, Seal: Seal(c.opts.ID, w.arrival.Nonce)})
	}
	for w.next <= w.arrival.Total && w.produced >= int64((w.next-1-w.ask.Last)*e.Stride+1) {
		c.do(Effect{Conn: w.conn, N: w.next, Text: Text(w.ask.Body, w.next, w.arrival.Nonce)})
		w.arrival.Sent = w.next
		w.next++
		if c.opts.Break != nil && w.next > w.arrival.Total/2 && c.opts.Break(w.count) {
			c.remove(w)
			c.finish(nowUs, w, http.StatusOK)
			return
		}
	}
	if w.next > w.arrival.Total {
		c.remove(w)
		w.arrival.EndUs, w.arrival.Status, w.arrival.Whole = nowUs, http.StatusOK, true
		c.do(Effect{Conn: w.conn, End: true})
	}
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
