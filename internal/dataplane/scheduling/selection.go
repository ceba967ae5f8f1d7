package scheduling

import (
	"hash/fnv"
	"slices"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
)

func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// acceptsRouted reports whether a replica may get a new attempt for this model and adapter by its newest status.
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

// selectRouted takes the replica at which the call's first piece is likely to come first: what waits
// there, what of its prompt must still be read, how fast the replica has shown to be, and its zone.
func (d *Decider) selectRouted(c *Call) (*wire.ReplicaUpdate, float64) {
	var best *wire.ReplicaUpdate
	bestMs := 0.0
	unit := c.unit()
	svc := d.snapshot.Declaration.Service(c.Routed.Service)
	engine := svc != nil && svc.Engine != nil && c.Model != ""
	hasUntried, hasTrusted := d.hasUntriedReplica(c), d.hasTrustedReplica(c)
	baseMs, perToken := 0.0, 1/initialTokensPerMs
	if engine {
		baseMs, perToken = d.prefillModelOf(c).coefficients()
	}
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
		running, waitMs := d.pendingWork(r, s, perToken)
		if r.Slots > 0 && running >= r.Slots {
			continue
		}
		ms := waitMs
		if engine {
			ms += s.speedFactor * (baseMs + perToken*float64(d.uncachedTokens(c, r, s)))
			ms += perRunningMs * float64(running)
		} else {
			ms += s.meanServiceMs * (1 + float64(running)/4)
		}
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

// hasUntriedReplica: some replica that takes this call has not had it yet. Where none is left, one that had it may
// have it again, rather than that the call waits for nobody.
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

// uncachedTokens are the tokens of a prompt that the replica is likely to read anew: all after the first part
// that it has not been sent before.
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
