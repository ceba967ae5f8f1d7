package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

const (
	dialUs      = 400 * ms
	idleUs      = 900 * ms
	lingerUs    = 2300 * ms
	drainMostUs = 7300 * ms
	deadlineUs  = 5 * ms
)

type routedGateway struct {
	machine
	day         *routedDay
	zone        string
	incarnation string
	decider     *scheduling.Decider
	mirror      *controlclient.Informer
	snap        *scheduling.Snapshot
	older       *scheduling.Snapshot
	open        map[string]*exchange
	streams     map[uint64]*frameStream
	kept        map[string]int64
	term        bool
	shut        bool
	calls       int
}

func newRoutedGateway(d *routedDay, name, zone string) *routedGateway {
	t := &routedGateway{machine: machine{sim: d.Sim, name: name, addr: name + ":1"}, day: d, zone: zone}
	t.start()
	return t
}

func (t *routedGateway) start() {
	if t.up {
		return
	}
	d := t.day
	t.boot++
	t.up, t.thawUs, t.term, t.shut = true, 0, false, false
	t.incarnation = d.newIncarnation()
	t.skewUs = d.r.Int63n(1000) * sec
	b := d.seen.Bounds
	budget := scheduling.RetryBudgetOptions{Ratio: b.BudgetRatio, Slack: b.BudgetSlack, WindowUs: b.BudgetUs}
	if d.plan.Plant == "no-budget" {
		budget.WindowUs = 0
	}
	t.decider = scheduling.New(scheduling.Options{Gateway: t.name, Incarnation: t.incarnation, Zone: t.zone, QueueMax: 200, RetryBudget: budget})
	t.mirror = controlclient.NewInformer(controlclient.Options{Gateway: t.name, Incarnation: t.incarnation, Addr: t.addr, Zone: t.zone, Seeds: d.seeds})
	t.snap, t.older, t.open, t.streams, t.kept = nil, nil, map[string]*exchange{}, map[uint64]*frameStream{}, map[string]int64{}
	d.over(t.name, "down")
	t.tick()
}

func (t *routedGateway) tick() {
	t.later(50*ms, func() {
		t.step(scheduling.Tick{})
		t.reflect(controlclient.InformerEvent{})
		t.tick()
	})
}

// crash ends the process: clients and replicas see their connections close.
func (t *routedGateway) crash(planned bool) {
	if !t.up {
		return
	}
	t.up = false
	t.day.over(t.name, "freeze")
	t.day.trouble(rules.FaultInterval{Machine: t.name, Kind: "down", Down: true, Planned: planned})
	for _, id := range slices.Sorted(maps.Keys(t.open)) {
		x := t.open[id]
		x.over = true
		if x.attempt != nil {
			x.attempt.close()
		}
		x.back.closed = true
		x.seat.broken(x.try)
	}
	t.open = map[string]*exchange{}
	for _, n := range slices.Sorted(maps.Keys(t.streams)) {
		t.unfollow(n)
	}
}

func (t *routedGateway) step(ev scheduling.Event) {
	urgent := false
	for _, e := range t.decider.Step(t.clock(), ev) {
		switch e := e.(type) {
		case *scheduling.AttemptStart:
			if x := t.open[e.Call.ID]; x != nil {
				x.begin(*e)
				continue
			}
			st := *e
			t.later(1, func() { t.step(scheduling.CallCanceled{Call: st.Call.ID}) })
			t.later(2, func() {
				t.step(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: scheduling.OutcomeUnsent})
			})
		case *scheduling.CallFailed:
			if x := t.open[e.Call.ID]; x != nil {
				x.fail(e.Fault)
			}
		case *scheduling.CallFinished:
			if x := t.open[e.Call.ID]; x != nil {
				x.ended(e.Outcome)
			}
		case scheduling.CallUnplaced:
			urgent = true
		case scheduling.CancelAttempt:
			if x := t.open[e.Call.ID]; x != nil && x.attempt != nil {
				x.attempt.cancel()
			}
		}
	}
	if urgent {
		t.reflect(controlclient.InformerEvent{Urgent: true})
	}
}

// take is a request that this gateway has read whole.
func (t *routedGateway) take(s *seat, try *rules.Attempt, ask replica.Ask, deadlineMs int64) *exchange {
	d := t.day
	try.ReadUs, try.Incarnation = d.nowUs, t.boot
	x := &exchange{gateway: t, try: try, ask: ask, seat: s, back: d.pipe(&t.machine, &d.clients.machine), last: ask.Last}
	if t.snap == nil || t.snap.Declaration == nil {
		x.answer(&fault.Fault{Code: fault.NoLease, RetryMs: 500})
		return x
	}
	route := t.snap.Declaration.Match(try.Host, try.Path)
	if route == nil || (d.plan.Plant == "denier" && d.r.Intn(10) == 0) {
		x.answer(&fault.Fault{Code: fault.NotFound})
		return x
	}
	if t.snubs(s, route.Name) {
		x.answer(&fault.Fault{Code: fault.Overloaded})
		return x
	}
	t.calls++
	x.call = &scheduling.Call{ID: fmt.Sprintf("%s-%s-%d", t.name, t.incarnation, t.calls), Kind: route.Name, Model: ask.Model, Adapter: ask.Adapter, TimeoutMs: deadlineMs, ArrivedUs: t.clock(),
		Routed: &scheduling.RoutedCall{Route: route, PromptTokens: ask.In, MaxOutputTokens: int64(replica.Total(ask.Body) * 3)}}
	for _, p := range ask.Parts {
		x.call.Routed.Segments = append(x.call.Routed.Segments, scheduling.PromptSegment{ID: hashPart(p.ID), Tokens: p.Tokens})
	}
	if ask.Last > 0 && route.Resumable {
		x.call.Delivered = ask.Last
		x.call.Progress.Store(int64(ask.Last))
	}
	t.open[x.call.ID] = x
	t.step(scheduling.CallArrived{Call: x.call})
	if len(d.taking) > 0 {
		strike := d.taking[0]
		d.taking = d.taking[1:]
		d.at(d.nowUs+d.r.Int63n(4*ms), func() { strike(t) })
	}
	return x
}

// snubs are the plants that never serve some requests.
func (t *routedGateway) snubs(s *seat, route string) bool {
	switch t.day.plan.Plant {
	case "snob":
		return route == "record"
	case "no-newcomers":
		return strings.HasPrefix(route, "mark-") || strings.HasPrefix(route, "big-")
	case "small-only":
		return s.class != nil && s.size() > 1800
	case "no-subjects":
		return s.class != nil && s.subject() != "" && s.subject() < "s4"
	case "no-adapters":
		return s.adapter != ""
	}
	return false
}

// left is a client that has gone.
func (t *routedGateway) left(x *exchange) {
	if x.over || x.call == nil || t.day.plan.Plant == "clingy" {
		return
	}
	x.gone = true
	t.step(scheduling.CallCanceled{Call: x.call.ID})
	if x.attempt == nil {
		x.done()
	}
}

// stop is SIGTERM: no longer ready, then nobody new, then the end when nobody is inside.
func (t *routedGateway) stop(again func()) {
	if !t.up || t.term {
		return
	}
	d := t.day
	t.term = true
	d.seen.Terms = append(d.seen.Terms, rules.Term{Machine: t.name, AtUs: d.nowUs})
	if d.plan.Plant == "abrupt" {
		t.crash(true)
		again()
		return
	}
	t.step(scheduling.DrainStarted{})
	boot, endUs := t.boot, d.nowUs+drainMostUs
	t.later(lingerUs, func() {
		t.shut = true
		t.step(scheduling.DrainEnded{})
	})
	var look func()
	look = func() {
		if !t.up || t.boot != boot {
			return
		}
		if t.shut && len(t.open) == 0 || d.nowUs >= endUs {
			t.crash(true)
			again()
			return
		}
		t.later(20*ms, look)
	}
	t.later(20*ms, look)
}

func hashPart(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}
