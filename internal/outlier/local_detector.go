package outlier

import (
	"maps"
	"math"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// localFalseEjectionIntervalUs is the time in which one gateway may eject one replica of a service by chance once.
	localFalseEjectionIntervalUs = 60 * clock.Sec
	// localBaseEjectionUs is how long the first ejection lasts; it doubles up to localMaxEjectionUs.
	localBaseEjectionUs = 1 * clock.Sec
	localMaxEjectionUs  = 8 * clock.Sec
	// localMinThreshold is the least evidence that ejects.
	localMinThreshold = 2.0
	// localRateAttempts is the number of attempts over which a service's failure rates are smoothed.
	localRateAttempts = 512.0
	// localIntervalAttempts is the number of attempts over which the time between two is smoothed.
	localIntervalAttempts = 64
	// localMaxDoublings is how often the time out doubles at the most.
	localMaxDoublings = 4
	// localMaxSuccesses bounds the successes that one report counts for a replica.
	localMaxSuccesses = 128
	// localExpiryUs is how long a replica is remembered that nothing was sent to.
	localExpiryUs = 30 * clock.Sec
)

// localReplica is one replica as one gateway sees it.
type localReplica struct {
	service        string
	evidence       float64
	ejectedUntilUs int64
	ejections      int
	lastAttemptUs  int64
	counts         Counts
}

// LocalDetector is one gateway's own sight of replicas: it keeps off those that failed it for a moment, whatever the
// cause, and counts what the controller is told.
type LocalDetector struct {
	opts     Options
	replicas map[string]*localReplica
	attempts map[string]int
	// failureRates is of each service's classes over about localRateAttempts attempts, all replicas together.
	failureRates      map[string]*[classCount]float64
	attemptIntervalUs map[string]float64
	lastAttemptUs     map[string]int64
	unreportedFailure bool
	anyEjectedUntilUs int64
}

// NewLocalDetector is the sight of a gateway that has sent nothing.
func NewLocalDetector(opts Options) *LocalDetector {
	return &LocalDetector{
		opts: opts.withDefaults(), replicas: map[string]*localReplica{}, attempts: map[string]int{}, failureRates: map[string]*[classCount]float64{},
		attemptIntervalUs: map[string]float64{}, lastAttemptUs: map[string]int64{},
	}
}

// Record takes what became of an attempt. Of is how many replicas the service has; repeated evidence against one
// keeps this gateway off it for a time that doubles, and a good attempt ends it.
func (l *LocalDetector) Record(nowUs int64, service, replica string, class Class, replicaCount int) {
	if class != Success && !class.IsFailure() {
		return
	}
	r := l.replica(service, replica)
	r.lastAttemptUs = nowUs
	l.attempts[service]++
	r.evidence = max(0, r.evidence+l.score(service, class))
	l.recordInterval(nowUs, service)
	if class == Success {
		r.recordSuccess(nowUs)
		return
	}
	r.recordFailure(class)
	if class == Shed || class == Slow || l.opts.Disabled {
		return
	}
	l.unreportedFailure = true
	l.eject(nowUs, service, r, replicaCount)
}

// replica is one replica as this gateway sees it.
func (l *LocalDetector) replica(service, id string) *localReplica {
	r := l.replicas[id]
	if r == nil {
		r = &localReplica{service: service, counts: Counts{Replica: id}}
		l.replicas[id] = r
	}
	return r
}

// score gives the weight of an attempt's outcome against the mean of its service as it was before, and takes it
// into the mean.
func (l *LocalDetector) score(service string, class Class) float64 {
	rates := l.failureRates[service]
	if rates == nil {
		rates = &[classCount]float64{}
		l.failureRates[service] = rates
	}
	gain := weight(class, rates[class])
	for c := Success; c < Inconclusive; c++ {
		observed := 0.0
		if c == class {
			observed = 1
		}
		rates[c] += (observed - rates[c]) / localRateAttempts
	}
	return gain
}

// recordInterval smooths the time between two attempts of a service.
func (l *LocalDetector) recordInterval(nowUs int64, service string) {
	if lastUs := l.lastAttemptUs[service]; lastUs > 0 {
		l.attemptIntervalUs[service] += (float64(nowUs-lastUs) - l.attemptIntervalUs[service]) / localIntervalAttempts
	}
	l.lastAttemptUs[service] = nowUs
}

// recordSuccess counts a good attempt; it ends the time out once that is over.
func (r *localReplica) recordSuccess(nowUs int64) {
	r.counts.Successes = min(r.counts.Successes+1, localMaxSuccesses)
	if nowUs >= r.ejectedUntilUs {
		r.ejections, r.ejectedUntilUs = 0, 0
	}
}

// recordFailure counts an attempt that failed.
func (r *localReplica) recordFailure(class Class) {
	if r.counts.Failures == nil {
		r.counts.Failures = map[string]int{}
	}
	r.counts.Failures[class.String()]++
}

// eject keeps this gateway off a replica where the evidence against it is enough, unless too many others of its
// service are out already.
func (l *LocalDetector) eject(nowUs int64, service string, r *localReplica, replicaCount int) {
	limit := l.threshold(service, replicaCount)
	if r.evidence < limit || replicaCount <= 1 {
		return
	}
	if nowUs >= r.ejectedUntilUs && l.countEjected(nowUs, service) >= max(1, int(l.opts.MaxEjectedFraction*float64(replicaCount))) {
		return
	}
	r.ejectedUntilUs = nowUs + min(localBaseEjectionUs<<min(r.ejections, localMaxDoublings), localMaxEjectionUs)
	r.ejections++
	r.evidence = limit / 2
	l.anyEjectedUntilUs = max(l.anyEjectedUntilUs, r.ejectedUntilUs)
}

// threshold is the evidence that chance alone brings up once in localFalseEjectionIntervalUs, in all replicas of a service together.
func (l *LocalDetector) threshold(service string, replicaCount int) float64 {
	intervalUs := l.attemptIntervalUs[service]
	if intervalUs <= 0 {
		return localMinThreshold
	}
	return max(localMinThreshold, math.Log(float64(localFalseEjectionIntervalUs)/(intervalUs*float64(max(replicaCount, 1)))))
}

// Ejected says that this gateway keeps off a replica now.
func (l *LocalDetector) Ejected(nowUs int64, replica string) bool {
	if nowUs >= l.anyEjectedUntilUs {
		return false
	}
	r := l.replicas[replica]
	return r != nil && nowUs < r.ejectedUntilUs
}

// AnyEjected says that this gateway keeps off some replica now.
func (l *LocalDetector) AnyEjected(nowUs int64) bool { return nowUs < l.anyEjectedUntilUs }

// countEjected counts the replicas of a service that this gateway keeps off now.
func (l *LocalDetector) countEjected(nowUs int64, service string) int {
	n := 0
	for _, r := range l.replicas {
		if r.service == service && nowUs < r.ejectedUntilUs {
			n++
		}
	}
	return n
}

// HasUnreportedFailures is true where something failed outright that has not been told.
func (l *LocalDetector) HasUnreportedFailures() bool { return l.unreportedFailure }

// TakeReport gives what has been counted since it was last asked: attempts by service, and the counts of replicas where
// something failed or that are on trial.
func (l *LocalDetector) TakeReport(nowUs int64, onProbation func(replica string) bool) (attempts map[string]int, counts []Counts) {
	attempts, l.attempts, l.unreportedFailure = l.attempts, map[string]int{}, false
	for _, id := range slices.Sorted(maps.Keys(l.replicas)) {
		r := l.replicas[id]
		if len(r.counts.Failures) > 0 || (r.counts.Successes > 0 && onProbation(id)) {
			counts = append(counts, r.counts)
		}
		if len(r.counts.Failures) > 0 || onProbation(id) {
			r.counts = Counts{Replica: id}
		}
		if nowUs-r.lastAttemptUs > localExpiryUs {
			delete(l.replicas, id)
		}
	}
	return attempts, counts
}
