package scheduling

import (
	"fmt"
	"sort"

	"petreltide/internal/api/wire"
)

type place struct {
	inFlight     map[string]bool
	avoidUntilUs int64
	prefixes     map[uint64]int64
}

type run struct {
	ticket uint64
	next   uint64
	to     uint64
}

func (d *Decider) placeOf(id string) *place {
	p := d.places[id]
	if p == nil {
		p = &place{inFlight: map[string]bool{}, prefixes: map[uint64]int64{}}
		d.places[id] = p
	}
	return p
}

// selectFor weighs a shared prefix against demand on the replica.
func (d *Decider) selectFor(c *Call) (*wire.ReplicaUpdate, string) {
	var best *wire.ReplicaUpdate
	bestScore, why := 0.0, ""
	for _, id := range d.snap.IDs {
		r := d.snap.Replicas[id]
		if !d.snap.Takes(id, r.Incarnation, c.Model, c.Adapter) {
			continue
		}
		p := d.placeOf(id)
		grant := d.runs[id+"|"+c.Model]
		if r.MaxInFlight <= len(p.inFlight) || grant == nil || grant.next >= grant.to || d.nowUs < p.avoidUntilUs {
			continue
		}
		matched := 0
		for i, print := range c.fingerprints() {
			if _, ok := p.prefixes[print]; ok {
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

func (d *Decider) start(c *Call, r *wire.ReplicaUpdate, why string) {
	d.dequeue(c)
	grant := d.runs[r.ID+"|"+c.Model]
	c.attempt = fmt.Sprintf("%s/%s/%d", r.ID, r.Incarnation, grant.next)
	grant.next++
	c.on, c.moving = r.ID, false
	c.attempts++
	c.firstUs = d.nowUs
	p := d.placeOf(r.ID)
	p.inFlight[c.attempt] = true
	if len(p.prefixes) > prefixMost {
		d.forget(p)
	}
	for _, print := range c.fingerprints() {
		p.prefixes[print] = d.nowUs
	}
	d.note(c, "leg", r.ID, why)
	d.do(Effect{Start: &Start{Call: c, Attempt: c.attempt, Ticket: grant.ticket, Replica: r.ID, Addr: r.Addr, Incarnation: r.Incarnation, Revision: d.snap.Revision, DeadlineUs: c.deadlineUs, Kind: c.requestKind()}})
}

func (d *Decider) forget(p *place) {
	times := make([]int64, 0, len(p.prefixes))
	for _, atUs := range p.prefixes {
		times = append(times, atUs)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	limitUs := times[len(times)/2]
	for print, atUs := range p.prefixes {
		if atUs <= limitUs {
			delete(p.prefixes, print)
		}
	}
}
