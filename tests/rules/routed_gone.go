package rules

import "petreltide/tests/platform/replica"

const (
	// clientGoneSlackUs is how long after a client has left its request may still reach a replica, or be worked on.
	clientGoneSlackUs = 500_000
	// clientGoneArrivals may reach replicas later all the same.
	clientGoneArrivals = 3
	// minGoneWork is how many requests must have been worked on as their clients left.
	minGoneWork = 8
)

// gone: soon after a client has left, its request reaches no replica, and replicas work on few of the repeatable
// requests and streams of such clients.
func (j *judge) gone() {
	sentLate, stopped, worked := 0, 0, 0
	for _, t := range j.Attempts {
		if !t.HungUp || t.Probe || !j.t.within(t.Machine, t.SentUs, t.EndUs+2*clientGoneSlackUs) {
			continue
		}
		repeatable := j.may(t, func(r *RouteSeen) bool { return r.Repeatable })
		for _, a := range j.arrivals[t.ID] {
			switch {
			case j.heldUp(t.Machine, a.Replica, t.EndUs):
			case a.AtUs > t.EndUs+clientGoneSlackUs:
				sentLate++
			case a.AtUs <= t.EndUs && (repeatable || t.Stream):
				stopped += ended(a, t.EndUs, t.EndUs+clientGoneSlackUs)
				worked += ended(a, t.EndUs+clientGoneSlackUs, Open)
			}
		}
	}
	if stopped+worked > 0 {
		j.stake(Removal)
	}
	if sentLate > clientGoneArrivals {
		j.breach(Removal, "%d requests reached replicas over %.1f s after their clients had left", sentLate, sec(clientGoneSlackUs))
	}
	if stopped+worked >= minGoneWork && 4*worked > stopped+worked {
		j.breach(Removal, "replicas worked on %d of %d requests %.1f s after their clients had left", worked, stopped+worked, sec(clientGoneSlackUs))
	}
}

// ended is 1 where the work for a request ended within a span, or never, where the span has no end.
func ended(a *replica.Arrival, fromUs, toUs int64) int {
	endUs := a.EndUs
	if endUs == 0 {
		endUs = Open - 1
	}
	if a.RanUs > 0 && !a.BrokeOff && fromUs < endUs && endUs <= toUs {
		return 1
	}
	return 0
}

// known: each gateway knows every replica that has spoken for a while.
func (j *judge) known() {
	j.stakes[Known] += j.Known
	if len(j.Unknown) > 0 {
		j.breach(Known, "not known, though they speak: %v", j.Unknown)
	}
}

// release: no gateway counts an attempt as open that does not run.
func (j *judge) release() {
	j.stakes[Release] += j.Released
	if len(j.Unreleased) > 0 {
		j.breach(Release, "more attempts open than run: %v", j.Unreleased)
	}
}
