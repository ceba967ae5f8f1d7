package outlier

import (
	"maps"
	"slices"
)

// Report is what one gateway reports. Attempts counts, by service, all attempts that ended since its previous report. Counts
// has the outcomes at replicas with failures and at those on probation.
type Report struct {
	Gateway  string
	Zone     string
	Attempts map[string]int
	Counts   []Counts
}

// Detector combines the reports of all gateways and decides which replicas are ejected. It is not safe for concurrent use.
type Detector struct {
	opts                Options
	services            map[string]*serviceStats
	suspects            map[string]*suspect
	gateways            map[string]int64
	firstReportUs       int64
	singleGateway       bool
	table               Table
	evaluatedUs         int64
	baselineUs          int64
	publishedUs         int64
	ServiceWideFailures uint64
}

// NewDetector returns a detector that has received no reports.
func NewDetector(opts Options) *Detector {
	return &Detector{opts: opts.withDefaults(), services: map[string]*serviceStats{}, suspects: map[string]*suspect{}, gateways: map[string]int64{}}
}

// Inherit adopts the verdicts of the predecessor's table in a new epoch. Every replica in the table, also one that was on
// probation, is ejected for BaseEjectionUs and then goes through probation.
func (d *Detector) Inherit(nowUs int64, epoch uint64, predecessor Table, serviceOf func(replica string) string) {
	if predecessor.Epoch >= epoch {
		epoch = predecessor.Epoch + 1
	}
	d.table = Table{Epoch: epoch, Rows: predecessor.Rows}
	d.suspects = map[string]*suspect{}
	for _, r := range predecessor.Rows {
		s := d.suspectOf(r.Replica, serviceOf(r.Replica))
		s.ejections[r.Zone] = &ejection{ejected: true, untilUs: nowUs + d.opts.BaseEjectionUs, count: 1}
		s.lastReportUs = nowUs
	}
}

// Table returns the current verdicts, as of the last call of Evaluate.
func (d *Detector) Table() Table { return d.table }

// Ejected reports whether a replica is ejected or on probation for the gateways of all zones.
func (d *Detector) Ejected(replica string) bool {
	s := d.suspects[replica]
	return s != nil && s.ejections[""].active()
}

func (d *Detector) serviceStatsOf(name string) *serviceStats {
	s := d.services[name]
	if s == nil {
		s = &serviceStats{attempts: map[string]float64{}}
		d.services[name] = s
	}
	return s
}

func (d *Detector) suspectOf(replica, service string) *suspect {
	s := d.suspects[replica]
	if s == nil {
		s = &suspect{service: service, zones: map[string]*evidence{}, ejections: map[string]*ejection{}}
		d.suspects[replica] = s
	}
	return s
}

// AddReport adds one gateway's report; serviceOf returns "" for an unknown replica. Reports leave out the attempts at replicas
// without failures. These count as successes, on the assumption that the gateway spread its attempts evenly over the replicas.
func (d *Detector) AddReport(nowUs int64, r Report, serviceOf func(replica string) string) {
	if len(d.gateways) == 0 {
		d.firstReportUs = nowUs
	}
	d.gateways[r.Gateway] = nowUs
	for name, n := range r.Attempts {
		s := d.serviceStatsOf(name)
		s.rotate(nowUs, d)
		s.attempts[r.Zone] += float64(n)
		s.recent[0] += float64(n)
	}
	for _, c := range r.Counts {
		name := serviceOf(c.Replica)
		if name == "" {
			continue
		}
		svc, sus := d.serviceStatsOf(name), d.suspectOf(c.Replica, name)
		svc.rotate(nowUs, d)
		sus.lastReportUs = nowUs
		e := sus.zones[r.Zone]
		if e == nil {
			e = &evidence{scale: 1, byGateway: map[string]float64{}, attempts: svc.attempts[r.Zone]}
			sus.zones[r.Zone] = e
		}
		e.decayByTraffic(svc, r.Zone)
		gain, loadGain := 0.0, 0.0
		for _, key := range slices.Sorted(maps.Keys(c.Failures)) {
			class, n := ParseClass(key), c.Failures[key]
			if !class.IsFailure() || n <= 0 {
				continue
			}
			weighted := float64(n) * weight(class, svc.failureRates[class])
			if class.canResultFromLoad() {
				loadGain += weighted
			} else {
				gain += weighted
				e.failures += float64(n)
			}
			sus.recent[0][class] += float64(n)
		}
		e.add(r.Gateway, c.Successes, gain+loadGain, d.threshold(svc))
		for _, zone := range []string{"", r.Zone} {
			if v := sus.ejections[zone]; v.onProbation() {
				v.addProbation(nowUs, c.Successes, gain, loadGain)
			}
		}
	}
}
