package sim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"

	"petreltide/internal/ledger"
	"petreltide/internal/standing"
	"petreltide/proofs/rules"
)

// routedOperators send numbered versions, each by its own account of what would then be in force.
type routedOperators struct {
	machine
	day    *routedDay
	r      *rand.Rand
	number uint64
	tip    *opVersion
	busy   bool
	queue  []func(done func())
	marks  []string
	sent   map[uint64]*opVersion
	shadow []string
	grown  []string
}

// opVersion is one change: a whole configuration, or an update of the one before.
type opVersion struct {
	routes   []standing.Route
	services []standing.Service
	edit     *standing.Edit
	seen     *rules.Version
	low      uint64
}

func newRoutedOperators(d *routedDay) *routedOperators {
	return &routedOperators{machine: machine{sim: d.Sim, name: "operators", up: true, boot: 1}, day: d, r: rand.New(rand.NewSource(d.plan.Seed * 11)), sent: map[uint64]*opVersion{}}
}

func routeOf(name, host, prefix string, repeat standing.Repeat, split ...standing.Weighted) standing.Route {
	return standing.Route{Name: name, Host: host, Prefix: prefix, Repeat: repeat, TimeoutMs: 4000, AimMs: 300, Priority: 2, Split: split, AttemptsMost: 2}
}

func to(service string) standing.Weighted { return standing.Weighted{Service: service, Weight: 1} }

// sourced gives each item the operator's own text of it.
func sourced(routes []standing.Route, services []standing.Service) ([]standing.Route, []standing.Service) {
	routes, services = slices.Clone(routes), slices.Clone(services)
	for i := range routes {
		routes[i].Source = nil
		routes[i].Source, _ = json.Marshal(routes[i])
	}
	for i := range services {
		services[i].Source = nil
		services[i].Source, _ = json.Marshal(services[i])
	}
	return routes, services
}

func (p *routedOperators) firstRoutes() []standing.Route {
	routes := []standing.Route{}
	for i, k := range classes {
		r := routeOf(k.route, "cards.example", "/"+k.route+"/", standing.Streaming, to("cards"))
		r.Resumable, r.Affinity, r.TimeoutMs, r.AimMs, r.GapMs, r.Priority, r.AttemptsMost = k.resumable, true, k.limitUs/1000, k.aimUs/1000, 400, i, 1
		if k.resumable {
			r.AttemptsMost = 3
		}
		if !k.stream {
			r.Affinity, r.GapMs, r.AttemptsMost, r.Split = false, 0, 2, []standing.Weighted{to("log")}
			r.Repeat = standing.NonIdempotent
			if k.repeat {
				r.Repeat, r.AttemptsMost = standing.Idempotent, 3
			}
		}
		routes = append(routes, r)
	}
	return routes
}

func (p *routedOperators) services() []standing.Service {
	return []standing.Service{
		{Name: "cards", ConnectionsMost: 500, Engine: p.day.engine}, {Name: "log", ConnectionsMost: 110}, {Name: "log-b", ConnectionsMost: 110},
	}
}

func canonical(number uint64, routes []standing.Route, services []standing.Service) string {
	lines := []string{}
	for _, r := range routes {
		lines = append(lines, r.Name+"="+string(r.Source))
	}
	for _, s := range services {
		lines = append(lines, s.Name+"="+string(s.Source))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%d\n%s", number, strings.Join(lines, "\n"))
}

// draw takes the next number; they rise in uneven steps.
func (p *routedOperators) draw() uint64 {
	p.number += 1 + uint64(p.r.Intn(3))
	return p.number
}

// version is a change as it is sent and as it should be seen; an invalid one must never be in force.
func (p *routedOperators) version(number uint64, base *opVersion, routes []standing.Route, edit *standing.Edit, valid bool) *opVersion {
	v := &opVersion{edit: edit}
	v.routes, v.services = sourced(routes, p.services())
	v.seen = &rules.Version{Number: number, Valid: valid, Sent: canonical(number, v.routes, v.services)}
	if base != nil {
		v.seen.Base = base.seen.Number
	}
	for _, r := range v.routes {
		seen := rules.RouteSeen{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Repeatable: r.Repeatable(), Resumable: r.Resumable}
		for _, w := range r.Split {
			if w.Weight > 0 {
				seen.Services = append(seen.Services, w.Service)
			}
		}
		v.seen.Routes = append(v.seen.Routes, seen)
	}
	if edit != nil {
		edit.Version = number
		edit.Routes, _ = sourced(edit.Routes, nil)
	}
	p.sent[number] = v
	return v
}

func (v *opVersion) change() ledger.ConfigChange {
	number := v.seen.Number
	if v.low > 0 {
		number = v.low
	}
	if v.edit != nil {
		return ledger.ConfigChange{Base: v.seen.Base, Version: number, Edit: v.edit}
	}
	return ledger.ConfigChange{Base: v.seen.Base, Version: number, Doc: &standing.Declaration{Version: number, Routes: v.routes, Services: v.services}}
}

// send carries a version to any machine that serves control until its answer is clear, or too long.
func (p *routedOperators) send(v *opVersion, done func(status int)) {
	d := p.day
	v.seen.SentUs = d.nowUs
	d.seen.Versions = append(d.seen.Versions, v.seen)
	mark := fmt.Sprintf("%d-%d", v.seen.Base, v.seen.Number)
	endUs := d.nowUs + 14*sec
	pauseUs := 50 * ms
	first := true
	var try func()
	try = func() {
		if d.nowUs > endUs {
			d.note("version %d has no clear answer", v.seen.Number)
			done(0)
			return
		}
		over := false
		next := func() {
			if !over {
				over = true
				pauseUs = min(pauseUs*2, 800*ms)
				p.later(pauseUs, try)
			}
		}
		o := p.officeFor(first)
		first = false
		if o == nil {
			next()
			return
		}
		p.later(sec+int64(len(v.routes))*5*ms, next)
		change := clone(v.change())
		d.carry(&p.machine, &o.machine, sec, func() {
			o.configure(mark, change, func() bool { return !over }, func(status int) {
				if status == http.StatusOK {
					d.spring("config", o)
				}
				if p.r.Intn(12) == 0 {
					return
				}
				d.carry(&o.machine, &p.machine, sec, func() {
					switch status {
					case http.StatusOK:
						if v.seen.AckedUs == 0 {
							v.seen.AckedUs = d.nowUs
						}
						d.note("version %d acknowledged by %s", v.seen.Number, o.name)
					case http.StatusServiceUnavailable:
						next()
						return
					default:
						v.seen.RefusedUs, v.seen.Status = d.nowUs, status
						d.seen.Refusals = append(d.seen.Refusals, rules.ControlRefusal{Machine: o.name, AtUs: d.nowUs, Version: v.seen, Status: status})
					}
					if !over {
						over = true
						done(status)
					}
				}, func() {})
			})
		}, next)
	}
	try()
}

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

func (p *routedOperators) do(act func(done func())) {
	p.queue = append(p.queue, act)
	p.pump()
}

func (p *routedOperators) pump() {
	if p.busy || len(p.queue) == 0 {
		return
	}
	act := p.queue[0]
	p.queue = p.queue[1:]
	p.busy = true
	act(func() {
		p.busy = false
		p.later(ms, p.pump)
	})
}

// settle is what an operator does with an answer that is not a plain yes: it reads what is in force.
func (p *routedOperators) settle(v *opVersion, status int, done func()) {
	if status == http.StatusOK {
		if p.tip == nil || v.seen.Number > p.tip.seen.Number {
			p.tip = v
		}
		done()
		return
	}
	p.ask(func(doc *standing.Declaration, ok bool) {
		if ok && doc != nil {
			if known := p.sent[doc.Version]; known != nil && known.seen.Number >= p.tip.seen.Number {
				p.tip = known
			}
		}
		done()
	}, 20)
}

func (p *routedOperators) mark(v *opVersion) {
	p.marks = append(p.marks, markOf(v.seen.Number))
	if len(p.marks) > 40 {
		p.marks = p.marks[len(p.marks)-40:]
	}
}

func markOf(number uint64) string { return fmt.Sprintf("/v%d/", number) }

// probed is a path that shows which version is in force: of late ones most, of refused ones, of none.
func (p *routedOperators) probed(r *rand.Rand) string {
	switch n := r.Intn(10); {
	case n == 0 || len(p.marks) == 0:
		return "/never/"
	case n >= 8 && len(p.grown) > 0:
		return p.grown[r.Intn(len(p.grown))]
	case n <= 2 && len(p.shadow) > 0:
		return p.shadow[max(0, len(p.shadow)-1-r.Intn(4))]
	default:
		return p.marks[max(0, len(p.marks)-1-int(r.ExpFloat64()*2))]
	}
}

// edited lays routes on those of a version: new ones at the end, without those that go.
func edited(routes []standing.Route, upsert []standing.Route, remove []string) []standing.Route {
	out := slices.Clone(routes)
	for _, r := range upsert {
		if at := slices.IndexFunc(out, func(o standing.Route) bool { return o.Name == r.Name }); at >= 0 {
			out[at] = r
		} else {
			out = append(out, r)
		}
	}
	return slices.DeleteFunc(out, func(r standing.Route) bool { return slices.Contains(remove, r.Name) })
}

// moved draws what a change touches: where a class of requests goes, and the mark of its version.
func (p *routedOperators) moved(base *opVersion, number uint64, extra int) (upsert []standing.Route, remove []string) {
	services := [][]standing.Weighted{{to("log")}, {to("log-b")}, {{Service: "log", Weight: 70}, {Service: "log-b", Weight: 30}}, {{Service: "log", Weight: 0}, to("log-b")}}
	for _, name := range []string{"grade", "record"} {
		if p.r.Intn(2) == 0 {
			at := slices.IndexFunc(base.routes, func(r standing.Route) bool { return r.Name == name })
			r := base.routes[at]
			r.Split = services[p.r.Intn(len(services))]
			upsert = append(upsert, r)
		}
	}
	marks := []string{}
	for _, r := range base.routes {
		if strings.HasPrefix(r.Name, "mark-") {
			marks = append(marks, r.Name)
		}
	}
	if len(marks) > 4 {
		remove = marks[:len(marks)-4]
	}
	for n := range extra {
		upsert = append(upsert, routeOf(fmt.Sprintf("big-%d-%d", number, n), opsHost, bigPrefix(number, n), standing.Idempotent, to("log")))
	}
	return upsert, remove
}

// next is a version on top of another that may be in force: as an update, or whole.
func (p *routedOperators) next(base *opVersion, extra int) *opVersion {
	number := p.draw()
	upsert, remove := p.moved(base, number, extra)
	upsert = append(upsert, markRoute(number))
	var edit *standing.Edit
	if p.r.Intn(3) > 0 {
		edit = &standing.Edit{Routes: upsert, RemoveRoutes: remove}
	}
	return p.version(number, base, edited(base.routes, upsert, remove), edit, true)
}

func markRoute(number uint64) standing.Route {
	return routeOf(fmt.Sprintf("mark-%d", number), opsHost, markOf(number), standing.Idempotent, to("log"))
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

func bigPrefix(number uint64, n int) string { return fmt.Sprintf("/big/%d/%d/", number, n) }

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

// bad sends a version that wants a refusal: spoiled in its last route, or not above the one in force.
func (p *routedOperators) bad(done func()) {
	base, number := p.tip, p.draw()
	spoiled := []standing.Route{markRoute(number)}
	var low uint64
	switch p.r.Intn(5) {
	case 0:
		spoiled[0].Split = []standing.Weighted{to("nowhere")}
	case 1:
		twin := spoiled[0]
		twin.Name += "-twin"
		spoiled = append(spoiled, twin)
	case 2:
		spoiled[0].Split = []standing.Weighted{{Service: "log", Weight: 0}}
	case 3:
		spoiled[0].TimeoutMs = 0
	case 4:
		low = base.seen.Number
	}
	var edit *standing.Edit
	if p.r.Intn(2) == 0 {
		edit = &standing.Edit{Routes: spoiled}
	}
	v := p.version(number, base, edited(base.routes, spoiled, nil), edit, false)
	v.low = low
	if edit != nil && low > 0 {
		edit.Version = low
	}
	p.shadow = append(p.shadow, markOf(number))
	p.send(v, func(status int) { p.settle(v, status, done) })
}

// ask reads what is in force from any machine that can say.
func (p *routedOperators) ask(done func(*standing.Declaration, bool), tries int) {
	if tries == 0 {
		done(nil, false)
		return
	}
	over := false
	again := func() {
		if !over {
			over = true
			p.later(200*ms, func() { p.ask(done, tries-1) })
		}
	}
	p.later(sec, again)
	o := p.officeFor(false)
	if o == nil {
		return
	}
	p.readAt(o, func(doc *standing.Declaration, ok bool) {
		if !over && ok {
			over = true
			done(doc, true)
		} else if !ok {
			again()
		}
	})
}

// readAt asks one machine for the newest configuration, and notes what it answers.
func (p *routedOperators) readAt(o *routedOffice, done func(*standing.Declaration, bool)) {
	d := p.day
	askedUs := d.nowUs
	fail := func() { done(nil, false) }
	d.carry(&p.machine, &o.machine, sec, func() {
		o.read(func(doc *standing.Declaration, ok bool) {
			d.carry(&o.machine, &p.machine, sec, func() {
				if ok {
					read := rules.ControlRead{Machine: o.name, AskedUs: askedUs, AtUs: d.nowUs}
					if doc != nil {
						read.Number = doc.Version
					}
					d.seen.Reads = append(d.seen.Reads, read)
				}
				done(doc, ok)
			}, fail)
		})
	}, fail)
}

// read is the end of the day: the newest configuration, asked for as long as the platform does.
func (p *routedOperators) read() {
	p.day.seen.Read = &rules.Read{}
	endUs := p.day.nowUs + p.day.seen.Bounds.ContactUs
	var next func()
	next = func() {
		p.ask(func(doc *standing.Declaration, ok bool) {
			if ok && doc != nil {
				p.day.seen.Read = &rules.Read{Came: true, Number: doc.Version, Sent: canonical(doc.Version, doc.Routes, doc.Services)}
			}
			if p.day.nowUs < endUs {
				p.later(300*ms, next)
			}
		}, 3)
	}
	next()
}
