package rules

import (
	"cmp"
	"slices"

	"petreltide/proofs/platform/replica"
)

// fate is what the operators' sockets say of a version.
func (j *judge) mayStand(v *Version) bool {
	if !v.Valid || v.RefusedUs > 0 {
		return false
	}
	for _, o := range j.Versions {
		if o != v && o.Base == v.Base && o.AckedUs > 0 && v.AckedUs == 0 {
			return false
		}
	}
	if v.Base == 0 {
		return true
	}
	for _, o := range j.Versions {
		if o.Number == v.Base && j.mayStand(o) {
			return true
		}
	}
	return false
}

// readVersion is the version of this number that was read back; two may bear one number, and where neither was sent
// as it was read, any of them.
func (j *judge) readVersion() *Version {
	var found *Version
	for _, v := range j.Versions {
		if v.Number != j.Read.Number {
			continue
		}
		if found == nil || v.Sent == j.Read.Sent {
			found = v
		}
	}
	return found
}

// config: what operators are told must hold together, and with what is read back.
func (j *judge) config() {
	bases := map[uint64][]*Version{}
	for _, v := range j.Versions {
		bases[v.Base] = append(bases[v.Base], v)
		if v.AckedUs == 0 {
			continue
		}
		if !v.Valid {
			j.breach(ConfigNot, "version %d is invalid and was acknowledged", v.Number)
		}
		if v.RefusedUs > 0 {
			j.breach(ConfigTwo, "version %d was acknowledged and refused with %d", v.Number, v.Status)
		}
	}
	for _, v := range j.Versions {
		if v.LostAckUs == 0 {
			continue
		}
		j.stake(ConfigTwo)
		if v.RefusedUs > v.LostAckUs {
			j.breach(ConfigTwo, "version %d was taken, its acknowledgement lost, and it was refused with %d when it was sent again", v.Number, v.Status)
		}
	}
	for base, all := range bases {
		if len(all) < 2 {
			continue
		}
		j.stake(ConfigTwo)
		won := []uint64{}
		for _, v := range all {
			if v.AckedUs > 0 {
				won = append(won, v.Number)
			}
		}
		if len(won) > 1 {
			j.breach(ConfigTwo, "%v on top of %d were both acknowledged", won, base)
		}
	}
	if j.Read == nil {
		return
	}
	var newest *Version
	for _, v := range j.sorted {
		if v.AckedUs > 0 {
			newest = v
		}
	}
	if newest == nil {
		return
	}
	j.stake(ConfigGon)
	if !j.Read.Came {
		j.breach(ConfigGon, "the configuration did not come when it was read back")
		return
	}
	if j.Read.Number < newest.Number {
		j.breach(ConfigGon, "version %d was read back, %d was acknowledged at %.3f", j.Read.Number, newest.Number, sec(newest.AckedUs))
		return
	}
	v := j.readVersion()
	if v == nil {
		j.breach(ConfigGon, "version %d was read back, which nobody sent", j.Read.Number)
		return
	}
	if v.Sent != j.Read.Sent {
		j.breach(ConfigGon, "version %d was read back otherwise than it was sent:\n%s\n%s", v.Number, j.Read.Sent, v.Sent)
	}
	if !j.mayStand(v) {
		j.breach(ConfigNot, "version %d was read back, though it was refused, invalid or lost its race", v.Number)
	}
}

// handling is one thing done with a request: a service ran it, or a 404 denied that there is a route.
type handling struct {
	try     *Try
	service string
	atUs    int64
	replica string
}

func (j *judge) handlings() []handling {
	all := []handling{}
	for _, a := range j.Arrivals {
		if t := j.tries[a.Request]; t != nil && a.RanUs > 0 {
			all = append(all, handling{t, a.Service, a.AtUs, a.Replica})
		}
	}
	for _, t := range j.Tries {
		if t.Status == 404 && len(j.arrivals[t.ID]) == 0 {
			all = append(all, handling{t, "", t.EndUs, ""})
		}
	}
	slices.SortStableFunc(all, func(a, b handling) int { return cmp.Compare(a.atUs, b.atUs) })
	return all
}

// oldest is the version below which a machine may not work any more, for a request sent at a moment.
func (j *judge) oldest(t *Try, atUs int64) *Version {
	var lo *Version
	for _, v := range j.sorted {
		if v.AckedUs == 0 {
			continue
		}
		switch {
		case t.SentUs > v.AckedUs+j.Bounds.ConfigApplyUs && j.t.within(t.Machine, t.SentUs, atUs),
			t.SentUs > v.AckedUs+j.Bounds.ConfigApplyUs+j.Bounds.OuterUs && j.t.outer(t.Machine, v.AckedUs, t.SentUs, atUs):
			lo = v
		}
	}
	return lo
}

func (j *judge) routes() {
	denied := 0
	type life struct {
		machine string
		boot    int
	}
	type floor struct {
		version *Version
		atUs    int64
		by      string
	}
	floors := map[life]*floor{}
	for _, h := range j.handlings() {
		stands, ever := []*Version{}, false
		for _, v := range j.sorted {
			if v.SentUs > h.atUs {
				continue
			}
			ever = ever || v.permits(h.try, h.service)
			if j.mayStand(v) {
				stands = append(stands, v)
			}
		}
		if h.service != "" {
			j.stake(Route)
			if !ever {
				j.breach(Route, "%s (%s) ran %s for %s%s at %.3f, which no configuration sends there", h.replica, h.service, h.try.ID, h.try.Host, h.try.Path, sec(h.atUs))
				continue
			}
		}
		var least, most *Version
		for _, v := range stands {
			if v.permits(h.try, h.service) {
				if least == nil {
					least = v
				}
				most = v
			}
		}
		if least == nil {
			if h.service != "" {
				j.breach(ConfigNot, "%s sent %s%s to %s at %.3f, which only a refused, invalid or losing version allows", h.try.Machine, h.try.Host, h.try.Path, h.service, sec(h.atUs))
			}
			if h.service == "" && len(stands) > 0 && j.t.within(h.try.Machine, h.try.SentUs, h.atUs) {
				j.stake(Denied)
				denied++
			}
			continue
		}
		if lo := j.oldest(h.try, h.atUs); lo != nil {
			if !lo.permits(h.try, h.service) || slices.ContainsFunc(stands, func(v *Version) bool { return v.Number < lo.Number && !v.permits(h.try, h.service) }) {
				j.stake(ConfigOld)
			}
			if most.Number < lo.Number {
				j.breach(ConfigOld, "%s handled %s %s%s (sent %.3f, at %.3f: %q) as version %d; %d was acknowledged at %.3f", h.try.Machine, h.try.ID, h.try.Host, h.try.Path,
					sec(h.try.SentUs), sec(h.atUs), h.service, most.Number, lo.Number, sec(lo.AckedUs))
			}
		}
		key := life{h.try.Machine, h.try.Life}
		f := floors[key]
		slackUs := j.Bounds.DowngradeUs
		if j.slowed(h.try.Machine, h.atUs) {
			slackUs *= 8
		}
		if f != nil && h.try.SentUs > f.atUs+slackUs && most.Number < f.version.Number {
			j.breach(ConfigBck, "%s handled %s %s%s (sent %.3f, at %.3f: %q) as version %d after it had worked by %d at %.3f (%s)", h.try.Machine, h.try.ID, h.try.Host, h.try.Path,
				sec(h.try.SentUs), sec(h.atUs), h.service, most.Number, f.version.Number, sec(f.atUs), f.by)
		}
		if h.service != "" && (f == nil || least.Number > f.version.Number) {
			if f != nil {
				j.stake(ConfigBck)
			}
			floors[key] = &floor{least, h.atUs, h.try.ID}
		}
	}
	for _, t := range j.Tries {
		if t.Status/100 == 3 || (t.Status/100 == 4 && !slices.Contains([]int{404, 408, 421, 429}, t.Status)) {
			if len(j.arrivals[t.ID]) == 0 && j.t.within(t.Machine, t.SentUs, t.EndUs) && t.EndUs > t.SentUs {
				denied++
			}
		}
	}
	if len(j.Tries) > 0 {
		j.stake(Denied)
	}
	if denied > 5+len(j.Tries)/500 {
		j.breach(Denied, "%d proper requests of %d were ended with a 3xx or 4xx", denied, len(j.Tries))
	}
	for _, v := range j.Versions {
		if !j.mayStand(v) {
			j.stake(ConfigNot)
		}
	}
}

// drain: what machines in touch send reaches no replica that has left for longer than it may.
func (j *judge) drain() {
	j.drained(Drain, func(l *Leave) bool { return l.AckedUs > 0 && j.t.itself(l.Machine, l.AckedUs) })
}

// drained holds every leaving that counts to drainMs, by the rule that is named.
func (j *judge) drained(rule string, counts func(*Leave) bool) {
	since := map[string]int64{}
	for _, l := range j.Leaves {
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
		for _, t := range j.Tries {
			if t.SentUs > fromUs+j.Bounds.DrainUs && t.SentUs < l.GoneUs {
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
	for _, c := range j.Cuts {
		if ((c.From == machine && c.To == replica) || (c.From == replica && c.To == machine)) && c.FromUs <= us && c.ToUs+j.Bounds.ContactUs >= us {
			return true
		}
	}
	return false
}

// planned: around planned work no request may be cut that a process had read.
func (j *judge) planned() {
	type spans struct{ in, out int64 }
	cutsIn, cutsOut := map[string]int{}, map[string]int{}
	changes := []span{}
	for _, v := range j.Versions {
		if j.mayStand(v) && v.AckedUs > 0 {
			changes = append(changes, span{v.SentUs, v.AckedUs + j.Bounds.ConfigApplyUs + 1_000_000})
		}
	}
	changes = union(changes)
	var inUs int64
	for _, s := range changes {
		inUs += s.toUs - s.fromUs
	}
	share := spans{inUs, max(j.EndUs-inUs, 1)}
	for _, t := range j.Tries {
		var term *Term
		for i := range j.Terms {
			w := &j.Terms[i]
			if w.Machine == t.Machine && !w.Hup && t.EndUs >= w.AtUs && t.EndUs <= w.AtUs+j.Bounds.GraceUs+1_000_000 {
				term = w
			}
			if w.Machine == t.Machine && w.Hup && t.SentUs <= w.AtUs+j.Bounds.ConfigApplyUs && t.EndUs >= w.AtUs && t.SentUs > w.AtUs-j.Bounds.GraceUs {
				term = w
			}
		}
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
	for m, n := range cutsIn {
		if in, out := float64(n)/float64(max(share.in, 1)), float64(cutsOut[m])/float64(share.out); in > 3*out {
			j.breach(LostWork, "%s cut %d requests while configurations changed, %d at other times", m, n, cutsOut[m])
		}
	}
}

// lost: a request that was read ended without an answer, and nothing excuses it.
func (j *judge) lost(t *Try, term *Term) bool {
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

func (j *judge) unplanned(t *Try, arrivals []*replica.Arrival) bool {
	fromUs := t.SentUs - j.Bounds.ContactUs
	concerned := func(m string) bool {
		return m == t.Machine || j.isCore(m, t.SentUs) || slices.ContainsFunc(arrivals, func(a *replica.Arrival) bool { return a.Replica == m })
	}
	for _, x := range j.Troubles {
		if !x.Planned && concerned(x.Machine) && x.FromUs <= t.EndUs && x.ToUs >= fromUs {
			return true
		}
	}
	for _, c := range j.Cuts {
		if (concerned(c.From) || concerned(c.To)) && c.FromUs <= t.EndUs && c.ToUs >= fromUs {
			return true
		}
	}
	return false
}

// acks: while all is calm, operators and leaving replicas get their acknowledgement in time.
func (j *judge) acks() {
	uncalm := union(append(slices.Clone(j.t.unsettled), j.t.links...))
	for _, v := range j.Versions {
		if !v.Valid || !j.mayStand(v) {
			continue
		}
		needUs := j.Bounds.AcknowledgeUs + 3000*int64(len(v.Routes))
		endUs := v.AckedUs
		if endUs == 0 {
			endUs = j.EndUs
		}
		if v.LostAckUs > 0 {
			endUs = min(endUs, v.LostAckUs)
		}
		j.stake(Acks)
		if atUs := firstGap(uncalm, v.SentUs, endUs, needUs); atUs >= 0 {
			j.breach(Acks, "version %d, sent at %.3f, had no acknowledgement %.1f s into the calm from %.3f", v.Number, sec(v.SentUs), sec(needUs), sec(atUs))
		}
	}
	late, all := 0, 0
	for _, l := range j.Leaves {
		if l.Crashed || firstGap(uncalm, l.SaidUs, l.SaidUs+j.Bounds.AcknowledgeUs+1, j.Bounds.AcknowledgeUs) != l.SaidUs {
			continue
		}
		all++
		if l.AckedUs == 0 || l.AckedUs > l.SaidUs+j.Bounds.AcknowledgeUs {
			late++
		}
	}
	if all > 0 {
		j.stake(Acks)
	}
	if late*5 > all {
		j.breach(Acks, "%d of %d replicas that left in calm times had no acknowledgement in time", late, all)
	}
}

// added: in calm times, requests on routes that came later are served about as often as those on the first.
func (j *judge) added() {
	var first *Version
	for _, v := range j.sorted {
		if v.AckedUs > 0 {
			first = v
			break
		}
	}
	if first == nil {
		return
	}
	var old, fresh struct{ asked, served int }
	for _, t := range j.Tries {
		if (t.HungUp && !t.Probe) || !j.t.within(t.Machine, t.SentUs, t.EndUs) {
			continue
		}
		r := j.stands(t)
		if r == nil {
			continue
		}
		row := &fresh
		if slices.ContainsFunc(first.Routes, func(o RouteSeen) bool { return o.Name == r.Name }) {
			row = &old
		}
		row.asked++
		if t.Served() {
			row.served++
		}
	}
	if fresh.asked < 20 || old.asked == 0 {
		return
	}
	j.stake(ConfigNew)
	if 4*fresh.served*old.asked < old.served*fresh.asked {
		j.breach(ConfigNew, "%d of %d requests on routes added later were served, %d of %d on the first ones", fresh.served, fresh.asked, old.served, old.asked)
	}
}

// stands is the route of a request where every version that may be in force for it has it.
func (j *judge) stands(t *Try) *RouteSeen {
	var lo *Version
	for _, v := range j.sorted {
		if v.AckedUs > 0 && t.SentUs > v.AckedUs+j.Bounds.ConfigApplyUs {
			lo = v
		}
	}
	if lo == nil {
		return nil
	}
	r := lo.match(t.Host, t.Path)
	for _, v := range j.sorted {
		if r == nil {
			return nil
		}
		if v.Number <= lo.Number || v.SentUs > t.EndUs || !j.mayStand(v) {
			continue
		}
		if o := v.match(t.Host, t.Path); o == nil || o.Name != r.Name {
			return nil
		}
	}
	return r
}
