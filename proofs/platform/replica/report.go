package replica

import (
	"slices"

	"petreltide/internal/standing"
)

type past struct {
	atUs  int64
	units []string
	busy  bool
	seq   uint64
}

func (c *Core) noted(nowUs int64) {
	c.past = append(c.past, past{nowUs, c.Units(), c.order != nil, c.orders})
	if len(c.past) > 64 {
		c.past = append(c.past[:0], c.past[32:]...)
	}
}

// Report is what it says of itself, as of a moment ago.
type Report struct {
	Units   []string
	Busy    bool
	Orders  uint64
	Waiting int
	Running int
}

func (c *Core) Report(nowUs int64) Report {
	r := Report{Units: c.Units(), Busy: c.order != nil, Orders: c.orders, Waiting: len(c.waiting), Running: len(c.running)}
	for i := len(c.past) - 1; i >= 0; i-- {
		if c.past[i].atUs <= nowUs-reportLagUs {
			r.Units, r.Busy, r.Orders = c.past[i].units, c.past[i].busy, c.past[i].seq
			return r
		}
	}
	if len(c.past) > 0 {
		r.Units, r.Busy, r.Orders = slices.Clone(c.opts.Holds), false, 0
		slices.Sort(r.Units)
	}
	return r
}

// TakenMb is the room of all that it holds.
func (c *Core) TakenMb() int64 {
	var sumMb int64
	for u := range c.held {
		sumMb += c.unitMb(u)
	}
	return sumMb
}

func (c *Core) unitMb(unit string) int64 {
	model, adapter := standing.Units(unit)
	m := c.opts.Engine.Models[model]
	if adapter != "" {
		return m.AdapterMb
	}
	return m.SizeMb
}
