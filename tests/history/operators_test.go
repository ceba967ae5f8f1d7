package history

import (
	"fmt"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const operatedRoute = "r"

// declaration holds one route, whose host tells which order it is from.
func declaration(version uint64, id string, spoiled bool) *configuration.Declaration {
	timeoutMs := int64(1000)
	if spoiled {
		timeoutMs = 0
	}
	return &configuration.Declaration{Version: version, Services: []configuration.Service{{Name: "s"}}, Routes: []configuration.Route{{
		Name: operatedRoute, Host: id, Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: timeoutMs, MaxAttempts: 1,
		Split: []configuration.WeightedService{{Service: "s", Weight: 1}},
	}}}
}

func contentOf(doc *configuration.Declaration) (uint64, string) {
	if doc == nil {
		return 0, ""
	}
	return doc.Version, fmt.Sprint(doc.Version, " ", doc.Routes[0].Host)
}

// newOrder draws an order: most build on what was acknowledged last, some on what is under way, has passed or never was.
func (w *walk) newOrder() *sentOrder {
	base := w.tip
	if len(w.orders) > 0 {
		switch n := w.r.Intn(10); {
		case n < 3:
			base = w.orders[max(0, len(w.orders)-1-w.r.Intn(4))].order.Version
		case n == 3:
			base = w.tip + 1 + uint64(w.r.Intn(3))
		}
	}
	version := base + 1 + uint64(w.r.Intn(2))
	o := &Order{ID: fmt.Sprint("n", len(w.orders)), Base: base, Version: version, Spoiled: base > 0 && w.r.Intn(10) == 0}
	doc := declaration(version, o.ID, o.Spoiled)
	_, o.Content = contentOf(doc)
	sent := &sentOrder{order: o, answer: Unclear, change: statemachine.ConfigChange{Base: base, Version: version, Doc: doc}}
	if base > 0 && w.r.Intn(2) == 0 {
		sent.change.Doc, sent.change.Edit = nil, &configuration.Edit{Version: version, Routes: doc.Routes}
	}
	w.orders = append(w.orders, sent)
	return sent
}

// send carries an order to one machine after the other until its answer is clear or the operator gives up.
func (w *walk) send(sent *sentOrder, tries int) {
	w.underWay++
	var try func(left int)
	try = func(left int) {
		if left == 0 {
			w.underWay--
			return
		}
		call := w.rec.Send(sent.order, w.nowUs)
		over := false
		end := func(next func()) {
			if !over {
				over = true
				next()
			}
		}
		w.after(callWaitUs, func() { end(func() { w.after(w.r.Int63n(200*clock.Ms), func() { try(left - 1) }) }) })
		o := w.controlNodes[w.r.Intn(controlNodes)]
		w.after(clock.Ms+w.r.Int63n(5*clock.Ms), func() {
			o.later(0, func() {
				o.configure(sent, func() bool { return !over }, func(answer Answer) {
					if answer == Unclear || w.r.Intn(5) == 0 {
						w.counts["answers lost"]++
						return
					}
					w.after(clock.Ms+w.r.Int63n(5*clock.Ms), func() {
						end(func() {
							w.underWay--
							w.answered(call, sent, answer)
						})
					})
				})
			})
		})
	}
	try(tries)
}

func (w *walk) answered(call *Call, sent *sentOrder, answer Answer) {
	w.rec.Answered(call, answer, w.nowUs)
	w.counts[string(answer)]++
	if sent.answer != Unclear {
		w.counts["again "+string(answer)]++
	}
	if answer == Refused && sent.order.Base > w.tip {
		w.counts["ahead of its base"]++
	}
	sent.answer = answer
	if answer == Acknowledged {
		w.tip = max(w.tip, sent.order.Version)
	}
}

func (w *walk) read() {
	call := w.rec.Read(w.nowUs)
	o := w.controlNodes[w.r.Intn(controlNodes)]
	o.later(clock.Ms, func() {
		o.read(func(doc *configuration.Declaration) {
			w.after(clock.Ms, func() {
				version, content := contentOf(doc)
				w.rec.Saw(call, version, content, w.nowUs)
				w.tip = max(w.tip, version)
				w.counts["reads"]++
			})
		})
	})
}

// operate lets operators act until a time: orders in twos under one number, orders sent again, reads.
func (w *walk) operate(untilUs int64) {
	if w.nowUs >= untilUs {
		return
	}
	w.after(20*clock.Ms+w.r.Int63n(250*clock.Ms), func() {
		switch n := w.r.Intn(10); {
		case w.underWay >= underWayMost:
		case n < 2:
			w.read()
		case n < 5 && len(w.orders) > 0:
			w.send(w.orders[w.r.Intn(len(w.orders))], 2)
		case n < 7:
			first := w.newOrder()
			rival := w.newOrder()
			rival.order.Base, rival.order.Version = first.order.Base, first.order.Version
			rival.rewrite()
			w.counts["same number"]++
			w.send(first, 4)
			w.send(rival, 4)
		default:
			w.send(w.newOrder(), 1+w.r.Intn(4))
		}
		w.operate(untilUs)
	})
}

// rewrite builds the change anew after the order's numbers have been set.
func (s *sentOrder) rewrite() {
	doc := declaration(s.order.Version, s.order.ID, s.order.Spoiled)
	_, s.order.Content = contentOf(doc)
	s.change = statemachine.ConfigChange{Base: s.order.Base, Version: s.order.Version, Doc: doc}
}

// whole: all control nodes serve, so that one may lose its disk.
func (w *walk) whole() bool {
	for _, o := range w.controlNodes {
		if o.core == nil || w.nowUs < o.thawUs || o.core.Node.Phase() != chain.PhaseServing || len(o.core.Node.View().Replicas) < controlNodes {
			return false
		}
	}
	return true
}

// trouble crashes, wipes, freezes or cuts off one control node at a time, or slows or crashes all, until a time.
func (w *walk) trouble(untilUs int64) {
	if w.nowUs >= untilUs {
		return
	}
	spanUs := 200*clock.Ms + w.r.Int63n(2500*clock.Ms)
	o := w.controlNodes[w.r.Intn(controlNodes)]
	switch w.r.Intn(7) {
	case 5:
		w.counts["all crash"]++
		for _, each := range w.controlNodes {
			if each.core == nil {
				continue
			}
			each.crash()
			w.after(spanUs+w.r.Int63n(300*clock.Ms), func() { each.start(false) })
		}
	case 6:
		if !w.whole() {
			break
		}
		w.counts["wipe"]++
		o.wipe()
		w.after(spanUs, func() { o.start(false) })
	case 0:
		w.counts["crash"]++
		o.crash()
		w.after(spanUs, func() { o.start(false) })
	case 1:
		w.counts["freeze"]++
		o.thawUs = w.nowUs + spanUs
	case 2:
		w.counts["cut"]++
		for i := range controlNodes {
			w.cuts[[2]int{o.number, i}], w.cuts[[2]int{i, o.number}] = true, true
		}
		w.after(spanUs, func() { clear(w.cuts) })
	case 3:
		w.counts["one-way cut"]++
		w.cuts[[2]int{o.number, w.r.Intn(controlNodes)}] = true
		w.after(spanUs, func() { clear(w.cuts) })
	case 4:
		w.counts["slow"]++
		w.slowUs = 300 * clock.Ms
		w.after(spanUs, func() { w.slowUs = 0 })
	}
	w.after(spanUs+w.r.Int63n(2*clock.Sec), func() { w.trouble(untilUs) })
}

const (
	foundingUs = 4 * clock.Sec
	playUs     = 14 * clock.Sec
	healingUs  = 14 * clock.Sec
)

// play is one whole walk, with everything healed at its end and read back.
func (w *walk) play() []Broken {
	w.pass(foundingUs)
	w.operate(w.nowUs + playUs)
	w.trouble(w.nowUs + playUs)
	w.pass(playUs + healingUs)
	for n := range 12 {
		if n%3 > 0 && len(w.orders) > 0 {
			w.send(w.orders[w.r.Intn(len(w.orders))], 1)
		} else {
			w.read()
		}
		w.pass(400 * clock.Ms)
	}
	w.pass(2 * clock.Sec)
	return Judge(w.rec.Calls())
}
