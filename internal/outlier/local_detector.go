package outlier

import (
	"maps"
	"math"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// localFalseEjectionIntervalUs is the time in which one gateway may eject one replica of a service once by chance.
	localFalseEjectionIntervalUs = 60 * clock.Sec
	// localBaseEjectionUs is how long the first ejection lasts; it doubles up to localMaxEjectionUs.
	localBaseEjectionUs = 1 * clock.Sec
	localMaxEjectionUs  = 8 * clock.Sec
	// localMinThreshold is the lower bound of the evidence that ejects a replica.
	localMinThreshold = 2.0
	// localRateAttempts is the number of attempts over which a service's failure rates are smoothed.
	localRateAttempts = 512.0
	// localIntervalAttempts is the number of attempts over which the interval between attempts is smoothed.
	localIntervalAttempts = 64
	// localMaxDoublings is how many times the duration of an ejection doubles at most.
	localMaxDoublings = 4
	// localMaxSuccesses bounds the successes that one report counts for a replica.
	localMaxSuccesses = 128
	// localExpiryUs is how long a replica is kept after its last attempt.
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

// LocalDetector is the outlier detector of one gateway. It ejects replicas that fail this gateway's attempts, for seconds and
// whatever the cause, and counts the outcomes that are reported to the controller.
type LocalDetector struct {
	opts     Options
	replicas map[string]*localReplica
	attempts map[string]int
	// failureRates has the smoothed rate of each class by service, over about localRateAttempts attempts at all its replicas.
	failureRates      map[string]*[classCount]float64
	attemptIntervalUs map[string]float64
	lastAttemptUs     map[string]int64
	unreportedFailure bool
	anyEjectedUntilUs int64
}

// NewLocalDetector returns a detector that has recorded no attempts.
func NewLocalDetector(opts Options) *LocalDetector {
	return &LocalDetector{
		opts: opts.withDefaults(), replicas: map[string]*localReplica{}, attempts: map[string]int{}, failureRates: map[string]*[classCount]float64{},
		attemptIntervalUs: map[string]float64{}, lastAttemptUs: map[string]int64{},
	}
}

// Record records the outcome of an attempt; replicaCount is the number of replicas of the service. Enough evidence ejects the
// replica for this gateway, for a time that doubles with each further ejection. A success after that time resets it.
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

// replica returns the state of a replica, which it creates if there is none.
func (l *LocalDetector) replica(service, id string) *localReplica {
	r := l.replicas[id]
	if r == nil {
		r = &localReplica{service: service, counts: Counts{Replica: id}}
		l.replicas[id] = r
	}
	return r
}

// score returns the weight of an attempt's outcome relative to the failure rates of its service, and then updates these rates
// with the outcome.
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

// recordInterval updates the smoothed interval between attempts at a service.
func (l *LocalDetector) recordInterval(nowUs int64, service string) {
	if lastUs := l.lastAttemptUs[service]; lastUs > 0 {
		l.attemptIntervalUs[service] += (float64(nowUs-lastUs) - l.attemptIntervalUs[service]) / localIntervalAttempts
	}
	l.lastAttemptUs[service] = nowUs
}

// recordSuccess counts a successful attempt. Once the ejection has expired, a success resets the number of ejections.
func (r *localReplica) recordSuccess(nowUs int64) {
	r.counts.Successes = min(r.counts.Successes+1, localMaxSuccesses)
	if nowUs >= r.ejectedUntilUs {
		r.ejections, r.ejectedUntilUs = 0, 0
	}
}

// recordFailure counts a failed attempt by its class.
func (r *localReplica) recordFailure(class Class) {
	if r.counts.Failures == nil {
		r.counts.Failures = map[string]int{}
	}
	r.counts.Failures[class.String()]++
}

// eject ejects a replica for this gateway if the evidence has reached the threshold, unless too many other replicas of its
// service are ejected already.
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

// threshold returns the evidence that chance alone produces once in localFalseEjectionIntervalUs over all replicas of a service.
func (l *LocalDetector) threshold(service string, replicaCount int) float64 {
	intervalUs := l.attemptIntervalUs[service]
	if intervalUs <= 0 {
		return localMinThreshold
	}
	return max(localMinThreshold, math.Log(float64(localFalseEjectionIntervalUs)/(intervalUs*float64(max(replicaCount, 1)))))
}

// Ejected reports whether a replica is ejected for this gateway.
func (l *LocalDetector) Ejected(nowUs int64, replica string) bool {
	if nowUs >= l.anyEjectedUntilUs {
		return false
	}
	r := l.replicas[replica]
	return r != nil && nowUs < r.ejectedUntilUs
}

// AnyEjected reports whether any replica may be ejected for this gateway.
func (l *LocalDetector) AnyEjected(nowUs int64) bool { return nowUs < l.anyEjectedUntilUs }

// countEjected counts the replicas of a service that are ejected for this gateway.
func (l *LocalDetector) countEjected(nowUs int64, service string) int {
	n := 0
	for _, r := range l.replicas {
		if r.service == service && nowUs < r.ejectedUntilUs {
			n++
		}
	}
	return n
}

// HasUnreportedFailures reports whether an attempt failed since the last report, other than by Shed or Slow. It is always
// false if the options disable ejection.
func (l *LocalDetector) HasUnreportedFailures() bool { return l.unreportedFailure }

// TakeReport returns the attempts by service since the last call, and the counts of replicas that have failures or, on
// probation, successes. It resets what it returns.
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
