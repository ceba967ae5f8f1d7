package simulator

import (
	"math/rand"
	"net/http"

	"petreltide/internal/api/configuration"
	"petreltide/tests/history"
	"petreltide/tests/rules"
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
	sent   []*opVersion
	shadow []string
	grown  []string
	// struck are faults that take the power of who gets the next change, soon after it was sent; lost is one that
	// loses most acknowledgements until loseUs.
	struck []Fault
	lost   Fault
	loseUs int64
	// calls is what they sent, were answered and read.
	calls history.Recorder
}

func newRoutedOperators(d *routedDay) *routedOperators {
	return &routedOperators{machine: machine{sim: d.Sim, name: "operators", up: true, boot: 1}, day: d, r: rand.New(rand.NewSource(d.plan.Seed * 11))}
}

// answerOf is what a status says to an operator.
func answerOf(status int) history.Answer {
	switch status {
	case http.StatusOK:
		return history.Acknowledged
	case http.StatusPreconditionFailed:
		return history.Refused
	case http.StatusBadRequest:
		return history.Invalid
	}
	return history.Unclear
}

// send carries a version to any machine that serves control until its answer is clear, or too long.
func (p *routedOperators) send(v *opVersion, done func(status int)) {
	d := p.day
	v.seen.SentUs = d.nowUs
	d.seen.Versions = append(d.seen.Versions, v.seen)
	order := v.order()
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
		call := p.calls.Send(order, d.nowUs)
		o := p.controlNodeFor(first)
		first = false
		if o == nil {
			next()
			return
		}
		p.later(sec+int64(len(v.routes))*5*ms, next)
		change := clone(v.change())
		p.strike(o)
		if d.plan.Plant == "stranger" {
			order.ID += "+"
		}
		d.carry(&p.machine, &o.machine, sec, func() {
			o.configure(order.ID, change, func() bool { return !over }, func(status int) {
				if status == http.StatusOK {
					d.spring("config", o)
				}
				if p.losesAck(v, status) || p.r.Intn(12) == 0 {
					return
				}
				d.carry(&o.machine, &p.machine, sec, func() {
					p.calls.Answered(call, answerOf(status), d.nowUs)
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
	p.ask(func(doc *configuration.Declaration, ok bool) {
		if ok && doc != nil {
			if known := p.known(doc); known != nil && known.seen.Number >= p.tip.seen.Number {
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

// ask reads what is in force from any machine that can say.
func (p *routedOperators) ask(done func(*configuration.Declaration, bool), tries int) {
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
	o := p.controlNodeFor(false)
	if o == nil {
		return
	}
	p.readAt(o, func(doc *configuration.Declaration, ok bool) {
		if !over && ok {
			over = true
			done(doc, true)
		} else if !ok {
			again()
		}
	})
}

// readAt asks one machine for the newest configuration, and notes what it answers.
func (p *routedOperators) readAt(o *routedControlNode, done func(*configuration.Declaration, bool)) {
	d := p.day
	askedUs := d.nowUs
	call := p.calls.Read(askedUs)
	fail := func() { done(nil, false) }
	d.carry(&p.machine, &o.machine, sec, func() {
		o.read(func(doc *configuration.Declaration, ok bool) {
			d.carry(&o.machine, &p.machine, sec, func() {
				if ok {
					read := rules.ControlRead{Machine: o.name, AskedUs: askedUs, AtUs: d.nowUs}
					content := ""
					if doc != nil {
						read.Number, content = doc.Version, canonical(doc.Version, doc.Routes, doc.Services)
					}
					p.calls.Saw(call, read.Number, content, d.nowUs)
					d.seen.Reads = append(d.seen.Reads, read)
				}
				done(doc, ok)
			}, fail)
		})
	}, fail)
}

// read is the end of the day: the newest configuration, asked for as long as the platform does.
func (p *routedOperators) read() {
	p.day.seen.Read = &rules.FinalRead{}
	endUs := p.day.nowUs + p.day.seen.Bounds.ContactUs
	var next func()
	next = func() {
		p.ask(func(doc *configuration.Declaration, ok bool) {
			if ok && doc != nil {
				p.day.seen.Read = &rules.FinalRead{Received: true, Number: doc.Version, Sent: canonical(doc.Version, doc.Routes, doc.Services)}
			}
			if p.day.nowUs < endUs {
				p.later(300*ms, next)
			}
		}, 3)
	}
	next()
}

// loses begins a time in which most acknowledgements of changes are lost on their way.
func (p *routedOperators) loses(f Fault) {
	p.lost, p.loseUs = f, p.day.nowUs+f.ForUs+3*sec
	p.do(p.change)
}

func (p *routedOperators) losesAck(v *opVersion, status int) bool {
	if status != http.StatusOK || p.day.nowUs >= p.loseUs || p.r.Intn(10) >= 7 {
		return false
	}
	p.day.count(p.lost)
	if v.seen.FirstLostAckUs == 0 {
		v.seen.FirstLostAckUs = p.day.nowUs
	}
	return true
}

// strike takes the power of a control node between 5 and 400 ms after a change was sent to it.
func (p *routedOperators) strike(o *routedControlNode) {
	if len(p.struck) == 0 {
		return
	}
	f := p.struck[0]
	p.struck = p.struck[1:]
	d := p.day
	d.at(d.nowUs+5*ms+p.r.Int63n(395*ms), func() {
		if o.up && !o.removed {
			d.count(f)
			d.killControlNode(o, f.N%4, f.ForUs)
		}
	})
}
