package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// Part is one piece of a prompt, in order; equal ids are equal text.
type Part struct {
	ID     uint64
	Tokens int64
}

// Routed is what a call by route brings beside what every call has. Prompt and Out are tokens.
type Routed struct {
	Route    *configuration.Route
	Service  string
	Parts    []Part
	PromptIn int64
	MostOut  int64
	Resumes  bool

	arrivals int
	draw     uint64
	returned bool
}

const (
	avoidLeastUs = 250 * clock.Ms
	avoidMostUs  = 2000 * clock.Ms
	missingUs    = 1500 * clock.Ms
	fullUs       = 60 * clock.Ms
	elsewhereUs  = 30 * clock.Sec
	tokensPerMs  = 20.0
	runningMs    = 0.4
	aloneMs      = 1.0
	aloneMost    = 3
	paceLeast    = 0.25
	paceMost     = 6.0
	crossZoneMs  = 1.5
	plainWorkMs  = 30.0
	affinityMost = 0.6
	partsKept    = 4096
)

func (d *Decider) routed() bool { return d.snap != nil && d.snap.Doc != nil && d.snap.Doc.Routed() }

func (c *Call) unit() string { return configuration.UnitName(c.Model, c.Adapter) }

// routedTerms lays the newest route on a call, and draws its service anew where it may no longer go there.
func (d *Decider) routedTerms(c *Call) fault.Code {
	r := d.snap.Doc.Route(c.Kind)
	if r == nil {
		c.resume = false
		return fault.UnknownKind
	}
	c.Routed.Route = r
	c.urgency = max(1, 9-r.Priority)
	c.once = c.once || !r.Retryable()
	c.resume = !c.once
	mostMs := r.TimeoutMs
	if c.MostMs > 0 {
		mostMs = min(mostMs, c.MostMs)
	}
	c.deadlineUs = c.TakenUs + mostMs*1000
	if c.attempt == "" && (c.Routed.Service == "" || !r.SendsTo(c.Routed.Service)) {
		if c.Routed.draw == 0 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(c.ID))
			c.Routed.draw = mix(h.Sum64())
		}
		c.Routed.Service = r.PickService(c.Routed.draw)
		if c.Routed.arrivals > 0 && !d.budget(c.Routed.Service) {
			return fault.Overloaded
		}
	}
	return ""
}

// requestKind is how often a call may run, by all declarations that it has seen.
func (c *Call) requestKind() RequestKind {
	switch {
	case c.Routed == nil && c.resume:
		return ResumableStreaming
	case c.Routed == nil:
		return Streaming
	}
	k := KindOf(c.Routed.Route)
	switch {
	case c.resume:
		return k
	case k == ResumableStreaming:
		return Streaming
	case k == Idempotent:
		return NonIdempotent
	}
	return k
}

// routedAgain says whether a call whose attempt ended so may have another: by what it is and what was seen, by the
// attempts that its route allows, and by the retry budget. An attempt that was not sent costs neither.
func (d *Decider) routedAgain(c *Call, e Ending) bool {
	k := c.requestKind()
	switch {
	case !again(k, e):
		return false
	case e == Unsent:
		return true
	case c.Had > 0 && k != ResumableStreaming && MayHaveRun(e):
		return false
	}
	return c.Routed.arrivals < c.Routed.Route.MaxAttempts && d.budget(c.Routed.Service)
}

// modelKey names the model that a routed call is for, at its service.
func (c *Call) modelKey() string { return c.Routed.Service + "|" + c.Model }

func (c *Call) adapterUnit() string {
	if c.Routed != nil {
		return c.unit()
	}
	return c.Adapter
}

func (d *Decider) arrivedRouted(c *Call) {
	b := d.budgetOf(c.Routed.Service)
	b.calls[b.now]++
	d.prospects.arrived(c)
	if d.turnAway(c) {
		return
	}
	if d.waiting >= d.opts.QueueMax && !d.makeRoom(c) {
		d.give(c, fault.Overloaded, "the backlog is full", d.RetryMs())
		return
	}
	d.enqueue(c)
}

func (d *Decider) endedRouted(c *Call, e Ended, on string) {
	d.learn(c, e.Attempt, on, e.Ending)
	if e.Ending != Unsent {
		c.Routed.arrivals++
	}
	c.ran = c.ran || MayHaveRun(e.Ending)
	c.Had = int(c.Progress.Load())
	if c.gone || !d.routedAgain(c, e.Ending) {
		if !c.gone && !c.ran && c.Had == 0 {
			d.give(c, fault.Overloaded, "no further replica may be tried", 30)
			return
		}
		d.finish(c, e.Ending, on)
		return
	}
	d.waitAgain(c, on, e.Ending)
}

// maySendRouted: the newest declaration still sends this route to that service, and the incarnation is known
// and not leaving.
func (s *Snapshot) maySendRouted(st Start, nowUs int64) bool {
	if s == nil || s.Doc == nil || nowUs >= st.DeadlineUs {
		return false
	}
	route, r := s.Doc.Route(st.Call.Kind), s.Replicas[st.Replica]
	return route != nil && r != nil && r.Incarnation == st.Incarnation && !r.Draining && route.SendsTo(r.Service)
}

// reportRouted tells what this gateway has at replicas: what runs, and the tokens of prompts that no first
// piece has come for.
func (d *Decider) reportRouted(rep *wire.Report) {
	d.promised(rep)
	d.admission.forget(d.nowUs)
	d.reportOutcomes(rep)
	for id, s := range d.replicaStates {
		if d.snap != nil && d.snap.Replicas[id] == nil && len(s.openAttempts) == 0 {
			delete(d.replicaStates, id)
			continue
		}
		if len(s.openAttempts) == 0 {
			continue
		}
		for _, f := range s.openAttempts {
			if f.call.Model != "" {
				if rep.ModelInFlight == nil {
					rep.ModelInFlight = map[string]int{}
				}
				rep.ModelInFlight[id+"|"+f.call.Model]++
			}
			if f.call.FirstUs.Load() < f.startUs {
				if f.call.Model != "" {
					if rep.PendingPrefill == nil {
						rep.PendingPrefill = map[string]int{}
					}
					rep.PendingPrefill[id+"|"+f.call.Model]++
				}
			}
		}
		rep.InFlight[id] = len(s.openAttempts)
	}
}
