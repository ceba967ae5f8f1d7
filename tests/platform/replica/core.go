package replica

import (
	"maps"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
)

const (
	ms          = int64(1_000)
	reportLagUs = 200 * ms
	chunkTokens = 512
	unloadUs    = 30 * ms
)

type past struct {
	atUs  int64
	units []string
	busy  bool
	seq   uint64
}

// Core is one incarnation of a replica: what reaches it goes in, what it sends comes out.
type Core struct {
	opts     Options
	held     map[string]bool
	order    *underway
	orders   uint64
	fence    uint64
	waiting  []*work
	running  []*work
	kept     map[string]int64
	keptUs   map[string]int64
	stepUs   int64
	reading  map[*work]int64
	seq      uint64
	arrivals int
	nonces   int
	past     []past
	Draining bool
	LeavesUs int64
	Fallen   bool
	// ended is set by Kill: nothing that reaches this incarnation later is taken.
	ended   bool
	effects []Effect
	muted   map[uint64]*work
}

// NewCore begins an incarnation that holds what its options say.
func NewCore(o Options) *Core {
	c := &Core{opts: o, held: map[string]bool{}, kept: map[string]int64{}, keptUs: map[string]int64{}, reading: map[*work]int64{}, muted: map[uint64]*work{}}
	if c.opts.Disk == nil {
		c.opts.Disk = NewDisk()
	}
	for _, u := range o.Holds {
		c.held[u] = true
		c.opts.Disk.Put(u)
	}
	return c
}

// ID names this incarnation.
func (c *Core) ID() string { return c.opts.ID }

// Service is the one that it serves.
func (c *Core) Service() string { return c.opts.Service }

// Addr is where it listens.
func (c *Core) Addr() string { return c.opts.Addr }

// Zone is where its machine is.
func (c *Core) Zone() string { return c.opts.Zone }

// Busy says that requests wait or run.
func (c *Core) Busy() bool { return len(c.running)+len(c.waiting) > 0 }

// Units are what it holds, in order.
func (c *Core) Units() []string { return slices.Sorted(maps.Keys(c.held)) }

func (c *Core) do(e Effect) {
	if w := c.muted[e.Conn]; w != nil {
		if !e.End && !e.Broken {
			return
		}
		delete(c.muted, e.Conn)
		if w.ailment == Mutes && !e.Broken {
			return
		}
		w.arrival.BrokeOff = true
		e = Effect{Conn: e.Conn, Broken: true}
	}
	c.effects = append(c.effects, e)
}

// slow is how many times as long work takes.
func (c *Core) slow() int64 {
	if c.opts.Slow == nil {
		return 1
	}
	return max(1, c.opts.Slow())
}

func (c *Core) flush() []Effect {
	out := c.effects
	c.effects = nil
	return out
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

// Report is what it says of itself at a time; what it holds is told as it was reportLagUs earlier.
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
	model, adapter := configuration.SplitUnit(unit)
	m := c.opts.Engine.Models[model]
	if adapter != "" {
		return m.AdapterMb
	}
	return m.SizeMb
}

// Step carries on up to a moment.
func (c *Core) Step(nowUs int64) []Effect {
	c.advance(nowUs)
	c.admit(nowUs)
	return c.flush()
}

// NextUs is when it wants to be stepped next, 0 for no wish.
func (c *Core) NextUs() int64 {
	nextUs := int64(math.MaxInt64)
	if c.stepUs > 0 {
		nextUs = c.stepUs
	}
	if c.order != nil && c.order.doneUs > 0 {
		nextUs = min(nextUs, c.order.doneUs)
	}
	for _, all := range [][]*work{c.waiting, c.running} {
		for _, w := range all {
			nextUs = min(nextUs, w.ask.DeadlineUs)
			if w.doneUs > 0 {
				nextUs = min(nextUs, w.doneUs)
			}
		}
	}
	if nextUs == math.MaxInt64 {
		return 0
	}
	return nextUs
}

func (c *Core) advance(nowUs int64) {
	for c.stepUs > 0 && c.stepUs <= nowUs {
		atUs := c.stepUs
		c.stepUs = 0
		c.stepped(atUs)
		c.late(atUs)
		c.admit(atUs)
	}
	for _, w := range slices.Clone(c.running) {
		if w.doneUs > 0 && w.doneUs <= nowUs {
			c.answer(w, w.doneUs)
		}
	}
	c.late(nowUs)
	c.carryOrder(nowUs)
}

// Kill ends this incarnation: what runs is broken off, and the store is rid of its load.
func (c *Core) Kill(nowUs int64) []Effect {
	for _, all := range [][]*work{c.running, c.waiting} {
		for _, w := range all {
			w.arrival.BrokeOff, w.arrival.EndUs = true, nowUs
			c.do(Effect{Conn: w.conn, Broken: true})
		}
	}
	c.running, c.waiting, c.stepUs = nil, nil, 0
	if c.order != nil && c.order.fromStore && c.opts.Store != nil {
		c.opts.Store.end()
	}
	c.order = nil
	c.ended = true
	return c.flush()
}
