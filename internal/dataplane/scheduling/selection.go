package scheduling

import (
	"hash/fnv"
	"slices"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
)

// mixHash is a 64-bit finalizer in the manner of MurmurHash3: it spreads the bits of x evenly.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// acceptsRouted reports whether the replica may get a new attempt for this model and adapter, according to the snapshot.
func (s *Snapshot) acceptsRouted(r *wire.ReplicaUpdate, model, adapter string) bool {
	if r.Draining || r.Unreachable {
		return false
	}
	svc := s.Declaration.Service(r.Service)
	if svc == nil || svc.Engine == nil || model == "" {
		return true
	}
	if s.Verdicts[r.ID].Dead {
		return false
	}
	if r.Unloading == model || (adapter != "" && r.Unloading == model+"/"+adapter) {
		return false
	}
	return isLoaded(r, model) && (adapter == "" || isLoaded(r, model+"/"+adapter))
}

// selectRouted returns the replica with the lowest expected time to first byte for the call, and that time in ms; nil if no
// replica can take the call now. A replica in another zone has a penalty.
func (d *Decider) selectRouted(c *Call) (*wire.ReplicaUpdate, float64) {
	var best *wire.ReplicaUpdate
	bestMs := 0.0
	unit, estimator := c.unit(), d.estimatorOf(c)
	hasUntried, hasTrusted := d.hasUntriedReplica(c), d.hasTrustedReplica(c)
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if !d.snapshot.acceptsRouted(r, c.Model, c.Adapter) {
			continue
		}
		s := d.replicaStatsOf(r.ID)
		if (hasTrusted || slices.Contains(c.triedReplicas, r.ID)) && !d.trusts(c, r.ID) {
			continue
		}
		if d.nowUs < s.avoidUntilUs || d.nowUs < s.missingUntilUs[unit] || (hasUntried && slices.Contains(c.triedReplicas, r.ID)) {
			continue
		}
		if r.Slots > 0 && len(s.openAttempts) >= r.Slots {
			continue
		}
		ms := estimator.firstByteMs(r, s)
		if r.Zone != d.opts.Zone && !d.opts.Disable.Has(feature.ZonePreference) {
			ms += crossZoneMs
		}
		ms += float64(mixHash(c.Routed.idHash^hashOf(r.ID))%1000) / 1000
		if best == nil || ms < bestMs {
			best, bestMs = r, ms
		}
	}
	return best, bestMs
}

// firstByteEstimator estimates the time to first byte of one call at replicas of its service. The coefficients of the prefill model
// apply to services with an engine.
type firstByteEstimator struct {
	decider          *Decider
	call             *Call
	engine           bool
	baseMs, perToken float64
}

func (d *Decider) estimatorOf(c *Call) firstByteEstimator {
	svc := d.snapshot.Declaration.Service(c.Routed.Service)
	e := firstByteEstimator{decider: d, call: c, engine: svc != nil && svc.Engine != nil && c.Model != "", perToken: 1 / initialTokensPerMs}
	if e.engine {
		e.baseMs, e.perToken = d.prefillModelOf(c).coefficients()
	}
	return e
}

// firstByteMs returns the expected time (ms) from the start of an attempt at a replica to its first byte: the pending work there, the
// uncached part of the prompt, and the observed speed of the replica.
func (e firstByteEstimator) firstByteMs(r *wire.ReplicaUpdate, s *replicaStats) float64 {
	running, ms := e.decider.pendingWork(r, s, e.perToken)
	if !e.engine {
		return ms + s.meanServiceMs*(1+float64(running)/4)
	}
	ms += s.speedFactor * (e.baseMs + e.perToken*float64(e.decider.uncachedTokens(e.call, r, s)))
	return ms + perRunningMs*float64(running)
}

// hasUntriedReplica reports whether some replica that accepts this call has not been tried yet. If none is left, tried
// replicas may be used again, because otherwise the call would wait for a replica that does not exist.
func (d *Decider) hasUntriedReplica(c *Call) bool {
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if d.snapshot.acceptsRouted(r, c.Model, c.Adapter) && !slices.Contains(c.triedReplicas, r.ID) {
			return true
		}
	}
	return false
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// uncachedTokens estimates how many prompt tokens the replica has to prefill: all from the first segment on that this
// gateway has not sent to the replica before. The result is at least 1.
func (d *Decider) uncachedTokens(c *Call, r *wire.ReplicaUpdate, s *replicaStats) int64 {
	tokens := c.Routed.PromptTokens
	if d.opts.Disable.Has(feature.PrefixAffinity) {
		return max(tokens, 1)
	}
	for i, hash := range c.prefixHashes() {
		if _, cached := s.cachedSegments[hash]; !cached {
			break
		}
		if i < len(c.Routed.Segments) {
			tokens -= c.Routed.Segments[i].Tokens
		}
	}
	return max(tokens, 1)
}
