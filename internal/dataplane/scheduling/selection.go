package scheduling

import (
	"hash/fnv"
	"slices"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
)

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// takes says whether a replica may get a new attempt of this call by the newest word of it.
func (s *Snapshot) takesRouted(r *wire.ReplicaUpdate, model, adapter string) bool {
	if r.Draining || r.Unreachable {
		return false
	}
	svc := s.Doc.Service(r.Service)
	if svc == nil || svc.Engine == nil || model == "" {
		return true
	}
	if s.Trials[r.ID].Dead {
		return false
	}
	if r.Unloading == model || (adapter != "" && r.Unloading == model+"/"+adapter) {
		return false
	}
	return holds(r, model) && (adapter == "" || holds(r, model+"/"+adapter))
}

// selectRouted takes the replica at which the call's first piece is likely to come first: what waits
// there, what of its prompt must still be read, how fast the replica has shown to be, and its zone.
func (d *Decider) selectRouted(c *Call) (*wire.ReplicaUpdate, float64) {
	var best *wire.ReplicaUpdate
	bestMs := 0.0
	unit := c.unit()
	svc := d.snap.Doc.Service(c.Routed.Service)
	engine := svc != nil && svc.Engine != nil && c.Model != ""
	others, well := d.untried(c), d.wellPlaced(c)
	baseMs, perToken := 0.0, 1/tokensPerMs
	if engine {
		baseMs, perToken = d.reading(c).line()
	}
	for _, r := range d.snap.ByService[c.Routed.Service] {
		if !d.snap.takesRouted(r, c.Model, c.Adapter) {
			continue
		}
		s := d.replicaStateOf(r.ID)
		if (well || slices.Contains(c.tried, r.ID)) && !d.trusts(c, r.ID) {
			continue
		}
		if d.nowUs < s.avoidUntilUs || d.nowUs < s.missing[unit] || (others && slices.Contains(c.tried, r.ID)) {
			continue
		}
		running, waitMs := d.standsAt(r, s, perToken)
		if r.Slots > 0 && running >= r.Slots {
			continue
		}
		ms := waitMs
		if engine {
			ms += s.pace * (baseMs + perToken*float64(d.unread(c, r, s)))
			ms += runningMs * float64(running)
		} else {
			ms += s.workMs * (1 + float64(running)/4)
		}
		if r.Zone != d.opts.Zone && !d.opts.Disable.Has(feature.ZonePreference) {
			ms += crossZoneMs
		}
		ms += float64(mix(c.Routed.draw^hashOf(r.ID))%1000) / 1000
		if best == nil || ms < bestMs {
			best, bestMs = r, ms
		}
	}
	return best, bestMs
}

// untried: some replica that takes this call has not had it yet. Where none is left, one that had it may
// have it again, rather than that the call waits for nobody.
func (d *Decider) untried(c *Call) bool {
	for _, r := range d.snap.ByService[c.Routed.Service] {
		if d.snap.takesRouted(r, c.Model, c.Adapter) && !slices.Contains(c.tried, r.ID) {
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

// unread are the tokens of a prompt that the replica is likely to read anew: all after the first part
// that it has not been sent before.
func (d *Decider) unread(c *Call, r *wire.ReplicaUpdate, s *replicaState) int64 {
	left := c.Routed.PromptIn
	if d.opts.Disable.Has(feature.PrefixAffinity) {
		return max(left, 1)
	}
	for i, print := range c.fingerprints() {
		if _, kept := s.parts[print]; !kept {
			break
		}
		if i < len(c.Routed.Parts) {
			left -= c.Routed.Parts[i].Tokens
		}
	}
	return max(left, 1)
}
