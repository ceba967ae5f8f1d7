package scheduling

import (
	"petreltide/internal/api/wire"
)

// openAttempt is an attempt that has started at a replica and not ended. tokens are the prompt tokens to prefill, estimatedMs
// the estimated time to first byte. uncontended is set if so little ran at the replica that the prefill model may be updated from
// the attempt; reportedLate, once the attempt was recorded as late.
type openAttempt struct {
	call         *Call
	startUs      int64
	tokens       int64
	estimatedMs  float64
	uncontended  bool
	reportedLate bool
}

// replicaStats is what this gateway has learned about one replica from its own attempts there. missingUntilUs is keyed by unit,
// cachedSegments by prefix hash. speedFactor is the moving average of the replica's time to first byte relative to the
// prefill model, so that a value above 1 is slower; meanServiceMs is the moving average of the time to first byte.
type replicaStats struct {
	openAttempts    map[string]*openAttempt
	missingUntilUs  map[string]int64
	cachedSegments  map[uint64]int64
	speedFactor     float64
	meanServiceMs   float64
	avoidUntilUs    int64
	connectFailures int
}

func (d *Decider) replicaStatsOf(id string) *replicaStats {
	s := d.replicaStats[id]
	if s == nil {
		s = &replicaStats{openAttempts: map[string]*openAttempt{}, missingUntilUs: map[string]int64{}, cachedSegments: map[uint64]int64{},
			speedFactor: 1, meanServiceMs: initialServiceMs}
		d.replicaStats[id] = s
	}
	return s
}

// pendingWork returns the number of this gateway's open attempts at a replica, and the estimated time (ms) until those of them
// without a first byte are prefilled. Attempts of other gateways count only through the lateness of this gateway's own
// attempts: reports of them are a quarter of a second old, and gateways that act on them turn to the same replica together
// (docs/design-platform.md).
func (d *Decider) pendingWork(r *wire.ReplicaUpdate, s *replicaStats, perToken float64) (running int, waitMs float64) {
	var tokens int64
	lateMs := 0.0
	for _, a := range s.openAttempts {
		running++
		if a.call.FirstByteUs.Load() >= a.startUs {
			continue
		}
		tokens += a.tokens
		if overdueMs := float64(d.nowUs-a.startUs)/1000 - 2*a.estimatedMs - 150; overdueMs > lateMs {
			lateMs = overdueMs
		}
	}
	return running, s.speedFactor*float64(tokens)*perToken + lateMs
}

// startRouted starts an attempt of a routed call. Every attempt names the one incarnation of the replica that it is for.
func (d *Decider) startRouted(c *Call, r *wire.ReplicaUpdate, predictedMs float64) {
	d.dequeue(c)
	d.attemptSeq++
	c.attempt = r.ID + "/" + itoa(d.attemptSeq)
	c.replica, c.migrating = r.ID, false
	c.attempts++
	c.attemptStartUs = d.nowUs
	s := d.replicaStatsOf(r.ID)
	running, waitMs := d.pendingWork(r, s, 1/initialTokensPerMs)
	s.openAttempts[c.attempt] = &openAttempt{call: c, startUs: d.nowUs, tokens: d.uncachedTokens(c, r, s), estimatedMs: predictedMs,
		uncontended: waitMs < maxUncontendedWaitMs && running <= maxUncontendedRunning}
	if len(s.cachedSegments) > maxCachedSegments {
		s.cachedSegments = map[uint64]int64{}
	}
	for i, hash := range c.prefixHashes() {
		if i < len(c.Routed.Segments)-1 || len(c.Routed.Segments) == 1 {
			s.cachedSegments[hash] = d.nowUs
		}
	}
	c.FirstByteUs.Store(0)
	d.logDecision(c, "leg", r.ID, "")
	d.emit(&AttemptStart{EstimatedFirstByteMs: predictedMs, Running: running, Call: c, Attempt: c.attempt, Replica: r.ID, Addr: r.Addr,
		Incarnation: r.Incarnation, Revision: d.snapshot.Revision, DeadlineUs: c.deadlineUs,
		Route: c.Routed.Route, Service: c.Routed.Service, Priority: c.priority(), Kind: c.requestKind()})
}

// itoa formats n in decimal.
func itoa(n uint64) string {
	var b [20]byte
	i := len(b)
	for {
		i--
		b[i] = byte('0' + n%10)
		if n /= 10; n == 0 {
			return string(b[i:])
		}
	}
}

// recordAttempt updates the statistics of a replica, its backoff and the prefill model from the outcome of an attempt.
func (d *Decider) recordAttempt(c *Call, attempt string, replica string, outcome Outcome) {
	s := d.replicaStatsOf(replica)
	a := s.openAttempts[attempt]
	delete(s.openAttempts, attempt)
	if a == nil {
		return
	}
	d.recordOutcome(c, a, replica, outcome)
	switch outcome {
	case OutcomeUnsent:
		s.connectFailures++
		s.avoidUntilUs = d.nowUs + min(minConnectBackoffUs<<min(s.connectFailures-1, 3), maxConnectBackoffUs)
	case OutcomeWrongIncarnation:
		s.avoidUntilUs = d.nowUs + wrongIncarnationBackoffUs
		c.triedReplicas = append(c.triedReplicas, replica)
	case OutcomeModelMissing:
		s.missingUntilUs[c.unit()] = d.nowUs + missingBackoffUs
		c.triedReplicas = append(c.triedReplicas, replica)
	case OutcomeRejected:
		s.avoidUntilUs = max(s.avoidUntilUs, d.nowUs+rejectedBackoffUs)
		c.triedReplicas = append(c.triedReplicas, replica)
	default:
		if firstUs := a.call.FirstByteUs.Load(); firstUs >= a.startUs {
			s.connectFailures = 0
			tookMs := float64(firstUs-a.startUs) / 1000
			if a.uncontended && c.Model != "" {
				d.prefillModelOf(c).learn(a.tokens, tookMs/s.speedFactor)
			}
			if a.estimatedMs > 0 {
				if a.uncontended && c.Model != "" {
					d.prefillModelOf(c).lowestRatio.add(tookMs / a.estimatedMs)
				}
				ratio := min(max(tookMs/a.estimatedMs, minSpeedFactor), maxSpeedFactor)
				s.speedFactor += (min(max(s.speedFactor*ratio, minSpeedFactor), maxSpeedFactor) - s.speedFactor) / 32
			}
			s.meanServiceMs += (tookMs - s.meanServiceMs) / 16
		} else {
			c.triedReplicas = append(c.triedReplicas, replica)
		}
	}
}
