package modelserver

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// Run is what a replica really did for one attempt; the rules are checked against it.
type Run struct {
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	Zone        string `json:"zone"`
	Attempt     string `json:"leg"`
	Tag         string `json:"tag"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter"`
	Nonce       string `json:"nonce"`
	StartUs     int64  `json:"startUs"`
	First       int    `json:"first"`
	Total       int    `json:"total"`
	Sent        int    `json:"sent"`
	Ended       bool   `json:"ended"`
	Warm        int    `json:"warm"`
}

// Line is one entry of a replica's own journal, kept outside it so that its death loses nothing.
type Line struct {
	Run   *Run       `json:"run,omitempty"`
	End   *Run       `json:"end,omitempty"`
	Order *OrderSeen `json:"order,omitempty"`
}

// OrderSeen is one order as the replica saw it; Why says why it was not taken, and Over that it asked for more than the
// room there is.
type OrderSeen struct {
	Replica     string              `json:"replica"`
	Incarnation string              `json:"inc"`
	Number      uint64              `json:"number"`
	Epoch       uint64              `json:"epoch"`
	Under       uint64              `json:"under"`
	Step        statemachine.Action `json:"step"`
	Unit        string              `json:"unit"`
	AtUs        int64               `json:"atUs"`
	Taken       bool                `json:"taken"`
	Why         string              `json:"why,omitempty"`
	Over        bool                `json:"over,omitempty"`
}

// Options are one incarnation of a replica. With Fetch a load also waits for Fetched; Journal may be nil.
type Options struct {
	ID          string
	Incarnation string
	Zone        string
	RoomMb      int64
	Slots       int
	FirstUs     int64
	PartUs      int64
	PieceUs     int64
	LoadUs      func(sizeMb int64) int64
	Fetch       bool
	Journal     func(Line)
}

// Core is a replica without its sockets: it holds models, takes one order at a time and runs attempts.
type Core struct {
	opts         Options
	holds        map[string]int64
	last         *wire.OrderState
	order        *statemachine.ReplicaCommand
	doneUs       int64
	fetched      bool
	attempts     map[string]*Run
	seenAttempts map[string]bool
	prefixes     map[string]bool
	nonces       int
	Runs         []*Run
	Orders       []OrderSeen
}

// NewCore is a replica that holds nothing.
func NewCore(opts Options) *Core {
	return &Core{opts: opts, holds: map[string]int64{}, attempts: map[string]*Run{}, seenAttempts: map[string]bool{}, prefixes: map[string]bool{}}
}

// State is what the replica says when it is asked.
func (c *Core) State() wire.ReplicaState {
	st := wire.ReplicaState{ID: c.opts.ID, Incarnation: c.opts.Incarnation, Active: len(c.attempts), Loaded: []statemachine.ResidentUnit{}}
	units := make([]string, 0, len(c.holds))
	for u := range c.holds {
		units = append(units, u)
	}
	sort.Strings(units)
	for _, u := range units {
		st.Loaded = append(st.Loaded, statemachine.ResidentUnit{Unit: u, SizeMB: c.holds[u]})
	}
	if c.last != nil {
		last := *c.last
		st.LastOrder = &last
	}
	return st
}

// TakenMb is the room of all that it holds.
func (c *Core) TakenMb() int64 {
	var sumMb int64
	for _, mb := range c.holds {
		sumMb += mb
	}
	return sumMb
}

// Take judges an order. fetch is true when the weights must come from the store.
func (c *Core) Take(nowUs int64, o wire.Order) (st wire.OrderState, fetch bool) {
	t := o.Command
	seen := OrderSeen{Replica: c.opts.ID, Incarnation: c.opts.Incarnation, Number: t.Number, Epoch: t.Epoch, Under: o.Epoch, Step: t.Action, Unit: t.Unit, AtUs: nowUs}
	defer func() {
		c.Orders = append(c.Orders, seen)
		c.journal(Line{Order: &seen})
	}()
	refuse := func(why string) wire.OrderState {
		seen.Why = why
		return wire.OrderState{Number: t.Number, Epoch: t.Epoch, State: wire.OrderFailed, Reason: why}
	}
	switch {
	case t.Incarnation != c.opts.Incarnation:
		return refuse("another incarnation"), false
	case c.last != nil && t.Number == c.last.Number:
		seen.Why = "again"
		return *c.last, false
	case c.last != nil && t.Number < c.last.Number:
		return refuse("older than the last order"), false
	case c.order != nil:
		return refuse("an order is running"), false
	}
	seen.Taken = true
	c.last = &wire.OrderState{Number: t.Number, Epoch: t.Epoch, State: wire.OrderRunning}
	switch t.Action {
	case statemachine.Load:
		if c.TakenMb()+t.SizeMB > c.opts.RoomMb {
			seen.Over = true
			c.last.State, c.last.Reason = wire.OrderFailed, "no room"
			return *c.last, false
		}
		held := t
		c.order, c.doneUs, c.fetched = &held, nowUs+c.opts.LoadUs(t.SizeMB), !c.opts.Fetch
		return *c.last, true
	case statemachine.Unload:
		held := t
		c.order, c.doneUs, c.fetched = &held, nowUs, true
	}
	c.Tick(nowUs)
	return *c.last, false
}

// Tick ends the order under way where its time has come.
func (c *Core) Tick(nowUs int64) {
	if c.order == nil || nowUs < c.doneUs || !c.fetched {
		return
	}
	if c.order.Action == statemachine.Unload {
		for _, r := range c.attempts {
			if r.Model == c.order.Unit || r.Adapter == c.order.Unit {
				return
			}
		}
		delete(c.holds, c.order.Unit)
	} else {
		c.holds[c.order.Unit] = c.order.SizeMB
	}
	c.last.State = wire.OrderDone
	c.order = nil
}

// FailOrder ends the order under way without effect.
func (c *Core) FailOrder(why string) {
	if c.order != nil {
		c.last.State, c.last.Reason = wire.OrderFailed, why
		c.order = nil
	}
}

// Fetched says that the weights for an order have come.
func (c *Core) Fetched(nowUs int64, number uint64) {
	if c.order != nil && c.order.Number == number {
		c.fetched = true
		c.Tick(nowUs)
	}
}

// LoadUs is how long a load of some size takes.
func (c *Core) LoadUs(sizeMb int64) int64 { return c.opts.LoadUs(sizeMb) }

// TagOf is the first word of a prompt, by which the tests know a call again.
func TagOf(prompt string) string {
	tag, _, _ := strings.Cut(prompt, " ")
	return tag
}

// Total is how many pieces an answer to this prompt has, whoever gives it.
func Total(prompt string, mostOut int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	total := 4 + int(h.Sum32()%12)
	if mostOut > 0 {
		total = min(total*4, mostOut)
	}
	return total
}

// Text is a piece that can only belong to this prompt, model, adapter and place in the answer.
func Text(prompt, model, adapter string, n int, nonce string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt + "\x00" + model + "\x00" + adapter + "\x00" + fmt.Sprint(n)))
	return fmt.Sprintf("%016x~%s", h.Sum64(), nonce)
}

// StartAttempt begins a run and returns it with the time to its first piece, or says why not.
func (c *Core) StartAttempt(nowUs int64, l wire.Attempt) (*Run, *wire.AttemptRefusal, int64) {
	refuse := func(code string) (*Run, *wire.AttemptRefusal, int64) {
		return nil, &wire.AttemptRefusal{Code: code, Started: false}, 0
	}
	_, model := c.holds[l.Model]
	_, adapter := c.holds[l.Adapter]
	unloading := c.order != nil && c.order.Action == statemachine.Unload && (c.order.Unit == l.Model || c.order.Unit == l.Adapter)
	switch {
	case l.Incarnation != c.opts.Incarnation:
		return refuse("another_incarnation")
	case c.seenAttempts[l.ID]:
		return refuse("leg_seen")
	case !model || unloading || (l.Adapter != "" && !adapter):
		return refuse("not_held")
	case len(c.attempts) >= c.opts.Slots:
		return refuse("busy")
	}
	c.seenAttempts[l.ID] = true
	c.nonces++
	r := &Run{
		Replica: c.opts.ID, Incarnation: c.opts.Incarnation, Zone: c.opts.Zone, Attempt: l.ID, Tag: TagOf(l.Prompt), Model: l.Model, Adapter: l.Adapter,
		Nonce: fmt.Sprintf("%s.%s.%d", c.opts.ID, c.opts.Incarnation, c.nonces), StartUs: nowUs, First: l.NextChunk, Total: Total(l.Prompt, l.MaxOutput),
	}
	cold := 0
	key := l.Model + "|" + l.Adapter
	for _, part := range l.Prefix {
		key += "|" + part
		if c.prefixes[key] {
			r.Warm++
			continue
		}
		cold++
		if len(c.prefixes) < 20000 {
			c.prefixes[key] = true
		}
	}
	c.attempts[l.ID] = r
	c.Runs = append(c.Runs, r)
	c.journal(Line{Run: r})
	return r, nil, c.opts.FirstUs + int64(cold+len(l.Received)/16)*c.opts.PartUs
}

// EndAttempt ends a run; whole says that all of the answer was sent.
func (c *Core) EndAttempt(nowUs int64, r *Run, whole bool) {
	r.Ended = whole
	delete(c.attempts, r.Attempt)
	c.journal(Line{End: r})
	c.Tick(nowUs)
}

func (c *Core) journal(l Line) {
	if c.opts.Journal != nil {
		c.opts.Journal(l)
	}
}

// Attempts are the runs going on now.
func (c *Core) Attempts() []Run {
	runs := []Run{}
	for _, attempt := range slices.Sorted(maps.Keys(c.attempts)) {
		runs = append(runs, *c.attempts[attempt])
	}
	return runs
}

// Running says whether an attempt runs now.
func (c *Core) Running(attempt string) bool { return c.attempts[attempt] != nil }

// PieceUs is the time between two pieces.
func (c *Core) PieceUs() int64 { return c.opts.PieceUs }

// ID names the replica and this incarnation of it.
func (c *Core) ID() (string, string) { return c.opts.ID, c.opts.Incarnation }
