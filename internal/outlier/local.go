package outlier

import (
	"maps"
	"math"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	localFalse   = 60 * clock.Sec
	localOutUs   = 1 * clock.Sec
	localOutMost = 8 * clock.Sec
	localLeast   = 2.0
	localMemory  = 512.0
	// localRateMemory is the number of attempts over which the time between two is smoothed.
	localRateMemory = 64
	// localDoublings is how often the time out doubles at the most.
	localDoublings = 4
	localTold      = 128
	localForgetUs  = 30 * clock.Sec
)

// local is one replica as one gateway sees it.
type local struct {
	service string
	sum     float64
	untilUs int64
	times   int
	atUs    int64
	counts  Counts
}

// Local is one gateway's own sight of replicas: it keeps off those that failed it for a moment, whatever the
// cause, and counts what the controller is told.
type Local struct {
	opts     Options
	replicas map[string]*local
	attempts map[string]int
	// share is of each service's classes over about localMemory attempts, all replicas together.
	share  map[string]*[classes]float64
	rateUs map[string]float64
	lastUs map[string]int64
	bad    bool
	offUs  int64
}

// NewLocal is the sight of a gateway that has sent nothing.
func NewLocal(opts Options) *Local {
	return &Local{
		opts: opts.filled(), replicas: map[string]*local{}, attempts: map[string]int{}, share: map[string]*[classes]float64{},
		rateUs: map[string]float64{}, lastUs: map[string]int64{},
	}
}

// Note takes what became of an attempt. Of is how many replicas the service has; repeated evidence against one
// keeps this gateway off it for a time that doubles, and a good attempt ends it.
func (l *Local) Note(nowUs int64, service, replica string, class Class, of int) {
	if class != Good && !class.Bad() {
		return
	}
	r := l.replica(service, replica)
	r.atUs = nowUs
	l.attempts[service]++
	r.sum = max(0, r.sum+l.weigh(service, class))
	l.noteRate(nowUs, service)
	if class == Good {
		r.noteGood(nowUs)
		return
	}
	r.noteBad(class)
	if class == Shed || class == Slow || l.opts.Off {
		return
	}
	l.bad = true
	l.eject(nowUs, service, r, of)
}

// replica is one replica as this gateway sees it.
func (l *Local) replica(service, id string) *local {
	r := l.replicas[id]
	if r == nil {
		r = &local{service: service, counts: Counts{Replica: id}}
		l.replicas[id] = r
	}
	return r
}

// weigh gives the weight of an attempt's outcome against the mean of its service as it was before, and takes it
// into the mean.
func (l *Local) weigh(service string, class Class) float64 {
	mean := l.share[service]
	if mean == nil {
		mean = &[classes]float64{}
		l.share[service] = mean
	}
	gain := weight(class, mean[class])
	for c := Good; c < Inconclusive; c++ {
		hit := 0.0
		if c == class {
			hit = 1
		}
		mean[c] += (hit - mean[c]) / localMemory
	}
	return gain
}

// noteRate smooths the time between two attempts of a service.
func (l *Local) noteRate(nowUs int64, service string) {
	if lastUs := l.lastUs[service]; lastUs > 0 {
		l.rateUs[service] += (float64(nowUs-lastUs) - l.rateUs[service]) / localRateMemory
	}
	l.lastUs[service] = nowUs
}

// noteGood counts a good attempt; it ends the time out once that is over.
func (r *local) noteGood(nowUs int64) {
	r.counts.Good = min(r.counts.Good+1, localTold)
	if nowUs >= r.untilUs {
		r.times, r.untilUs = 0, 0
	}
}

// noteBad counts an attempt that failed.
func (r *local) noteBad(class Class) {
	if r.counts.Bad == nil {
		r.counts.Bad = map[string]int{}
	}
	r.counts.Bad[class.String()]++
}

// eject keeps this gateway off a replica where the evidence against it is enough, unless too many others of its
// service are out already.
func (l *Local) eject(nowUs int64, service string, r *local, of int) {
	limit := l.limit(service, of)
	if r.sum < limit || of <= 1 {
		return
	}
	if nowUs >= r.untilUs && l.out(nowUs, service) >= max(1, int(l.opts.MostShare*float64(of))) {
		return
	}
	r.untilUs = nowUs + min(localOutUs<<min(r.times, localDoublings), localOutMost)
	r.times++
	r.sum = limit / 2
	l.offUs = max(l.offUs, r.untilUs)
}

// limit is the evidence that chance alone brings up once in localFalse, in all replicas of a service together.
func (l *Local) limit(service string, of int) float64 {
	every := l.rateUs[service]
	if every <= 0 {
		return localLeast
	}
	return max(localLeast, math.Log(float64(localFalse)/(every*float64(max(of, 1)))))
}

// Off says that this gateway keeps off a replica now.
func (l *Local) Off(nowUs int64, replica string) bool {
	if nowUs >= l.offUs {
		return false
	}
	r := l.replicas[replica]
	return r != nil && nowUs < r.untilUs
}

// AnyOff says that this gateway keeps off some replica now.
func (l *Local) AnyOff(nowUs int64) bool { return nowUs < l.offUs }

// out counts the replicas of a service that this gateway keeps off now.
func (l *Local) out(nowUs int64, service string) int {
	n := 0
	for _, r := range l.replicas {
		if r.service == service && nowUs < r.untilUs {
			n++
		}
	}
	return n
}

// News is true where something failed outright that has not been told.
func (l *Local) News() bool { return l.bad }

// Tell gives what has been counted since it was last asked: attempts by service, and the counts of replicas where
// something failed or that are on trial.
func (l *Local) Tell(nowUs int64, onTrial func(replica string) bool) (attempts map[string]int, counts []Counts) {
	attempts, l.attempts, l.bad = l.attempts, map[string]int{}, false
	for _, id := range slices.Sorted(maps.Keys(l.replicas)) {
		r := l.replicas[id]
		if len(r.counts.Bad) > 0 || (r.counts.Good > 0 && onTrial(id)) {
			counts = append(counts, r.counts)
		}
		if len(r.counts.Bad) > 0 || onTrial(id) {
			r.counts = Counts{Replica: id}
		}
		if nowUs-r.atUs > localForgetUs {
			delete(l.replicas, id)
		}
	}
	return attempts, counts
}
