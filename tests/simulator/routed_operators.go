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
	day          *routedDay
	random       *rand.Rand
	number       uint64
	newest       *configurationVersion
	busy         bool
	queue        []func(done func())
	fingerprints []string
	sent         []*configurationVersion
	shadow       []string
	// tenantChange is applied to the tenants of the next version.
	tenantChange func(all []configuration.Tenant)
	grown        []string
	// droppedService is left out of the versions that are made, "" for none.
	droppedService string
	// struckFaults are faults that take the power of who gets the next change, soon after it was sent; lost is one that
	// loses most acknowledgements until loseAnswersUntilUs.
	struckFaults       []Fault
	lostAnswerFault    Fault
	loseAnswersUntilUs int64
	// calls is what they sent, were answered and read.
	calls history.Recorder
}

func newRoutedOperators(d *routedDay) *routedOperators {
	return &routedOperators{machine: machine{sim: d.DeclaredDay, name: "operators", up: true, boot: 1}, day: d, random: rand.New(rand.NewSource(d.plan.Seed * 11))}
}

// historyAnswer is what a status says to an operator.
func historyAnswer(status int) history.Answer {
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
func (ops *routedOperators) send(v *configurationVersion, done func(status int)) {
	d := ops.day
	v.seen.SentUs = d.nowUs
	d.observed.Versions = append(d.observed.Versions, v.seen)
	order := v.order()
	endUs := d.nowUs + 14*second
	pauseUs := 50 * millisecond
	first := true
	var try func()
	try = func() {
		if d.nowUs > endUs {
			d.logf("version %d has no clear answer", v.seen.Number)
			done(0)
			return
		}
		over := false
		next := func() {
			if !over {
				over = true
				pauseUs = min(pauseUs*2, 800*millisecond)
				ops.after(pauseUs, try)
			}
		}
		call := ops.calls.Send(order, d.nowUs)
		o := ops.controlNodeFor(first)
		first = false
		if o == nil {
			next()
			return
		}
		ops.after(second+int64(len(v.routes))*5*millisecond, next)
		change := clone(v.change())
		ops.strike(o)
		if d.plan.Plant == "stranger" {
			order.ID += "+"
		}
		d.transmit(&ops.machine, &o.machine, second, func() {
			o.configure(order.ID, change, func() bool { return !over }, func(status int) {
				if status == http.StatusOK {
					d.springFaults("config", o)
				}
				if ops.losesAnswer(v, status) || ops.random.Intn(12) == 0 {
					return
				}
				d.transmit(&o.machine, &ops.machine, second, func() {
					ops.calls.Answered(call, historyAnswer(status), d.nowUs)
					switch status {
					case http.StatusOK:
						if v.seen.AckedUs == 0 {
							v.seen.AckedUs = d.nowUs
						}
						d.logf("version %d acknowledged by %s", v.seen.Number, o.name)
					case http.StatusServiceUnavailable:
						next()
						return
					default:
						v.seen.RefusedUs, v.seen.Status = d.nowUs, status
						d.observed.Refusals = append(d.observed.Refusals, rules.ControlRefusal{Machine: o.name, AtUs: d.nowUs, Version: v.seen, Status: status})
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

func (ops *routedOperators) do(act func(done func())) {
	ops.queue = append(ops.queue, act)
	ops.sendNext()
}

func (ops *routedOperators) sendNext() {
	if ops.busy || len(ops.queue) == 0 {
		return
	}
	act := ops.queue[0]
	ops.queue = ops.queue[1:]
	ops.busy = true
	act(func() {
		ops.busy = false
		ops.after(millisecond, ops.sendNext)
	})
}

// onAnswer is what an operator does with an answer that is not a plain yes: it reads what is in force.
func (ops *routedOperators) onAnswer(v *configurationVersion, status int, then func()) {
	done := func() {
		ops.day.tenants.follow(ops.newest)
		then()
	}
	if status == http.StatusOK {
		if ops.newest == nil || v.seen.Number > ops.newest.seen.Number {
			ops.newest = v
		}
		done()
		return
	}
	ops.readFrom(func(doc *configuration.Declaration, ok bool) {
		if ok && doc != nil {
			if known := ops.known(doc); known != nil && known.seen.Number >= ops.newest.seen.Number {
				ops.newest = known
			}
		}
		done()
	}, 20)
}

func (ops *routedOperators) recordFingerprint(v *configurationVersion) {
	ops.fingerprints = append(ops.fingerprints, markOf(v.seen.Number))
	if len(ops.fingerprints) > 40 {
		ops.fingerprints = ops.fingerprints[len(ops.fingerprints)-40:]
	}
}

// probed is a path that shows which version is in force: of late ones most, of refused ones, of none.
func (ops *routedOperators) probed(r *rand.Rand) string {
	switch n := r.Intn(10); {
	case n == 0 || len(ops.fingerprints) == 0:
		return "/never/"
	case n >= 8 && len(ops.grown) > 0:
		return ops.grown[r.Intn(len(ops.grown))]
	case n <= 2 && len(ops.shadow) > 0:
		return ops.shadow[max(0, len(ops.shadow)-1-r.Intn(4))]
	default:
		return ops.fingerprints[max(0, len(ops.fingerprints)-1-int(r.ExpFloat64()*2))]
	}
}

// readFrom reads what is in force from any machine that can say.
func (ops *routedOperators) readFrom(done func(*configuration.Declaration, bool), tries int) {
	if tries == 0 {
		done(nil, false)
		return
	}
	over := false
	again := func() {
		if !over {
			over = true
			ops.after(200*millisecond, func() { ops.readFrom(done, tries-1) })
		}
	}
	ops.after(second, again)
	o := ops.controlNodeFor(false)
	if o == nil {
		return
	}
	ops.readAt(o, func(doc *configuration.Declaration, ok bool) {
		if !over && ok {
			over = true
			done(doc, true)
		} else if !ok {
			again()
		}
	})
}

// readAt asks one machine for the newest configuration, and notes what it answers.
func (ops *routedOperators) readAt(o *routedControlNode, done func(*configuration.Declaration, bool)) {
	d := ops.day
	askedUs := d.nowUs
	call := ops.calls.Read(askedUs)
	fail := func() { done(nil, false) }
	d.transmit(&ops.machine, &o.machine, second, func() {
		o.read(func(doc *configuration.Declaration, ok bool) {
			d.transmit(&o.machine, &ops.machine, second, func() {
				if ok {
					read := rules.ControlRead{Machine: o.name, AskedUs: askedUs, AtUs: d.nowUs}
					content := ""
					if doc != nil {
						read.Number, content = doc.Version, canonical(doc.Version, doc.Routes, doc.Services)
					}
					ops.calls.Saw(call, read.Number, content, d.nowUs)
					d.observed.Reads = append(d.observed.Reads, read)
				}
				done(doc, ok)
			}, fail)
		})
	}, fail)
}

// read is the end of the day: the newest configuration, asked for as long as the platform does.
func (ops *routedOperators) read() {
	ops.day.observed.Read = &rules.FinalRead{}
	endUs := ops.day.nowUs + ops.day.observed.Bounds.ContactUs
	var next func()
	next = func() {
		ops.readFrom(func(doc *configuration.Declaration, ok bool) {
			if ok && doc != nil {
				ops.day.observed.Read = &rules.FinalRead{Received: true, Number: doc.Version, Sent: canonical(doc.Version, doc.Routes, doc.Services)}
			}
			if ops.day.nowUs < endUs {
				ops.after(300*millisecond, next)
			}
		}, 3)
	}
	next()
}

// loseAnswers begins a time in which most acknowledgements of changes are lost on their way.
func (ops *routedOperators) loseAnswers(f Fault) {
	ops.lostAnswerFault, ops.loseAnswersUntilUs = f, ops.day.nowUs+f.DurationUs+3*second
	ops.do(ops.change)
}

func (ops *routedOperators) losesAnswer(v *configurationVersion, status int) bool {
	if status != http.StatusOK || ops.day.nowUs >= ops.loseAnswersUntilUs || ops.random.Intn(10) >= 7 {
		return false
	}
	ops.day.countFault(ops.lostAnswerFault)
	if v.seen.FirstLostAckUs == 0 {
		v.seen.FirstLostAckUs = ops.day.nowUs
	}
	return true
}

// strike takes the power of a control node between 5 and 400 ms after a change was sent to it.
func (ops *routedOperators) strike(o *routedControlNode) {
	if len(ops.struckFaults) == 0 {
		return
	}
	f := ops.struckFaults[0]
	ops.struckFaults = ops.struckFaults[1:]
	d := ops.day
	d.schedule(d.nowUs+5*millisecond+ops.random.Int63n(395*millisecond), func() {
		if o.up && !o.removed {
			d.countFault(f)
			d.killControlNode(o, f.N%4, f.DurationUs)
		}
	})
}
