package outlier

import (
	"maps"
	"slices"
)

// Report is what one gateway tells: Attempts are all that ended since its last, by service; Counts are of replicas
// where something failed, and of those on trial.
type Report struct {
	Gateway  string
	Zone     string
	Attempts map[string]int
	Counts   []Counts
}

// Fleet folds what all gateways tell, and judges.
type Fleet struct {
	opts      Options
	services  map[string]*service
	suspects  map[string]*suspect
	gateways  map[string]int64
	bornUs    int64
	alone     bool
	table     Table
	judgedUs  int64
	meansAtUs int64
	statedUs  int64
	Wide      uint64
}

// NewFleet is a fleet of which nothing has been told.
func NewFleet(opts Options) *Fleet {
	return &Fleet{opts: opts.filled(), services: map[string]*service{}, suspects: map[string]*suspect{}, gateways: map[string]int64{}}
}

// Inherit takes the verdicts of a predecessor as this one's own: whoever was out is tried again in a while.
func (f *Fleet) Inherit(nowUs int64, epoch uint64, t Table, serviceOf func(replica string) string) {
	if t.Epoch >= epoch {
		epoch = t.Epoch + 1
	}
	f.table = Table{Epoch: epoch, Rows: t.Rows}
	f.suspects = map[string]*suspect{}
	for _, r := range t.Rows {
		s := f.suspectOf(r.Replica, serviceOf(r.Replica))
		s.verdict[r.Zone] = &verdict{out: true, untilUs: nowUs + f.opts.OutUs, times: 1}
		s.atUs = nowUs
	}
}

// Table are the verdicts that stand, as Judge left them.
func (f *Fleet) Table() Table { return f.table }

// Kept says that a replica is kept from the gateways of all zones, wholly or in part.
func (f *Fleet) Kept(replica string) bool {
	s := f.suspects[replica]
	return s != nil && s.verdict[""].stands()
}

func (f *Fleet) serviceOf(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{attempts: map[string]float64{}}
		f.services[name] = s
	}
	return s
}

func (f *Fleet) suspectOf(replica, service string) *suspect {
	s := f.suspects[replica]
	if s == nil {
		s = &suspect{service: service, zones: map[string]*evidence{}, verdict: map[string]*verdict{}}
		f.suspects[replica] = s
	}
	return s
}

// Hear folds one gateway's report; serviceOf is "" for a replica that is not known. What a gateway's other attempts at
// a replica came to is not told: they count as good, as many as the replica's even part of what the gateway sent.
func (f *Fleet) Hear(nowUs int64, r Report, serviceOf func(replica string) string) {
	if len(f.gateways) == 0 {
		f.bornUs = nowUs
	}
	f.gateways[r.Gateway] = nowUs
	for name, n := range r.Attempts {
		s := f.serviceOf(name)
		s.turn(nowUs, f)
		s.attempts[r.Zone] += float64(n)
		s.recent[0] += float64(n)
	}
	for _, c := range r.Counts {
		name := serviceOf(c.Replica)
		if name == "" {
			continue
		}
		svc, sus := f.serviceOf(name), f.suspectOf(c.Replica, name)
		svc.turn(nowUs, f)
		sus.atUs = nowUs
		e := sus.zones[r.Zone]
		if e == nil {
			e = &evidence{scale: 1, gains: map[string]float64{}, attempts: svc.attempts[r.Zone]}
			sus.zones[r.Zone] = e
		}
		e.fade(svc, r.Zone)
		gain := 0.0
		for _, key := range slices.Sorted(maps.Keys(c.Bad)) {
			class, n := ClassOf(key), c.Bad[key]
			if !class.Bad() || n <= 0 {
				continue
			}
			if !class.soft() {
				e.bads += float64(n)
			}
			gain += float64(n) * weight(class, svc.share[class])
			sus.recent[0][class] += float64(n)
		}
		e.add(r.Gateway, c.Good, gain, f.threshold(svc))
		for _, zone := range []string{"", r.Zone} {
			if v := sus.verdict[zone]; v != nil && !v.out {
				v.goods += c.Good
				v.bads += gain
			}
		}
	}
}
