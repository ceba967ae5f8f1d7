package rules

import (
	"cmp"
	"net/http"
	"slices"
)

// handling is one thing done with a request: a service ran it, a 404 denied that there is a route, or a 401 that a tenant holds its
// key.
type handling struct {
	try     *Attempt
	service string
	denial  int
	atUs    int64
	replica string
}

// what is the service that ran the request, or the denial.
func (h handling) what() string { return cmp.Or(h.service, http.StatusText(h.denial)) }

// permits says whether a version allows a handling.
func (j *judge) permits(v *Version, h handling) bool {
	r := v.match(h.try.Host, h.try.Path)
	if h.denial == http.StatusNotFound || r == nil {
		return h.denial == http.StatusNotFound && r == nil
	}
	if h.denial == http.StatusUnauthorized {
		return !j.admits(v, r, j.Keys[h.try.ID])
	}
	return j.admits(v, r, j.Keys[h.try.ID]) && slices.Contains(r.Services, h.service)
}

// admits says whether a version lets a key onto a route: that of a tenant everywhere, none on public routes, one that nobody holds
// nowhere.
func (j *judge) admits(v *Version, r *RouteSeen, key string) bool {
	holders := j.Holders[v]
	return holders == nil || holders[key] != "" || key == "" && r.Public
}

func (j *judge) handlings() []handling {
	all := []handling{}
	for _, a := range j.Arrivals {
		if t := j.tries[a.Request]; t != nil && a.RanUs > 0 {
			all = append(all, handling{try: t, service: a.Service, atUs: a.AtUs, replica: a.Replica})
		}
	}
	for _, t := range j.Attempts {
		if t.Status == http.StatusNotFound && len(j.arrivals[t.ID]) == 0 || t.Status == http.StatusUnauthorized && t.Seal == "" {
			all = append(all, handling{try: t, denial: t.Status, atUs: t.EndUs})
		}
	}
	slices.SortStableFunc(all, func(a, b handling) int { return cmp.Compare(a.atUs, b.atUs) })
	return all
}

// oldest is the version below which a machine may not work any more, for a request sent at a moment.
func (j *judge) oldest(t *Attempt, atUs int64) *Version { return j.oldestBy(j.t, t, atUs) }

// oldestBy is the same with the machines that are in touch by another account of the day.
func (j *judge) oldestBy(contact *touch, t *Attempt, atUs int64) *Version {
	var lo *Version
	for _, v := range j.sorted {
		if v.AckedUs == 0 {
			continue
		}
		switch {
		case t.SentUs > v.AckedUs+j.Bounds.ConfigApplyUs && contact.within(t.Machine, t.SentUs, atUs),
			t.SentUs > v.AckedUs+j.Bounds.ConfigApplyUs+j.Bounds.OuterUs && contact.outer(t.Machine, v.AckedUs, t.SentUs, atUs):
			lo = v
		}
	}
	return lo
}

// process is one incarnation of a machine's process.
type process struct {
	machine string
	boot    int
}

// floor is the newest version that a process is known to have worked by, since when and by which request.
type floor struct {
	version *Version
	atUs    int64
	by      string
}

const (
	// slowedFactor is how many times longer a slowed machine may work by an older version than a newer one.
	slowedFactor = 8
	// Denials that are let pass: minDenied, and one more in deniedOf requests.
	minDenied = 5
	deniedOf  = 500
)

// routes: requests go where the configuration in force sends them, and no proper one is denied.
func (j *judge) routes() {
	denied := 0
	floors := map[process]*floor{}
	for _, h := range j.handlings() {
		denied += j.handled(h, floors)
	}
	denied += j.deniedOtherwise()
	if len(j.Attempts) > 0 {
		j.stake(Denied)
	}
	if denied > minDenied+len(j.Attempts)/deniedOf {
		j.breach(Denied, "%d proper requests of %d were ended with a 3xx or 4xx", denied, len(j.Attempts))
	}
	for _, v := range j.Versions {
		if !j.mayStand(v) {
			j.stake(ConfigNot)
		}
	}
}

// handled judges one handling of a request by the versions that allow it; denied is 1 where none does and a
// machine in touch denied the request.
func (j *judge) handled(h handling, floors map[process]*floor) (denied int) {
	stands, ever := j.versionsFor(h)
	if h.service != "" {
		j.stake(Route)
		if !ever {
			j.breach(Route, "%s (%s) ran %s for %s%s at %.3f, which no configuration sends there", h.replica, h.service, h.try.ID, h.try.Host, h.try.Path, sec(h.atUs))
			return 0
		}
	}
	least, most := j.permitting(stands, h)
	if least == nil {
		return j.notPermitted(h, len(stands) > 0)
	}
	j.notOlder(h, stands, most)
	j.notBack(h, least, most, floors)
	return 0
}

// versionsFor gives the versions sent by the time of a handling that may stand, in order; ever says that any that
// was sent allows it.
func (j *judge) versionsFor(h handling) (stands []*Version, ever bool) {
	for _, v := range j.sorted {
		if v.SentUs > h.atUs {
			continue
		}
		ever = ever || j.permits(v, h)
		if j.mayStand(v) {
			stands = append(stands, v)
		}
	}
	return stands, ever
}

// permitting gives the oldest and the newest version that allow a handling; nil where none does.
func (j *judge) permitting(versions []*Version, h handling) (least, most *Version) {
	for _, v := range versions {
		if j.permits(v, h) {
			if least == nil {
				least = v
			}
			most = v
		}
	}
	return least, most
}

// notPermitted judges a handling that no version allows which may stand.
func (j *judge) notPermitted(h handling, configured bool) (denied int) {
	if h.service != "" {
		j.breach(ConfigNot, "%s sent %s%s to %s at %.3f, which only a refused, invalid or losing version allows", h.try.Machine, h.try.Host, h.try.Path, h.service, sec(h.atUs))
		return 0
	}
	if lo := j.oldest(h.try, h.atUs); lo != nil && h.denial == http.StatusUnauthorized {
		j.stake(ConfigOld)
		j.breach(ConfigOld, "%s refused %s with 401 at %.3f, and every version from %d on admits its key", h.try.Machine, h.try.ID, sec(h.atUs), lo.Number)
	}
	if (configured || h.denial == http.StatusUnauthorized) && j.t.within(h.try.Machine, h.try.SentUs, h.atUs) {
		j.stake(Denied)
		return 1
	}
	return 0
}

// notOlder: a machine in touch does not work by a version older than one that was acknowledged long enough ago.
func (j *judge) notOlder(h handling, stands []*Version, most *Version) {
	lo := j.oldest(h.try, h.atUs)
	if lo == nil {
		return
	}
	outdated := func(v *Version) bool { return v.Number < lo.Number && !j.permits(v, h) }
	if !j.permits(lo, h) || slices.ContainsFunc(stands, outdated) {
		j.stake(ConfigOld)
	}
	if most.Number < lo.Number {
		j.breach(ConfigOld, "%s handled %s %s%s (sent %.3f, at %.3f: %q) as version %d; %d was acknowledged at %.3f", h.try.Machine, h.try.ID, h.try.Host, h.try.Path,
			sec(h.try.SentUs), sec(h.atUs), h.what(), most.Number, lo.Number, sec(lo.AckedUs))
	}
}

// notBack: a process does not go back to a version older than one that it has worked by for long enough.
func (j *judge) notBack(h handling, least, most *Version, floors map[process]*floor) {
	key := process{h.try.Machine, h.try.Incarnation}
	f := floors[key]
	slackUs := j.Bounds.DowngradeUs
	if j.slowed(h.try.Machine, h.atUs) {
		slackUs *= slowedFactor
	}
	if f != nil && h.try.SentUs > f.atUs+slackUs && most.Number < f.version.Number {
		j.breach(ConfigBck, "%s handled %s %s%s (sent %.3f, at %.3f: %q) as version %d after it had worked by %d at %.3f (%s)", h.try.Machine, h.try.ID, h.try.Host, h.try.Path,
			sec(h.try.SentUs), sec(h.atUs), h.what(), most.Number, f.version.Number, sec(f.atUs), f.by)
	}
	if h.service != "" && (f == nil || least.Number > f.version.Number) {
		if f != nil {
			j.stake(ConfigBck)
		}
		floors[key] = &floor{least, h.atUs, h.try.ID}
	}
}

// deniedOtherwise counts the requests that machines in touch ended with a 3xx or 4xx of their own, other than those
// that have a rule of their own.
func (j *judge) deniedOtherwise() int {
	denied := 0
	for _, t := range j.Attempts {
		ended := t.Status/100 == 3 || (t.Status/100 == 4 && !slices.Contains([]int{http.StatusUnauthorized, 404, 408, 421, 429}, t.Status))
		if ended && len(j.arrivals[t.ID]) == 0 && j.t.within(t.Machine, t.SentUs, t.EndUs) && t.EndUs > t.SentUs {
			denied++
		}
	}
	return denied
}
