package simulator

import (
	"fmt"
	"net/http"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

func (p *routedOperators) first() {
	p.busy = true
	number := p.draw()
	routes := append(p.firstRoutes(), markRoute(number))
	v := p.version(number, nil, routes, nil, true)
	p.mark(v)
	p.later(2*sec, func() { p.until(v) })
}

// until sends the first version until it is taken.
func (p *routedOperators) until(v *opVersion) {
	p.send(v, func(status int) {
		if status == http.StatusOK {
			p.tip = v
			p.busy = false
			p.pump()
			return
		}
		p.until(v)
	})
}

// play changes the configuration now and then, beside what the faults do with it.
func (p *routedOperators) play(fromUs, toUs int64) {
	for us := fromUs + sec; us < toUs; us += 5*sec + p.r.Int63n(4*sec) {
		p.day.at(us, func() { p.do(p.change) })
	}
}

func (v *opVersion) change() statemachine.ConfigChange {
	number := v.seen.Number
	if v.low > 0 {
		number = v.low
	}
	if v.edit != nil {
		return statemachine.ConfigChange{Base: v.seen.Base, Version: number, Edit: v.edit}
	}
	return statemachine.ConfigChange{Base: v.seen.Base, Version: number, Doc: &configuration.Declaration{Version: number, Routes: v.routes, Services: v.services}}
}

func (p *routedOperators) change(done func()) {
	v := p.next(p.tip, 0)
	p.mark(v)
	p.send(v, func(status int) { p.settle(v, status, done) })
}

func (p *routedOperators) grow(extra int) func(done func()) {
	return func(done func()) {
		v := p.next(p.tip, extra)
		p.mark(v)
		p.send(v, func(status int) {
			p.settle(v, status, func() {
				if v.seen.AckedUs > 0 {
					for n := range extra {
						p.grown = append(p.grown, bigPrefix(v.seen.Number, n))
					}
				}
				done()
			})
		})
	}
}

// race sends two versions on one base at once; at most one may win.
func (p *routedOperators) race(done func()) {
	base := p.tip
	a := p.next(base, 0)
	b := p.next(base, 0)
	p.mark(a)
	p.mark(b)
	left := 2
	for _, v := range []*opVersion{a, b} {
		p.send(v, func(status int) {
			p.settle(v, status, func() {
				if v.seen.AckedUs == 0 {
					p.shadow = append(p.shadow, markOf(v.seen.Number))
				}
				if left--; left == 0 {
					done()
				}
			})
		})
	}
}

const (
	// underWayMost is how many orders operators have under way at once.
	underWayMost = 8
	// againMost is how far back they go for an order to send once more.
	againMost = 12
)

// rivals sends up to eight versions at once, under one number and on one base, that all differ; one may win.
func (p *routedOperators) rivals(done func()) {
	base, number := p.tip, p.draw()
	left := 2 + p.r.Intn(underWayMost-1)
	p.day.caused["rivals"] += left
	versions := []*opVersion{}
	for n := range left {
		shown := routeOf(fmt.Sprintf("mark-%d-%d", number, n), opsHost, rivalMark(number, n), configuration.Idempotent, to("log"))
		versions = append(versions, p.nextAs(base, number, 0, shown))
	}
	for n, v := range versions {
		p.marks = append(p.marks, rivalMark(number, n))
		p.send(v, func(status int) {
			p.settle(v, status, func() {
				if left--; left == 0 {
					done()
				}
			})
		})
	}
}

func rivalMark(number uint64, n int) string { return fmt.Sprintf("/v%d-%d/", number, n) }

// again sends one of the orders that had a clear answer once more, as it was, to any machine; that answer must stand.
func (p *routedOperators) again(done func()) {
	clear := slices.DeleteFunc(slices.Clone(p.sent[max(0, len(p.sent)-againMost):]), func(v *opVersion) bool { return v.seen.AckedUs+v.seen.RefusedUs == 0 })
	if len(clear) == 0 {
		done()
		return
	}
	v := clear[p.r.Intn(len(clear))]
	d := p.day
	call := p.calls.Send(v.order(), d.nowUs)
	over := false
	end := func() {
		if !over {
			over = true
			done()
		}
	}
	p.later(sec, end)
	o := p.controlNodeFor(false)
	if o == nil {
		return
	}
	change := clone(v.change())
	d.carry(&p.machine, &o.machine, sec, func() {
		o.configure(call.Order.ID, change, func() bool { return !over }, func(status int) {
			d.carry(&o.machine, &p.machine, sec, func() {
				p.calls.Answered(call, answerOf(status), d.nowUs)
				d.caused["again "+string(answerOf(status))]++
				end()
			}, func() {})
		})
	}, func() {})
}

// bad sends a version that wants a refusal: spoiled in its last route, or not above the one in force.
func (p *routedOperators) bad(done func()) {
	base, number := p.tip, p.draw()
	spoiled := []configuration.Route{markRoute(number)}
	var low uint64
	switch p.r.Intn(5) {
	case 0:
		spoiled[0].Split = []configuration.WeightedService{to("nowhere")}
	case 1:
		twin := spoiled[0]
		twin.Name += "-twin"
		spoiled = append(spoiled, twin)
	case 2:
		spoiled[0].Split = []configuration.WeightedService{{Service: "log", Weight: 0}}
	case 3:
		spoiled[0].TimeoutMs = 0
	case 4:
		low = base.seen.Number
	}
	var edit *configuration.Edit
	if p.r.Intn(2) == 0 {
		edit = &configuration.Edit{Routes: spoiled}
	}
	v := p.version(number, base, edited(base.routes, spoiled, nil), edit, false)
	v.low = low
	if edit != nil && low > 0 {
		edit.Version = low
	}
	p.shadow = append(p.shadow, markOf(number))
	p.send(v, func(status int) { p.settle(v, status, done) })
}
