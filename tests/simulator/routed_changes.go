package simulator

import (
	"fmt"
	"net/http"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

func (ops *routedOperators) first() {
	ops.busy = true
	number := ops.draw()
	routes := append(ops.firstRoutes(), fingerprintRoute(number))
	v := ops.version(number, nil, routes, nil, true)
	ops.recordFingerprint(v)
	ops.after(2*second, func() { ops.until(v) })
}

// until sends the first version until it is taken.
func (ops *routedOperators) until(v *configurationVersion) {
	ops.send(v, func(status int) {
		if status == http.StatusOK {
			ops.newest = v
			ops.busy = false
			ops.sendNext()
			return
		}
		ops.until(v)
	})
}

// play changes the configuration now and then, beside what the faults do with it.
func (ops *routedOperators) play(fromUs, toUs int64) {
	for us := fromUs + second; us < toUs; us += 5*second + ops.random.Int63n(4*second) {
		ops.day.schedule(us, func() { ops.do(ops.change) })
	}
}

func (v *configurationVersion) change() statemachine.ConfigChange {
	number := v.seen.Number
	if v.low > 0 {
		number = v.low
	}
	if v.edit != nil {
		return statemachine.ConfigChange{Base: v.seen.Base, Version: number, Edit: v.edit}
	}
	return statemachine.ConfigChange{Base: v.seen.Base, Version: number, Doc: &configuration.Declaration{Version: number, Routes: v.routes, Services: v.services, Tenants: v.tenants, RequireKeys: len(v.tenants) > 0}}
}

func (ops *routedOperators) change(done func()) {
	v := ops.next(ops.newest, 0)
	ops.recordFingerprint(v)
	ops.send(v, func(status int) { ops.onAnswer(v, status, done) })
}

func (ops *routedOperators) grow(extra int) func(done func()) {
	return func(done func()) {
		v := ops.next(ops.newest, extra)
		ops.recordFingerprint(v)
		ops.send(v, func(status int) {
			ops.onAnswer(v, status, func() {
				if v.seen.AckedUs > 0 {
					for n := range extra {
						ops.grown = append(ops.grown, bigPrefix(v.seen.Number, n))
					}
				}
				done()
			})
		})
	}
}

// race sends two versions on one base at once; at most one may win.
func (ops *routedOperators) race(done func()) {
	base := ops.newest
	a := ops.next(base, 0)
	b := ops.next(base, 0)
	ops.recordFingerprint(a)
	ops.recordFingerprint(b)
	left := 2
	for _, v := range []*configurationVersion{a, b} {
		ops.send(v, func(status int) {
			ops.onAnswer(v, status, func() {
				if v.seen.AckedUs == 0 {
					ops.shadow = append(ops.shadow, markOf(v.seen.Number))
				}
				if left--; left == 0 {
					done()
				}
			})
		})
	}
}

const (
	// maxUnderWay is how many orders operators have under way at once.
	maxUnderWay = 8
	// maxAgain is how far back they go for an order to send once more.
	maxAgain = 12
)

// rivals sends up to eight versions at once, under one number and on one base, that all differ; one may win.
func (ops *routedOperators) rivals(done func()) {
	base, number := ops.newest, ops.draw()
	left := 2 + ops.random.Intn(maxUnderWay-1)
	ops.day.caused["rivals"] += left
	versions := []*configurationVersion{}
	for n := range left {
		shown := routeOf(fmt.Sprintf("mark-%d-%d", number, n), opsHost, rivalMark(number, n), configuration.Idempotent, to("log"))
		versions = append(versions, ops.nextAs(base, number, 0, shown))
	}
	for n, v := range versions {
		ops.fingerprints = append(ops.fingerprints, rivalMark(number, n))
		ops.send(v, func(status int) {
			ops.onAnswer(v, status, func() {
				if left--; left == 0 {
					done()
				}
			})
		})
	}
}

func rivalMark(number uint64, n int) string { return fmt.Sprintf("/v%d-%d/", number, n) }

// again sends one of the orders that had a clear answer once more, as it was, to any machine; that answer must stand.
func (ops *routedOperators) again(done func()) {
	clear := slices.DeleteFunc(slices.Clone(ops.sent[max(0, len(ops.sent)-maxAgain):]), func(v *configurationVersion) bool { return v.seen.AckedUs+v.seen.RefusedUs == 0 })
	if len(clear) == 0 {
		done()
		return
	}
	v := clear[ops.random.Intn(len(clear))]
	d := ops.day
	call := ops.calls.Send(v.order(), d.nowUs)
	over := false
	end := func() {
		if !over {
			over = true
			done()
		}
	}
	ops.after(second, end)
	o := ops.controlNodeFor(false)
	if o == nil {
		return
	}
	change := clone(v.change())
	d.transmit(&ops.machine, &o.machine, second, func() {
		o.configure(call.Order.ID, change, func() bool { return !over }, func(status int) {
			d.transmit(&o.machine, &ops.machine, second, func() {
				ops.calls.Answered(call, historyAnswer(status), d.nowUs)
				d.caused["again "+string(historyAnswer(status))]++
				end()
			}, func() {})
		})
	}, func() {})
}

// bad sends a version that wants a refusal: spoiled in its last route, or not above the one in force.
func (ops *routedOperators) bad(done func()) {
	base, number := ops.newest, ops.draw()
	spoiled := []configuration.Route{fingerprintRoute(number)}
	var low uint64
	switch ops.random.Intn(5) {
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
	if ops.random.Intn(2) == 0 {
		edit = &configuration.Edit{Routes: spoiled}
	}
	v := ops.version(number, base, edited(base.routes, spoiled, nil), edit, false)
	v.low = low
	if edit != nil && low > 0 {
		edit.Version = low
	}
	ops.shadow = append(ops.shadow, markOf(number))
	ops.send(v, func(status int) { ops.onAnswer(v, status, done) })
}
