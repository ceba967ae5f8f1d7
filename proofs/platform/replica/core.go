package replica

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"

	"petreltide/internal/standing"
)

const (
	ms          = int64(1_000)
	reportLagUs = 200 * ms
	chunkTokens = 512
	unloadUs    = 30 * ms
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

func (w *work) unit() string { return standing.Unit(w.ask.Model, w.ask.Adapter) }

// Core is one life of a replica: what reaches it goes in, what it sends comes out.
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
	// ended is set by Kill: nothing that reaches this life later is taken.
	ended   bool
	effects []Effect
	muted   map[uint64]*work
}

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

func (c *Core) ID() string { return c.opts.ID }

func (c *Core) Service() string { return c.opts.Service }

func (c *Core) Addr() string { return c.opts.Addr }

func (c *Core) Zone() string { return c.opts.Zone }

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

// Take is a request that has arrived whole. A life that has ended breaks the connection off.
func (c *Core) Take(nowUs int64, conn uint64, ask Ask) []Effect {
	if c.ended {
		return []Effect{{Conn: conn, Broken: true}}
	}
	c.advance(nowUs)
	c.arrivals++
	c.nonces++
	a := &Arrival{
		Request: ask.ID, Replica: c.opts.ID, Service: c.opts.Service, Addr: c.opts.Addr, From: ask.From, Method: ask.Method, Host: ask.Host, Path: ask.Path,
		Body: ask.Body, Model: ask.Model, Last: ask.Last, AtUs: nowUs, Total: Total(ask.Body), Nonce: fmt.Sprintf("%s-%d", c.opts.ID, c.nonces),
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

// Kill ends this life: what runs is broken off, and the store is rid of its load.
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
