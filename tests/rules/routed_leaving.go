package rules

import (
	"slices"

	"petreltide/tests/platform/replica"
)

// drain: what machines in touch send reaches no replica that has left for longer than it may.
func (j *judge) drain() {
	j.drained(Drain, func(l *Deregistration) bool { return l.AckedUs > 0 && j.t.itself(l.Machine, l.AckedUs) })
}

// drained holds every leaving that counts to drainMs, by the rule that is named.
func (j *judge) drained(rule string, counts func(*Deregistration) bool) {
	since := map[string]int64{}
	for _, l := range j.Deregistrations {
		if !counts(l) {
			continue
		}
		fromUs := l.AckedUs
		if !j.t.settled(fromUs) {
			fromUs = firstGap(j.t.unsettled, fromUs, Open, 0)
		}
		if at, known := since[l.Replica]; !known || fromUs < at {
			since[l.Replica] = fromUs
		}
		for _, t := range j.Attempts {
			if t.SentUs > fromUs+j.Bounds.DrainUs && t.SentUs < l.RemovedUs {
				j.stake(rule)
			}
		}
	}
	for _, a := range j.Arrivals {
		fromUs, known := since[a.Replica]
		t := j.tries[a.Request]
		if !known || t == nil || a.AtUs < fromUs {
			continue
		}
		if a.AtUs <= fromUs+j.Bounds.DrainUs || a.Turned == 421 || !j.t.within(t.Machine, min(t.SentUs, a.AtUs), a.AtUs) || j.heldUp(t.Machine, a.Replica, a.AtUs) {
			continue
		}
		j.breach(rule, "%s reached %s at %.3f from %s, %.0f ms after its leaving was acknowledged", a.Request, a.Replica, sec(a.AtUs), t.Machine, float64(a.AtUs-fromUs)/1000)
	}
}

// heldUp: the link between a machine and a replica was cut not long ago.
func (j *judge) heldUp(machine, replica string, us int64) bool {
	for _, c := range j.Partitions {
		if ((c.From == machine && c.To == replica) || (c.From == replica && c.To == machine)) && c.FromUs <= us && c.ToUs+j.Bounds.ContactUs >= us {
			return true
		}
	}
	return false
}

const (
	// plannedSlackUs is how much longer than its time planned work is held responsible for what is cut.
	plannedSlackUs = 1_000_000
	// cutsFactor is how many times more often requests may be cut while configurations change than at other times.
	cutsFactor = 3
)

// planned: around planned work no request may be cut that a process had read.
func (j *judge) planned() {
	cutsIn, cutsOut := map[string]int{}, map[string]int{}
	changes := j.changing()
	for _, t := range j.Attempts {
		term := j.termOf(t)
		during := covered(changes, t.SentUs) || covered(changes, t.EndUs)
		if (term != nil || during) && t.ReadUs > 0 && len(j.arrivals[t.ID]) > 0 {
			j.stake(LostWork)
		}
		if !j.lost(t, term) {
			continue
		}
		switch {
		case term != nil:
			j.breach(LostWork, "%s, read at %.3f by %s, was cut at %.3f; planned work there began at %.3f", t.ID, sec(t.ReadUs), t.Machine, sec(t.EndUs), sec(term.AtUs))
		case during:
			cutsIn[t.Machine]++
		default:
			cutsOut[t.Machine]++
		}
	}
	j.cutsOfChanges(changes, cutsIn, cutsOut)
}

// changing are the times in which configurations change.
func (j *judge) changing() []interval {
	changes := []interval{}
	for _, v := range j.Versions {
		if j.mayStand(v) && v.AckedUs > 0 {
			changes = append(changes, interval{v.SentUs, v.AckedUs + j.Bounds.ConfigApplyUs + plannedSlackUs})
		}
	}
	return union(changes)
}

// termOf is the last planned work that a request fell into at its machine; nil for none.
func (j *judge) termOf(t *Attempt) *Term {
	var term *Term
	for i := range j.Terms {
		w := &j.Terms[i]
		if w.Machine != t.Machine {
			continue
		}
		ends := !w.Hup && t.EndUs >= w.AtUs && t.EndUs <= w.AtUs+j.Bounds.GraceUs+plannedSlackUs
		reloads := w.Hup && t.SentUs <= w.AtUs+j.Bounds.ConfigApplyUs && t.EndUs >= w.AtUs && t.SentUs > w.AtUs-j.Bounds.GraceUs
		if ends || reloads {
			term = w
		}
	}
	return term
}

// cutsOfChanges: a machine does not cut requests much more often while configurations change than at other times.
func (j *judge) cutsOfChanges(changes []interval, cutsIn, cutsOut map[string]int) {
	var inUs int64
	for _, s := range changes {
		inUs += s.toUs - s.fromUs
	}
	outUs := max(j.EndUs-inUs, 1)
	for m, n := range cutsIn {
		in, out := float64(n)/float64(max(inUs, 1)), float64(cutsOut[m])/float64(outUs)
		if in > cutsFactor*out {
			j.breach(LostWork, "%s cut %d requests while configurations changed, %d at other times", m, n, cutsOut[m])
		}
	}
}

// lost: a request that was read ended without an answer, and nothing excuses it.
func (j *judge) lost(t *Attempt, term *Term) bool {
	if t.HungUp || t.GaveUp || t.Complete || t.ReadUs == 0 || t.EndUs == 0 {
		return false
	}
	arrivals := j.arrivals[t.ID]
	if len(arrivals) == 0 && t.EndUs <= t.ReadUs+j.Bounds.LossSlackUs {
		return false
	}
	if t.EndUs >= t.SentUs+t.LimitUs-50_000 {
		return false
	}
	for _, a := range arrivals {
		if a.BrokeOff || (term != nil && t.EndUs > term.AtUs+j.Bounds.GraceUs/2 && (a.EndUs == 0 || a.EndUs >= t.EndUs-50_000)) {
			return false
		}
	}
	return !j.unplanned(t, arrivals)
}

func (j *judge) unplanned(t *Attempt, arrivals []*replica.Arrival) bool {
	fromUs := t.SentUs - j.Bounds.ContactUs
	concerned := func(m string) bool {
		return m == t.Machine || j.isCore(m, t.SentUs) || slices.ContainsFunc(arrivals, func(a *replica.Arrival) bool { return a.Replica == m })
	}
	for _, x := range j.Faults {
		if !x.Planned && concerned(x.Machine) && x.FromUs <= t.EndUs && x.ToUs >= fromUs {
			return true
		}
	}
	for _, c := range j.Partitions {
		if (concerned(c.From) || concerned(c.To)) && c.FromUs <= t.EndUs && c.ToUs >= fromUs {
			return true
		}
	}
	return false
}
