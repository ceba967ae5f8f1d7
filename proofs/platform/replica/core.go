package replica

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"

	"petreltide/internal/standing"
)

const (
	ms          = int64(1_000)
	reportLagUs = 200 * ms
	chunkTokens = 512
	unloadUs    = 30 * ms
)

// Model is what the stand-in knows of one model beyond its declaration.
type Model struct {
	SizeMb    int64
	LoadUs    int64
	WarmUs    int64
	Adapters  int
	AdapterMb int64
	AdapterUs int64
}

// Engine is how a model replica works; a replica without one gives short answers after some work.
type Engine struct {
	CacheTokens  int64
	Stride       int
	RoomMb       int64
	AdaptersMost int
	Models       map[string]Model
	StepUs       int64
	SlotUs       int64
	TokensPerMs  float64
}

// EngineOf reads the stand-in's engine out of a declared one.
func EngineOf(e *standing.Engine) *Engine {
	out := &Engine{
		CacheTokens: e.CacheTokens, Stride: max(e.Stride, 1), RoomMb: e.RoomMb, AdaptersMost: e.AdaptersMost, Models: map[string]Model{},
		StepUs: 9 * ms, SlotUs: 30, TokensPerMs: 20,
	}
	for _, m := range e.Models {
		out.Models[m.Name] = Model{
			SizeMb: m.SizeMb, LoadUs: m.LoadMs * ms, WarmUs: 150*ms + m.LoadMs*ms/3, Adapters: m.Adapters, AdapterMb: m.AdapterMb, AdapterUs: 12 * ms,
		}
	}
	return out
}

// Options hold for one life of a replica. Store and Disk may be shared with other replicas; without a Disk
// the life has an empty one of its own.
type Options struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Release string
	Slots   int
	Queue   int
	Engine  *Engine
	Store   *Store
	Disk    *Disk
	Holds   []string
	Fenced  bool
	WorkUs  int64
	Journal Journal
	// Fail, Turn and Break say of a request, by its life's own count, that it gets a 500, is turned away,
	// or is broken off in the middle.
	Fail  func(n int) bool
	Turn  func(n int) bool
	Break func(n int) bool
	// Ail says of a request, by its life's own count and its caller, how the replica fails it while it calls
	// itself well; Slow is how many times as long all work takes.
	Ail  func(n int, from string) Ailment
	Slow func() int64
	// Anyone takes requests for other lives as well, as no replica should.
	Anyone bool
}

// Ailment is one way in which a replica fails a request while its word of itself is good.
type Ailment int

// The ailments. Sound is none.
const (
	Sound  Ailment = iota
	Errs           // it runs and gets a 500
	Sheds          // it is turned away as if the replica were full
	Busies         // it is turned away with 429
	Hangs          // it is taken, never begun and never answered
	Resets         // its connection is reset before it began
	Mutes          // it runs, and nothing is sent
	Loses          // it runs, and the connection ends in place of the answer
)

// Part is one piece of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Ask is a request as it reaches a replica.
type Ask struct {
	ID         string
	From       string
	Method     string
	Host       string
	Path       string
	Body       string
	Model      string
	Adapter    string
	In         int64
	Parts      []Part
	DeadlineUs int64
	Priority   int
	Last       int
	Stream     bool
	Expect     string
}

// Order is an order as it reaches a replica.
type Order struct {
	From      string
	Operation string
	Model     string
	Adapter   string
	Holder    string
	Fence     uint64
	Expected  *uint64
	Expect    string
}

func (o Order) unit() string { return standing.Unit(o.Model, o.Adapter) }

// Effect is what one connection is sent next. Status stands with the head of an answer, or alone.
type Effect struct {
	Conn        uint64
	Head        bool
	Status      int
	NotExecuted bool
	Seal        string
	N           int
	Text        string
	Body        string
	End         bool
	Broken      bool
}

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

type past struct {
	atUs  int64
	units []string
	busy  bool
	seq   uint64
}

type underway struct {
	order     Order
	unit      string
	doneUs    int64
	fromStore bool
}

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

// NewCore begins a life that holds what its options say.
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

// ID names this life.
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
	model, adapter := standing.Units(unit)
	m := c.opts.Engine.Models[model]
	if adapter != "" {
		return m.AdapterMb
	}
	return m.SizeMb
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

// Order takes an order and answers with its status, 0 for no answer where its life has ended.
func (c *Core) Order(nowUs int64, o Order) int {
	if c.ended {
		return 0
	}
	c.advance(nowUs)
	seen := OrderSeen{Replica: c.opts.ID, From: o.From, Holder: o.Holder, Fence: o.Fence, Operation: o.Operation, Unit: o.unit(), AtUs: nowUs}
	seen.Status, seen.Over = c.ordered(nowUs, o)
	if c.opts.Journal.Ordered != nil {
		c.opts.Journal.Ordered(seen)
	}
	return seen.Status
}

func (c *Core) ordered(nowUs int64, o Order) (status int, over bool) {
	if o.Expect != "" && o.Expect != c.opts.ID {
		return http.StatusMisdirectedRequest, false
	}
	if c.opts.Engine == nil || o.Holder == "" || o.Fence == 0 || (o.Operation != "loading" && o.Operation != "unloading") {
		return http.StatusBadRequest, false
	}
	model, known := c.opts.Engine.Models[o.Model]
	if !known {
		return http.StatusBadRequest, false
	}
	if c.opts.Fenced && o.Fence < c.fence {
		return http.StatusPreconditionFailed, false
	}
	c.fence = max(c.fence, o.Fence)
	if c.order != nil || (o.Expected != nil && *o.Expected != c.orders) {
		return http.StatusConflict, false
	}
	unit := o.unit()
	if c.held[unit] == (o.Operation == "loading") {
		return http.StatusOK, false
	}
	u := &underway{order: o, unit: unit}
	if o.Operation == "loading" {
		if o.Adapter != "" && !c.held[o.Model] {
			return http.StatusBadRequest, false
		}
		adapters := 0
		for held := range c.held {
			if strings.Contains(held, "/") {
				adapters++
			}
		}
		if c.TakenMb()+c.unitMb(unit) > c.opts.Engine.RoomMb || (o.Adapter != "" && adapters >= c.opts.Engine.AdaptersMost) {
			c.Fallen = true
			return http.StatusAccepted, true
		}
		u.doneUs = nowUs + c.loadUs(u, model)
		if c.opts.Journal.Loading != nil {
			c.opts.Journal.Loading(LoadSeen{Replica: c.opts.ID, Service: c.opts.Service, Unit: unit, AtUs: nowUs, FromStore: u.fromStore})
		}
	}
	c.order = u
	c.orders++
	c.noted(nowUs)
	c.carryOrder(nowUs)
	return http.StatusAccepted, false
}

func (c *Core) loadUs(u *underway, m Model) int64 {
	switch {
	case u.order.Adapter != "":
		return m.AdapterUs
	case c.opts.Disk.Has(u.unit):
		return m.WarmUs
	}
	u.fromStore = true
	if c.opts.Store == nil {
		return m.LoadUs
	}
	return int64(float64(m.LoadUs) * c.opts.Store.begin())
}

// carryOrder ends a load whose time has come, and an unload once nothing runs on what is to go.
func (c *Core) carryOrder(nowUs int64) {
	u := c.order
	if u == nil {
		return
	}
	if u.order.Operation == "unloading" {
		c.waiting = slices.DeleteFunc(c.waiting, func(w *work) bool {
			if w.begun || !c.concerns(w) {
				return false
			}
			c.turn(nowUs, w, http.StatusServiceUnavailable)
			return true
		})
		for _, w := range slices.Clone(c.running) {
			if !w.begun && c.concerns(w) {
				c.remove(w)
				c.turn(nowUs, w, http.StatusServiceUnavailable)
			}
		}
		busy := slices.ContainsFunc(append(slices.Clone(c.running), c.waiting...), c.concerns)
		if busy {
			return
		}
		if u.doneUs == 0 {
			u.doneUs = nowUs + unloadUs
		}
	}
	if nowUs < u.doneUs {
		return
	}
	c.order = nil
	if u.fromStore && c.opts.Store != nil {
		c.opts.Store.end()
	}
	if u.order.Operation == "loading" {
		c.held[u.unit] = true
		if u.order.Adapter == "" {
			c.opts.Disk.Put(u.unit)
		}
	} else {
		maps.DeleteFunc(c.held, func(held string, _ bool) bool { return held == u.unit || strings.HasPrefix(held, u.unit+"/") })
		maps.DeleteFunc(c.kept, func(key string, _ int64) bool {
			return key == u.unit || strings.HasPrefix(key, u.unit+"|") || strings.HasPrefix(key, u.unit+"/")
		})
		maps.DeleteFunc(c.keptUs, func(key string, _ int64) bool { _, kept := c.kept[key]; return !kept })
	}
	c.noted(nowUs)
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
