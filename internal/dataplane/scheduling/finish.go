package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/fault"
)

// give is a final answer told at once: the call has no attempt and can get none any more.
func (d *Decider) give(c *Call, code fault.Code, why string, retryMs int64) {
	d.giveAt(c, code, why, spreadRetryMs(c.ID, retryMs))
}

func (d *Decider) giveAt(c *Call, code fault.Code, why string, retryMs int64) {
	d.dequeue(c)
	delete(d.calls, c.ID)
	f := fault.New(code, "", "%s", why)
	f.Run, f.RetryMs = fault.RunNone, retryMs
	switch {
	case c.Had > 0 || c.Progress.Load() > 0:
		f.Run = fault.RunPartial
	case c.ran:
		f.Run = fault.RunUnknown
	}
	d.kind(c.Kind).given[code]++
	d.gaugeOver(c, "", code)
	d.note(c, "given up", "", string(code)+": "+why)
	d.do(Effect{Give: &Give{Call: c, Fault: f}})
}

// spreadRetryMs spreads the times at which callers that were refused together come back: half to one and a half
// of what was meant, or the crowd would stand before the door again as one.
func spreadRetryMs(id string, retryMs int64) int64 {
	if retryMs <= 1 {
		return retryMs
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return retryMs/2 + int64(h.Sum64()%uint64(retryMs)) + 1
}

func (d *Decider) callerGone(id string) {
	c := d.calls[id]
	if c == nil {
		return
	}
	c.gone = true
	if c.attempt == "" {
		d.dequeue(c)
		delete(d.calls, id)
		d.gaugeOver(c, "", "")
		return
	}
	d.do(Effect{Cancel: c.ID})
}

func (d *Decider) ended(e Ended) {
	c := d.calls[e.Call]
	for _, p := range d.places {
		delete(p.inFlight, e.Attempt)
	}
	if c == nil || c.attempt != e.Attempt {
		for _, st := range d.replicaStates {
			delete(st.openAttempts, e.Attempt)
		}
		return
	}
	on := c.on
	c.attempt, c.on = "", ""
	if c.Routed != nil {
		d.endedRouted(c, e, on)
		return
	}
	if e.Ending == Unsent || e.Ending == Refused {
		d.placeOf(on).avoidUntilUs = d.nowUs + avoidUs
	}
	if e.Ending == Done {
		spentUs := float64(d.nowUs - c.firstUs)
		d.serviceUs += (spentUs - d.serviceUs) / 16
	}
	c.ran = c.ran || MayHaveRun(e.Ending)
	if c.gone || !again(c.requestKind(), e.Ending) {
		d.finish(c, e.Ending, on)
		return
	}
	c.Had = int(c.Progress.Load())
	d.waitAgain(c, on, e.Ending)
}

// waitAgain queues a call whose attempt at a replica came to nothing, unless its terms or its attempts have run out.
func (d *Decider) waitAgain(c *Call, on string, ending Ending) {
	if !d.applyTerms(c) {
		return
	}
	if c.attempts >= attemptsMost {
		d.give(c, fault.Overloaded, "its legs were refused or lost too often", d.RetryMs())
		return
	}
	d.note(c, "waits again", on, string(ending))
	d.enqueue(c)
}

// finish takes an attempt's ending for that of its call.
func (d *Decider) finish(c *Call, e Ending, on string) {
	delete(d.calls, c.ID)
	if e == Done {
		d.kind(c.Kind).done++
	} else {
		d.kind(c.Kind).given[fault.Code(e)]++
	}
	d.gaugeOver(c, e, "")
	d.note(c, "ended", on, string(e))
	d.do(Effect{Over: &Over{Call: c, Ending: e}})
}
