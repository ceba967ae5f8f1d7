package replica

import (
	"net/http"
	"slices"
	"strings"
)

func (c *Core) usedTokens() int64 {
	var sum int64
	for _, w := range c.running {
		sum += w.ask.In + w.produced
	}
	return sum
}

func (c *Core) chain(w *work, n int) string {
	names := []string{w.unit()}
	for _, p := range w.ask.Parts[:n] {
		names = append(names, p.ID)
	}
	return strings.Join(names, "|")
}

// cached are the tokens at the start of a prompt that need not be read again.
func (c *Core) cached(w *work) int64 {
	var sum int64
	for i, p := range w.ask.Parts {
		if _, kept := c.kept[c.chain(w, i+1)]; !kept {
			break
		}
		sum += p.Tokens
	}
	return sum
}

func (c *Core) keep(nowUs int64, w *work) {
	for i, p := range w.ask.Parts {
		key := c.chain(w, i+1)
		c.kept[key] = p.Tokens
		c.keptUs[key] = nowUs
	}
	var sum int64
	for _, n := range c.kept {
		sum += n
	}
	for sum+c.usedTokens() > c.opts.Engine.CacheTokens && len(c.kept) > 0 {
		oldest := ""
		for key, atUs := range c.keptUs {
			if oldest == "" || atUs < c.keptUs[oldest] || (atUs == c.keptUs[oldest] && key < oldest) {
				oldest = key
			}
		}
		sum -= c.kept[oldest]
		delete(c.kept, oldest)
		delete(c.keptUs, oldest)
	}
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
