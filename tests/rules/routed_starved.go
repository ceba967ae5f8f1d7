package rules

import (
	"math"
	"net/http"
	"slices"
)

const (
	// minClass is how many requests of a class it takes to judge it, minClassRatio the part of the share of all that are
	// served which its own may not fall below.
	minClass      = 40
	minClassRatio = 1.0 / 4
	// minNever is how many requests over which time it takes to judge that something is never served.
	minNever      = 4
	neverServedUs = 8_000_000
	// neverChance is how many times what chance brings up may be served never, beside the few that always may.
	neverChance = 3
)

// servedRow counts the requests for one thing: those asked, those served, and when the first and the last were sent.
type servedRow struct {
	asked, served int
	firstUs       int64
	lastUs        int64
}

func (r *servedRow) share() float64 { return float64(r.served) / float64(r.asked) }

// servedRows are such counts by name.
type servedRows map[string]*servedRow

func (rows servedRows) add(name string, t *Attempt) {
	r := rows[name]
	if r == nil {
		r = &servedRow{firstUs: t.SentUs}
		rows[name] = r
	}
	r.asked++
	r.lastUs = t.SentUs
	if t.Served() {
		r.served++
	}
}

// servedCounts are the counts of a day: all, by class, and by what was asked for; classOf gives a subject's class.
type servedCounts struct {
	all                                 servedRow
	classes, models, adapters, subjects servedRows
	classOf                             map[string]string
}

// starved: no class of request may be served less than a quarter as often as all; few models, adapters and
// subjects that are asked for through the day may be served never.
func (j *judge) starved() {
	beyond := j.beyondLimits()
	c := j.countServed(beyond)
	for name, r := range c.classes {
		if r.asked < minClass {
			continue
		}
		j.stake(Starved)
		if r.share() < c.all.share()*minClassRatio {
			j.breach(Starved, "%d of %d %s were served, %d of %d of all", r.served, r.asked, name, c.all.served, c.all.asked)
		}
	}
	j.starvedTenants(c, beyond)
	j.never(c, "models", c.models, 1, 0.1)
	j.never(c, "adapters", c.adapters, 1, 0.1)
	j.never(c, "subjects", c.subjects, 2, 0.04)
}

// countServed counts the requests of a day but for probes, those whose client hung up, and those refused that are beyond a limit.
func (j *judge) countServed(beyond map[string]bool) *servedCounts {
	c := &servedCounts{classes: servedRows{}, models: servedRows{}, adapters: servedRows{}, subjects: servedRows{}, classOf: map[string]string{}}
	for _, t := range j.Attempts {
		if t.Probe || t.HungUp || t.Status == http.StatusTooManyRequests && beyond[t.ID] {
			continue
		}
		c.all.asked++
		if t.Served() {
			c.all.served++
		}
		c.classes.add(t.Class, t)
		if t.Model != "" {
			c.models.add(t.Model, t)
		}
		if t.Adapter != "" {
			c.adapters.add(t.Model+"/"+t.Adapter, t)
		}
		if t.Subject != "" {
			subject := t.Class + " " + t.Subject
			c.subjects.add(subject, t)
			c.classOf[subject] = t.Class
		}
	}
	return c
}

// never: of what was asked for through the day, only so many may be served never: a few, a share, and what chance
// brings up by how often their class is served.
func (j *judge) never(c *servedCounts, what string, rows servedRows, few, share float64) {
	none, asked, chance := []string{}, 0, 0.0
	for name, r := range rows {
		if r.asked < minNever || r.lastUs-r.firstUs < neverServedUs {
			continue
		}
		asked++
		if class := c.classes[c.classOf[name]]; class != nil {
			chance += math.Pow(1-class.share(), float64(r.asked))
		}
		if r.served == 0 {
			none = append(none, name)
		}
	}
	if asked > 0 {
		j.stake(Starved)
	}
	if float64(len(none)) > few+float64(asked)*share+neverChance*chance {
		slices.Sort(none)
		j.breach(Starved, "%d of %d %s were never served: %v", len(none), asked, what, none)
	}
}
