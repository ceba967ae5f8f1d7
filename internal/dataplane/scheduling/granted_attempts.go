package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/wire"
)

type grantedReplica struct {
	inFlight       map[string]bool
	avoidUntilUs   int64
	cachedPrefixes map[uint64]int64
}

type attemptGrant struct {
	number uint64
	next   uint64
	to     uint64
}

func (d *Decider) grantedReplicaOf(id string) *grantedReplica {
	p := d.grantedReplicas[id]
	if p == nil {
		p = &grantedReplica{inFlight: map[string]bool{}, cachedPrefixes: map[uint64]int64{}}
		d.grantedReplicas[id] = p
	}
	return p
}

// selectGranted weighs a shared prefix against demand on the replica.
func (d *Decider) selectGranted(c *Call) (*wire.ReplicaUpdate, string) {
	var best *wire.ReplicaUpdate
	bestScore, why := 0.0, ""
	for _, id := range d.snapshot.IDs {
		r := d.snapshot.Replicas[id]
		if !d.snapshot.Accepts(id, r.Incarnation, c.Model, c.Adapter) {
			continue
		}
		p := d.grantedReplicaOf(id)
		grant := d.attemptGrants[id+"|"+c.Model]
		if r.MaxInFlight <= len(p.inFlight) || grant == nil || grant.next >= grant.to || d.nowUs < p.avoidUntilUs {
			continue
		}
		matched := 0
		for i, print := range c.prefixHashes() {
			if _, ok := p.cachedPrefixes[print]; ok {
				matched = i + 1
			}
		}
		busy := float64(len(p.inFlight)) / float64(r.MaxInFlight)
		score := 1 - busy
		if len(c.Prefix) > 0 {
			score += 0.75 * float64(matched) / float64(len(c.Prefix))
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
			why = fmt.Sprintf("score %.2f: %d of %d prefix parts seen there, %d of %d slots busy", score, matched, len(c.Prefix), len(p.inFlight), r.MaxInFlight)
		}
	}
	return best, why
}

func (d *Decider) startGranted(c *Call, r *wire.ReplicaUpdate, why string) {
	d.dequeue(c)
	grant := d.attemptGrants[r.ID+"|"+c.Model]
	c.attempt = fmt.Sprintf("%s/%s/%d", r.ID, r.Incarnation, grant.next)
	grant.next++
	c.replica, c.migrating = r.ID, false
	c.attempts++
	c.attemptStartUs = d.nowUs
	p := d.grantedReplicaOf(r.ID)
	p.inFlight[c.attempt] = true
	if len(p.cachedPrefixes) > maxCachedPrefixes {
		d.forgetPrefixes(p)
	}
	for _, print := range c.prefixHashes() {
		p.cachedPrefixes[print] = d.nowUs
	}
	d.logDecision(c, "leg", r.ID, why)
	d.emit(&AttemptStart{Call: c, Attempt: c.attempt, GrantNumber: grant.number, Replica: r.ID, Addr: r.Addr, Incarnation: r.Incarnation, Revision: d.snapshot.Revision, DeadlineUs: c.deadlineUs, Kind: c.requestKind()})
}

func (d *Decider) forgetPrefixes(p *grantedReplica) {
	times := make([]int64, 0, len(p.cachedPrefixes))
	for _, atUs := range p.cachedPrefixes {
		times = append(times, atUs)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	limitUs := times[len(times)/2]
	for print, atUs := range p.cachedPrefixes {
		if atUs <= limitUs {
			delete(p.cachedPrefixes, print)
		}
	}
}
