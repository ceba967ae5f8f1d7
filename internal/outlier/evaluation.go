package outlier

import (
	"cmp"
	"maps"
	"slices"
)

// candidate is a replica whose evidence has reached the threshold, for the gateways of one zone or, if zone is "", for all.
type candidate struct {
	replica       string
	zone          string
	evidenceRatio float64
	dead          bool
	// loadMayExplain is set where fewer than minDeadFailures failures are of classes that load does not cause.
	loadMayExplain bool
}

// Due reports whether evaluationIntervalUs has passed since the last evaluation.
func (d *Detector) Due(nowUs int64) bool { return nowUs-d.evaluatedUs >= evaluationIntervalUs }

// Evaluate updates the verdicts if they are due, and reports whether the table is to be published: it has changed, or it is
// not empty and was last published republishIntervalUs ago. replicas is the number of live replicas by service.
func (d *Detector) Evaluate(nowUs int64, epoch uint64, replicas map[string]int, isLive func(replica string) bool) bool {
	if !d.Due(nowUs) {
		return false
	}
	d.evaluatedUs = nowUs
	if d.table.Epoch < epoch {
		d.table.Epoch, d.table.Number = epoch, 0
	}
	d.singleGateway = len(d.gateways) == 1 && nowUs-d.firstReportUs >= singleGatewayUs
	for name, n := range replicas {
		d.serviceStatsOf(name).replicas = n
	}
	for gateway, atUs := range d.gateways {
		if nowUs-atUs > expiryUs {
			delete(d.gateways, gateway)
		}
	}
	for id, sus := range d.suspects {
		if !isLive(id) || (nowUs-sus.lastReportUs > expiryUs && len(sus.ejections) == 0) {
			delete(d.suspects, id)
		}
	}
	if nowUs-d.baselineUs >= baselineIntervalUs {
		d.baselineUs = nowUs
		d.updateBaselines()
	}
	if !d.opts.Disabled {
		for _, id := range slices.Sorted(maps.Keys(d.suspects)) {
			d.advanceProbation(nowUs, d.suspects[id])
		}
		d.ejectSuspects(nowUs)
	}
	rows := d.verdicts()
	if slices.Equal(rows, d.table.Rows) && (len(rows) == 0 || nowUs-d.publishedUs < republishIntervalUs) {
		return false
	}
	d.table.Rows, d.publishedUs = rows, nowUs
	d.table.Number++
	return true
}

// maxEjected returns how many replicas of a service may be ejected or on probation at once: none of a single one.
func (d *Detector) maxEjected(s *serviceStats) int {
	if s.replicas < 2 {
		return 0
	}
	return max(1, int(d.opts.MaxEjectedFraction*float64(s.replicas)))
}

// threshold returns the evidence that ejects a replica of a service, given the service's rate of attempts per replica.
func (d *Detector) threshold(s *serviceStats) float64 {
	rate := max(s.attemptsPerS, s.recent[0]/(float64(rateWindowUs)/1e6))
	return threshold(rate / float64(max(s.replicas, 1)) * float64(d.opts.FalseEjectionIntervalUs) / 1e6)
}

// advanceProbation moves a suspect whose ejection has expired to probation, moves one that passed a stage of probation to the
// next, and ejects one again that fails on probation.
func (d *Detector) advanceProbation(nowUs int64, sus *suspect) {
	limit := d.threshold(d.serviceStatsOf(sus.service)) / probationDivisor
	for zone, v := range sus.ejections {
		switch {
		case v.clearedUs > 0:
			if nowUs-v.clearedUs > 2*d.opts.MaxEjectionUs {
				delete(sus.ejections, zone)
			}
		case v.ejected && nowUs >= v.untilUs:
			*v = ejection{dead: v.dead, count: v.count, untilUs: nowUs + probationStageUs}
			clear(sus.zones)
		case v.ejected:
		case v.failureWeight >= limit:
			if v.relieved {
				sus.reliefFailedUs = nowUs
			}
			d.eject(nowUs, v, v.dead && v.successes == 0)
			clear(sus.zones)
		case v.relieved && nowUs >= v.untilUs:
			v.clearedUs = nowUs
		case v.passedStage(nowUs):
			v.stage, v.successes, v.failureWeight, v.untilUs = v.stage+1, 0, 0, nowUs+probationStageUs
			if v.stage >= len(probationPercents) {
				v.clearedUs = nowUs
			}
		case nowUs >= v.untilUs:
			v.failureWeight, v.untilUs = 0, nowUs+probationStageUs
		}
	}
}

// eject ejects a replica for BaseEjectionUs, doubled for each earlier ejection up to MaxEjectionUs.
func (d *Detector) eject(nowUs int64, v *ejection, dead bool) {
	durationUs := min(d.opts.BaseEjectionUs<<min(v.count, 8), d.opts.MaxEjectionUs)
	*v = ejection{ejected: true, dead: dead, count: v.count + 1, untilUs: nowUs + durationUs}
}

// relieve reduces a replica's load to the share of the last stage of probation. A replica that was late because of its load
// recovers; a faulty one continues to fail and is ejected.
func (d *Detector) relieve(nowUs int64, v *ejection) {
	*v = ejection{relieved: true, sinceUs: nowUs, count: v.count, stage: len(probationPercents) - 1, untilUs: nowUs + d.opts.MaxEjectionUs}
}

// reliefFailed reports whether the replica recently kept failing under reduced load: within reliefMemorySpans times
// MaxEjectionUs.
func (d *Detector) reliefFailed(nowUs int64, sus *suspect) bool {
	return sus.reliefFailedUs > 0 && nowUs-sus.reliefFailedUs <= reliefMemorySpans*d.opts.MaxEjectionUs
}

// ejectSuspects ejects or relieves the replicas whose evidence has reached the threshold, those with the most evidence first,
// up to maxEjected of each service. More than twice as many candidates mean that the service fails as a whole rather than
// single replicas: all evidence is then reset, and collected against a baseline that by then includes these failures.
func (d *Detector) ejectSuspects(nowUs int64) {
	byService := map[string][]candidate{}
	for _, id := range slices.Sorted(maps.Keys(d.suspects)) {
		sus := d.suspects[id]
		if sus.ejections[""].active() {
			continue
		}
		if c, isOutlier := d.evaluateSuspect(id, sus); isOutlier && !sus.ejections[c.zone].active() {
			byService[sus.service] = append(byService[sus.service], c)
		}
	}
	for name, candidates := range byService {
		svc := d.services[name]
		maxEjected := d.maxEjected(svc)
		if len(candidates) > 2*maxEjected {
			d.ServiceWideFailures++
			for _, sus := range d.suspects {
				if sus.service == name {
					clear(sus.zones)
				}
			}
			continue
		}
		slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.evidenceRatio, a.evidenceRatio) })
		for _, c := range candidates {
			if d.countActive(name, c.zone) >= maxEjected {
				continue
			}
			sus := d.suspects[c.replica]
			v := sus.ejections[c.zone]
			if v == nil {
				v = &ejection{}
				sus.ejections[c.zone] = v
			}
			if c.loadMayExplain && !d.reliefFailed(nowUs, sus) {
				d.relieve(nowUs, v)
			} else {
				d.eject(nowUs, v, c.dead)
			}
			if c.zone == "" {
				maps.DeleteFunc(sus.ejections, func(zone string, _ *ejection) bool { return zone != "" })
			}
			clear(sus.zones)
		}
	}
}

// countActive counts the replicas of a service that are ejected or on probation for the gateways of a zone or, if zone is "",
// for the gateways of any zone.
func (d *Detector) countActive(service, zone string) int {
	n := 0
	for _, sus := range d.suspects {
		if sus.service != service {
			continue
		}
		for z, v := range sus.ejections {
			if v.active() && (z == "" || zone == "" || z == zone) {
				n++
				break
			}
		}
	}
	return n
}

// evaluateSuspect sums up the evidence of all gateways and reports whether the replica is a candidate for ejection. One
// gateway's evidence is capped at the threshold divided by minGateways, so that a bad network link of one gateway ejects no
// replica; a gateway that has reported alone for singleGatewayUs is exempt. Evidence from gateways of one zone only ejects
// the replica for that zone only.
func (d *Detector) evaluateSuspect(id string, sus *suspect) (candidate, bool) {
	svc := d.serviceStatsOf(sus.service)
	limit := d.threshold(svc)
	gatewayLimit := limit / minGateways
	if d.singleGateway {
		gatewayLimit = limit
	}
	total, failures, attempts := 0.0, 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(sus.zones)) {
		e := sus.zones[zone]
		e.decayByTraffic(svc, zone)
		if e.total == 0 {
			delete(sus.zones, zone)
			continue
		}
		total, failures, attempts = total+e.total, failures+e.failures, attempts+(e.attempts-e.fromAttempts)/float64(max(svc.replicas, 1))
	}
	if total < limit {
		return candidate{}, false
	}
	worstZone, worstZoneTotal, cappedTotal := "", 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(sus.zones)) {
		zoneTotal := sus.zones[zone].cappedTotal(gatewayLimit)
		cappedTotal += zoneTotal
		if zoneTotal > worstZoneTotal {
			worstZone, worstZoneTotal = zone, zoneTotal
		}
	}
	found := candidate{
		replica:        id,
		dead:           failures >= max(deadFailureFraction*attempts, minDeadFailures),
		loadMayExplain: failures < minDeadFailures,
	}
	if cappedTotal >= limit && (cappedTotal-worstZoneTotal >= limit/4 || len(svc.attempts) == 1) {
		found.evidenceRatio = cappedTotal / limit
		return found, true
	}
	if worstZoneTotal >= limit {
		found.zone, found.evidenceRatio = worstZone, worstZoneTotal/limit
		return found, true
	}
	return candidate{}, false
}

// verdicts returns the rows of the table, sorted by replica and zone.
func (d *Detector) verdicts() []Verdict {
	rows := []Verdict(nil)
	for _, id := range slices.Sorted(maps.Keys(d.suspects)) {
		sus := d.suspects[id]
		for _, zone := range slices.Sorted(maps.Keys(sus.ejections)) {
			v := sus.ejections[zone]
			switch {
			case !v.active():
			case v.ejected:
				rows = append(rows, Verdict{id, zone, 0, v.dead})
			default:
				rows = append(rows, Verdict{id, zone, probationPercents[v.stage], false})
			}
		}
	}
	return rows
}
