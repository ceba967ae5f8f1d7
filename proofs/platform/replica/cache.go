package replica

import (
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
