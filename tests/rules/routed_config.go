package rules

import "slices"

// mayStand: by what operators' sockets say of a version, it may be in force.
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
	for _, v := range j.Versions {
		j.acknowledged(v)
	}
	for _, v := range j.Versions {
		j.sentAgain(v)
	}
	j.oneWinner()
	j.readBack()
}

// acknowledged: only a valid version that was not refused is acknowledged.
func (j *judge) acknowledged(v *Version) {
	if v.AckedUs == 0 {
		return
	}
	if !v.Valid {
		j.breach(ConfigNot, "version %d is invalid and was acknowledged", v.Number)
	}
	if v.RefusedUs > 0 {
		j.breach(ConfigTwo, "version %d was acknowledged and refused with %d", v.Number, v.Status)
	}
}

// sentAgain: a version that was taken, but whose acknowledgement was lost, is not refused when it is sent again.
func (j *judge) sentAgain(v *Version) {
	if v.FirstLostAckUs == 0 {
		return
	}
	j.stake(ConfigTwo)
	if v.RefusedUs > v.FirstLostAckUs {
		j.breach(ConfigTwo, "version %d was taken, its acknowledgement lost, and it was refused with %d when it was sent again", v.Number, v.Status)
	}
}

// oneWinner: of versions on the same base, one at the most is acknowledged.
func (j *judge) oneWinner() {
	bases := map[uint64][]*Version{}
	for _, v := range j.Versions {
		bases[v.Base] = append(bases[v.Base], v)
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
}

// newestAcknowledged is the newest version that was acknowledged; nil where none was.
func (j *judge) newestAcknowledged() *Version {
	var newest *Version
	for _, v := range j.sorted {
		if v.AckedUs > 0 {
			newest = v
		}
	}
	return newest
}

// readBack: what is read back at the end is as new as what was acknowledged, as it was sent, and may stand.
func (j *judge) readBack() {
	newest := j.newestAcknowledged()
	if j.Read == nil || newest == nil {
		return
	}
	j.stake(ConfigGon)
	if !j.Read.Received {
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
		if v.FirstLostAckUs > 0 {
			endUs = min(endUs, v.FirstLostAckUs)
		}
		j.stake(Acks)
		if atUs := firstGap(uncalm, v.SentUs, endUs, needUs); atUs >= 0 {
			j.breach(Acks, "version %d, sent at %.3f, had no acknowledgement %.1f s into the calm from %.3f", v.Number, sec(v.SentUs), sec(needUs), sec(atUs))
		}
	}
	late, all := 0, 0
	for _, l := range j.Deregistrations {
		if l.Crashed || firstGap(uncalm, l.AnnouncedUs, l.AnnouncedUs+j.Bounds.AcknowledgeUs+1, j.Bounds.AcknowledgeUs) != l.AnnouncedUs {
			continue
		}
		all++
		if l.AckedUs == 0 || l.AckedUs > l.AnnouncedUs+j.Bounds.AcknowledgeUs {
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
	for _, t := range j.Attempts {
		if (t.HungUp && !t.Probe) || !j.t.within(t.Machine, t.SentUs, t.EndUs) {
			continue
		}
		r := j.stands(t)
		if r == nil {
			continue
		}
		row := &fresh
		if slices.ContainsFunc(first.Routes, func(o RouteSeen) bool { return o.Host == r.Host && o.Prefix == r.Prefix }) {
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
func (j *judge) stands(t *Attempt) *RouteSeen {
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
