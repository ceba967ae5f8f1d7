package outlier

import (
	"cmp"
	"maps"
	"slices"
)

// found is a replica whose evidence has passed the threshold, for the gateways of one zone or for all.
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
	f.alone = len(f.gateways) == 1 && nowUs-f.bornUs >= aloneUs
	for name, n := range replicas {
		f.serviceOf(name).replicas = n
	}
	for gateway, atUs := range f.gateways {
		if nowUs-atUs > forgetUs {
			delete(f.gateways, gateway)
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

// most is how many replicas of a service may be out or on trial at once.
func (f *Fleet) most(s *service) int {
	if s.replicas < 2 {
		return 0
	}
	return max(1, int(f.opts.MostShare*float64(s.replicas)))
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

// standing counts the replicas of a service that gateways of a zone, or all of them, are kept from.
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

// ill adds the evidence of gateways. One gateway's weighs no more than a share of the threshold, so that a bad
// link of one condemns nobody; and what only gateways of one zone found holds for that zone alone.
func (f *Fleet) ill(id string, sus *suspect) (found, bool) {
	svc := f.serviceOf(sus.service)
	limit := f.threshold(svc)
	most := limit / gatewaysLeast
	if f.alone {
		most = limit
	}
	whole, bads, attempts := 0.0, 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(sus.zones)) {
		e := sus.zones[zone]
		e.fade(svc, zone)
		if e.total == 0 {
			delete(sus.zones, zone)
			continue
		}
		whole, bads, attempts = whole+e.total, bads+e.bads, attempts+(e.attempts-e.fromAttempts)/float64(max(svc.replicas, 1))
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
	if sum >= limit && (sum-worstSum >= limit/4 || len(svc.attempts) == 1) {
		return found{id, "", sum / limit, bads >= max(deadPart*attempts, deadLeast)}, true
	}
	if worstSum >= limit {
		return found{id, worst, worstSum / limit, bads >= max(deadPart*attempts, deadLeast)}, true
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
