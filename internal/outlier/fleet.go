package outlier

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/clock"
)

// Options bound the verdicts. All may be left out.
type Options struct {
	// MostShare of a service's replicas may be out or on trial at once. The same share of those that fail
	// most is left out of the service's own mean, so that a few ill ones do not hide among themselves.
	MostShare float64
	// FalseUs is the time in which one sound replica may be suspected once for nothing.
	FalseUs int64
	// OutUs is how long a replica stays out the first time; it doubles up to OutMostUs.
	OutUs     int64
	OutMostUs int64
	// Off takes evidence and judges nobody.
	Off bool
}

const (
	mostShareUsual = 0.25
	falseUsual     = 600 * clock.Sec
	outUsual       = 2 * clock.Sec
	outMostUsual   = 8 * clock.Sec
	rateUs         = 5 * clock.Sec
	judgeUs        = 100 * clock.Ms
	trialUs        = 2 * clock.Sec
	meansUs        = 500 * clock.Ms
	trialGoods     = 8
	restateUs      = 10 * clock.Sec
	forgetUs       = 60 * clock.Sec
	// desksLeast must hold something against a replica before it is ill, where there are as many.
	desksLeast = 2
	aloneUs    = 10 * clock.Sec
	// trialPart is the part of the threshold that sends one on trial out again: it was ill a moment ago.
	trialPart = 4
	// deadPart of the legs at a replica must have failed, and deadLeast of them, for it to be taken as dead.
	deadPart  = 0.7
	deadLeast = 3
)

// trials are the shares, in 100, by which a replica comes back.
var trials = []int{3, 12, 40}

func (o Options) filled() Options {
	if o.MostShare == 0 {
		o.MostShare = mostShareUsual
	}
	if o.FalseUs == 0 {
		o.FalseUs = falseUsual
	}
	if o.OutUs == 0 {
		o.OutUs = outUsual
	}
	if o.OutMostUs == 0 {
		o.OutMostUs = outMostUsual
	}
	return o
}

// Report is what one desk tells: Legs are all that ended since its last, by service; Counts are of replicas
// where something failed, and of those on trial.
type Report struct {
	Desk   string
	Zone   string
	Legs   map[string]int
	Counts []Counts
}

// evidence is what the desks of one zone hold against one replica: one cumulative sum, and by desk what they
// brought to it since it was last nothing, in parts of scale.
type evidence struct {
	total float64
	scale float64
	gains map[string]float64
	legs  float64
	// bads failed since the sum was last nothing, of about as many legs as were sent since fromLegs.
	bads     float64
	fromLegs float64
}

// less takes off what good legs are worth, from every desk's part alike.
func (e *evidence) less(worth float64) {
	if e.total <= worth {
		e.total, e.scale, e.bads = 0, 1, 0
		clear(e.gains)
		return
	}
	e.scale *= (e.total - worth) / e.total
	e.total -= worth
}

// fade takes off what the zone's other legs at the replica are worth: nobody tells of them, so that they are
// as many as its even part of what the zone's desks sent.
func (e *evidence) fade(s *service, zone string) {
	e.less((s.legs[zone] - e.legs) / float64(max(s.replicas, 1)) * -weight(Good, 0))
	e.legs = s.legs[zone]
	if e.total == 0 {
		e.fromLegs = e.legs
	}
}

// add takes one desk's report: its good legs there answer what it said before, not what other desks say.
func (e *evidence) add(desk string, good int, gain, most float64) {
	had := e.gains[desk] * e.scale
	now := min(max(0, had+float64(good)*weight(Good, 0))+gain, most)
	e.total = max(0, e.total+now-had)
	if now > 0 {
		e.gains[desk] = now / e.scale
	} else {
		delete(e.gains, desk)
	}
}

// capped is the sum with no desk's part above most.
func (e *evidence) capped(most float64) (sum float64) {
	for _, desk := range slices.Sorted(maps.Keys(e.gains)) {
		sum += min(e.gains[desk]*e.scale, most)
	}
	return sum
}

// suspect is what is known against one replica.
type suspect struct {
	service string
	zones   map[string]*evidence
	verdict map[string]*verdict
	recent  [2][classes]float64
	atUs    int64
}

type verdict struct {
	out     bool
	dead    bool
	untilUs int64
	stage   int
	goods   int
	bads    float64
	times   int
	clearUs int64
}

// service is the mean that its replicas are judged against.
type service struct {
	legs     map[string]float64
	recent   [2]float64
	turnUs   int64
	share    [classes]float64
	replicas int
	rate     float64
}

// Fleet folds what all desks tell, and judges.
type Fleet struct {
	opts      Options
	services  map[string]*service
	suspects  map[string]*suspect
	desks     map[string]int64
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
	return &Fleet{opts: opts.filled(), services: map[string]*service{}, suspects: map[string]*suspect{}, desks: map[string]int64{}}
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

// Kept says that a replica is kept from the desks of all zones, wholly or in part.
func (f *Fleet) Kept(replica string) bool {
	s := f.suspects[replica]
	return s != nil && s.verdict[""].stands()
}

func (f *Fleet) serviceOf(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{legs: map[string]float64{}}
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

// Hear folds one desk's report; serviceOf is "" for a replica that is not known. What a desk's other legs at
// a replica came to is not told: they count as good, as many as the replica's even part of what the desk sent.
func (f *Fleet) Hear(nowUs int64, r Report, serviceOf func(replica string) string) {
	if len(f.desks) == 0 {
		f.bornUs = nowUs
	}
	f.desks[r.Desk] = nowUs
	for name, n := range r.Legs {
		s := f.serviceOf(name)
		s.turn(nowUs, f)
		s.legs[r.Zone] += float64(n)
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
			e = &evidence{scale: 1, gains: map[string]float64{}, legs: svc.legs[r.Zone]}
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
		e.add(r.Desk, c.Good, gain, f.threshold(svc))
		for _, zone := range []string{"", r.Zone} {
			if v := sus.verdict[zone]; v != nil && !v.out {
				v.goods += c.Good
				v.bads += gain
			}
		}
	}
}

// turn begins a new span of counts now and then, and works out the mean anew.
func (s *service) turn(nowUs int64, f *Fleet) {
	if s.turnUs == 0 {
		s.turnUs = nowUs
	}
	if nowUs-s.turnUs < rateUs {
		return
	}
	s.rate = s.recent[0] / (float64(nowUs-s.turnUs) / 1e6)
	s.turnUs = nowUs
	s.recent = [2]float64{0, s.recent[0]}
	for _, sus := range f.suspects {
		if f.services[sus.service] == s {
			sus.recent = [2][classes]float64{{}, sus.recent[0]}
		}
	}
}

// means sets each service's share of every class over the last spans, without the replicas that fail most.
func (f *Fleet) means() {
	by := map[string][]*suspect{}
	for _, sus := range f.suspects {
		by[sus.service] = append(by[sus.service], sus)
	}
	for name, s := range f.services {
		all := by[name]
		legs := s.recent[0] + s.recent[1]
		for c := Good + 1; c < Inconclusive; c++ {
			counts := []float64{}
			for _, sus := range all {
				counts = append(counts, sus.recent[0][c]+sus.recent[1][c])
			}
			slices.SortFunc(counts, func(a, b float64) int { return cmp.Compare(b, a) })
			sum := 0.0
			for _, n := range counts[min(len(counts), f.most(s)):] {
				sum += n
			}
			s.share[c] = 0
			if legs > 0 {
				s.share[c] = min(sum/legs, 1)
			}
		}
	}
}

// most is how many replicas of a service may be out or on trial at once.
func (f *Fleet) most(s *service) int {
	if s.replicas < 2 {
		return 0
	}
	return max(1, int(f.opts.MostShare*float64(s.replicas)))
}

// found is a replica whose evidence has passed the threshold, for the desks of one zone or for all.
type found struct {
	replica string
	zone    string
	over    float64
	dead    bool
}

// Due says whether the verdicts are to be worked out again.
func (f *Fleet) Due(nowUs int64) bool { return nowUs-f.judgedUs >= judgeUs }

// Judge works out the verdicts; replicas counts those of each service that live. It is true where the table
// is news.
func (f *Fleet) Judge(nowUs int64, epoch uint64, replicas map[string]int, lives func(replica string) bool) bool {
	if !f.Due(nowUs) {
		return false
	}
	f.judgedUs = nowUs
	if f.table.Epoch < epoch {
		f.table.Epoch, f.table.Number = epoch, 0
	}
	f.alone = len(f.desks) == 1 && nowUs-f.bornUs >= aloneUs
	for name, n := range replicas {
		f.serviceOf(name).replicas = n
	}
	for desk, atUs := range f.desks {
		if nowUs-atUs > forgetUs {
			delete(f.desks, desk)
		}
	}
	for id, sus := range f.suspects {
		if !lives(id) || (nowUs-sus.atUs > forgetUs && len(sus.verdict) == 0) {
			delete(f.suspects, id)
		}
	}
	if nowUs-f.meansAtUs >= meansUs {
		f.meansAtUs = nowUs
		f.means()
	}
	if !f.opts.Off {
		for _, id := range slices.Sorted(maps.Keys(f.suspects)) {
			f.progress(nowUs, f.suspects[id])
		}
		f.condemn(nowUs)
	}
	rows := f.rows()
	if slices.Equal(rows, f.table.Rows) && (len(rows) == 0 || nowUs-f.statedUs < restateUs) {
		return false
	}
	f.table.Rows, f.statedUs = rows, nowUs
	f.table.Number++
	return true
}

func (f *Fleet) threshold(s *service) float64 {
	rate := max(s.rate, s.recent[0]/(float64(rateUs)/1e6))
	return threshold(rate / float64(max(s.replicas, 1)) * float64(f.opts.FalseUs) / 1e6)
}

// progress tries those again whose time out is over, and lets those rise who do well.
func (f *Fleet) progress(nowUs int64, sus *suspect) {
	limit := f.threshold(f.serviceOf(sus.service)) / trialPart
	for zone, v := range sus.verdict {
		switch {
		case v.clearUs > 0:
			if nowUs-v.clearUs > 2*f.opts.OutMostUs {
				delete(sus.verdict, zone)
			}
		case v.out && nowUs >= v.untilUs:
			*v = verdict{dead: v.dead, times: v.times, untilUs: nowUs + trialUs}
			clear(sus.zones)
		case v.out:
		case v.bads >= limit:
			f.expel(nowUs, v, v.dead && v.goods == 0)
			clear(sus.zones)
		case v.goods >= trialGoods || (nowUs >= v.untilUs && v.bads == 0):
			v.stage, v.goods, v.bads, v.untilUs = v.stage+1, 0, 0, nowUs+trialUs
			if v.stage >= len(trials) {
				v.clearUs = nowUs
			}
		case nowUs >= v.untilUs:
			v.bads, v.untilUs = 0, nowUs+trialUs
		}
	}
}

func (f *Fleet) expel(nowUs int64, v *verdict, dead bool) {
	spanUs := min(f.opts.OutUs<<min(v.times, 8), f.opts.OutMostUs)
	*v = verdict{out: true, dead: dead, times: v.times + 1, untilUs: nowUs + spanUs}
}

func (v *verdict) stands() bool { return v != nil && v.clearUs == 0 }

// condemn takes out whoever has passed the threshold, the plainest first, within the share that may be out.
// Where far more have passed than that, what fails is not the replicas: all evidence begins anew, against a
// mean that by then shows it.
func (f *Fleet) condemn(nowUs int64) {
	by := map[string][]found{}
	for _, id := range slices.Sorted(maps.Keys(f.suspects)) {
		sus := f.suspects[id]
		if sus.verdict[""].stands() {
			continue
		}
		if one, ill := f.ill(id, sus); ill && !sus.verdict[one.zone].stands() {
			by[sus.service] = append(by[sus.service], one)
		}
	}
	for name, all := range by {
		svc := f.services[name]
		most := f.most(svc)
		if len(all) > 2*most {
			f.Wide++
			for _, sus := range f.suspects {
				if sus.service == name {
					clear(sus.zones)
				}
			}
			continue
		}
		slices.SortStableFunc(all, func(a, b found) int { return cmp.Compare(b.over, a.over) })
		for _, one := range all {
			if f.standing(name, one.zone) >= most {
				continue
			}
			sus := f.suspects[one.replica]
			v := sus.verdict[one.zone]
			if v == nil {
				v = &verdict{}
				sus.verdict[one.zone] = v
			}
			f.expel(nowUs, v, one.dead)
			if one.zone == "" {
				maps.DeleteFunc(sus.verdict, func(zone string, _ *verdict) bool { return zone != "" })
			}
			clear(sus.zones)
		}
	}
}

// standing counts the replicas of a service that desks of a zone, or all of them, are kept from.
func (f *Fleet) standing(service, zone string) int {
	n := 0
	for _, sus := range f.suspects {
		if sus.service != service {
			continue
		}
		for z, v := range sus.verdict {
			if v.stands() && (z == "" || zone == "" || z == zone) {
				n++
				break
			}
		}
	}
	return n
}

// ill adds the evidence of desks. One desk's weighs no more than a share of the threshold, so that a bad
// link of one condemns nobody; and what only desks of one zone found holds for that zone alone.
func (f *Fleet) ill(id string, sus *suspect) (found, bool) {
	svc := f.serviceOf(sus.service)
	limit := f.threshold(svc)
	most := limit / desksLeast
	if f.alone {
		most = limit
	}
	whole, bads, legs := 0.0, 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(sus.zones)) {
		e := sus.zones[zone]
		e.fade(svc, zone)
		if e.total == 0 {
			delete(sus.zones, zone)
			continue
		}
		whole, bads, legs = whole+e.total, bads+e.bads, legs+(e.legs-e.fromLegs)/float64(max(svc.replicas, 1))
	}
	if whole < limit {
		return found{}, false
	}
	worst, worstSum, sum := "", 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(sus.zones)) {
		part := sus.zones[zone].capped(most)
		sum += part
		if part > worstSum {
			worst, worstSum = zone, part
		}
	}
	if sum >= limit && (sum-worstSum >= limit/4 || len(svc.legs) == 1) {
		return found{id, "", sum / limit, bads >= max(deadPart*legs, deadLeast)}, true
	}
	if worstSum >= limit {
		return found{id, worst, worstSum / limit, bads >= max(deadPart*legs, deadLeast)}, true
	}
	return found{}, false
}

func (f *Fleet) rows() []Row {
	rows := []Row(nil)
	for _, id := range slices.Sorted(maps.Keys(f.suspects)) {
		sus := f.suspects[id]
		for _, zone := range slices.Sorted(maps.Keys(sus.verdict)) {
			v := sus.verdict[zone]
			switch {
			case !v.stands():
			case v.out:
				rows = append(rows, Row{id, zone, 0, v.dead})
			default:
				rows = append(rows, Row{id, zone, trials[v.stage], false})
			}
		}
	}
	return rows
}
