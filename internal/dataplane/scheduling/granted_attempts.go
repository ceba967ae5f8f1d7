package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/wire"
)

// grantedReplica is the state of one replica in declared mode: this gateway's open attempts there, by attempt ID, and
// the prefix hashes sent to the replica with the time of their last use.
type grantedReplica struct {
	inFlight       map[string]bool
	avoidUntilUs   int64
	cachedPrefixes map[uint64]int64
}

// attemptGrant is a granted range of attempt numbers at one replica for one model: next is the first unused number, to the end
// of the range (exclusive).
type attemptGrant struct {
	number uint64
	next   uint64
	to     uint64
}

func (d *Decider) grantedReplicaOf(id string) *grantedReplica {
	state := d.grantedReplicas[id]
	if state == nil {
		state = &grantedReplica{inFlight: map[string]bool{}, cachedPrefixes: map[uint64]int64{}}
		d.grantedReplicas[id] = state
	}
	return state
}

// selectGranted returns the replica with the best score for a call in declared mode, and the reason for the choice; nil
// if no replica can take the call now. The score is the free fraction of the gateway's slots at the replica plus 0.75 times
// the fraction of the call's prefix that was sent there before.
func (d *Decider) selectGranted(c *Call) (*wire.ReplicaUpdate, string) {
	var best *wire.ReplicaUpdate
	bestScore, reason := 0.0, ""
	for _, id := range d.snapshot.IDs {
		r := d.snapshot.Replicas[id]
		if !d.snapshot.Accepts(id, r.Incarnation, c.Model, c.Adapter) {
			continue
		}
		state := d.grantedReplicaOf(id)
		grant := d.attemptGrants[id+"|"+c.Model]
		if r.MaxInFlight <= len(state.inFlight) || grant == nil || grant.next >= grant.to || d.nowUs < state.avoidUntilUs {
			continue
		}
		matched := 0
		for i, hash := range c.prefixHashes() {
			if _, ok := state.cachedPrefixes[hash]; ok {
				matched = i + 1
			}
		}
		busy := float64(len(state.inFlight)) / float64(r.MaxInFlight)
		score := 1 - busy
		if len(c.Prefix) > 0 {
			score += 0.75 * float64(matched) / float64(len(c.Prefix))
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
			reason = fmt.Sprintf("score %.2f: %d of %d prefix parts seen there, %d of %d slots busy", score, matched, len(c.Prefix), len(state.inFlight), r.MaxInFlight)
		}
	}
	return best, reason
}

// startGranted starts an attempt with the next granted attempt number.
func (d *Decider) startGranted(c *Call, r *wire.ReplicaUpdate, reason string) {
	d.dequeue(c)
	grant := d.attemptGrants[r.ID+"|"+c.Model]
	c.attempt = fmt.Sprintf("%s/%s/%d", r.ID, r.Incarnation, grant.next)
	grant.next++
	c.replica, c.migrating = r.ID, false
	c.attempts++
	c.attemptStartUs = d.nowUs
	state := d.grantedReplicaOf(r.ID)
	state.inFlight[c.attempt] = true
	if len(state.cachedPrefixes) > maxCachedPrefixes {
		d.forgetPrefixes(state)
	}
	for _, hash := range c.prefixHashes() {
		state.cachedPrefixes[hash] = d.nowUs
	}
	d.logDecision(c, "leg", r.ID, reason)
	d.emit(&AttemptStart{Call: c, Attempt: c.attempt, GrantNumber: grant.number, Replica: r.ID, Addr: r.Addr,
		Incarnation: r.Incarnation, Revision: d.snapshot.Revision, DeadlineUs: c.deadlineUs, Kind: c.requestKind()})
}

// forgetPrefixes drops the older half of the prefix hashes of a replica.
func (d *Decider) forgetPrefixes(state *grantedReplica) {
	times := make([]int64, 0, len(state.cachedPrefixes))
	for _, atUs := range state.cachedPrefixes {
		times = append(times, atUs)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	limitUs := times[len(times)/2]
	for hash, atUs := range state.cachedPrefixes {
		if atUs <= limitUs {
			delete(state.cachedPrefixes, hash)
		}
	}
}
