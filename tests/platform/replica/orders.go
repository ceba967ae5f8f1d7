package replica

import (
	"maps"
	"net/http"
	"slices"
	"strings"
)

type underway struct {
	order     Order
	unit      string
	doneUs    int64
	fromStore bool
}

// Order takes an order and answers with its status, 0 for no answer where its incarnation has ended.
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
