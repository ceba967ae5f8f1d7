package scheduling

import (
	"petreltide/internal/api/wire"
)

// openAttempt is an attempt that is under way at a replica.
type openAttempt struct {
	call        *Call
	startUs     int64
	tokens      int64
	predictedMs float64
	alone       bool
	late        bool
}

// replicaState is what this gateway knows of one replica from its own attempts there.
type replicaState struct {
	openAttempts map[string]*openAttempt
	missing      map[string]int64
	parts        map[uint64]int64
	pace         float64
	workMs       float64
	avoidUntilUs int64
	failures     int
}

func (d *Decider) replicaStateOf(id string) *replicaState {
	s := d.replicaStates[id]
	if s == nil {
		s = &replicaState{openAttempts: map[string]*openAttempt{}, missing: map[string]int64{}, parts: map[uint64]int64{}, pace: 1, workMs: plainWorkMs}
		d.replicaStates[id] = s
	}
	return s
}

// standsAt counts what runs at a replica and how long what waits there will take, in ms: this gateway's own
// attempts that have no first piece yet. What other gateways have there shows only in how long those take: news
// of it that is a quarter of a second old made no day better (docs/design-platform.md).
func (d *Decider) standsAt(r *wire.ReplicaUpdate, s *replicaState, perToken float64) (running int, waitMs float64) {
	var tokens int64
	lateMs := 0.0
	for _, f := range s.openAttempts {
		running++
		if f.call.FirstUs.Load() >= f.startUs {
			continue
		}
		tokens += f.tokens
		if over := float64(d.nowUs-f.startUs)/1000 - 2*f.predictedMs - 150; over > lateMs {
			lateMs = over
		}
	}
	return running, s.pace*float64(tokens)*perToken + lateMs
}

// launch begins an attempt; every attempt names the one incarnation of the replica it is for.
func (d *Decider) launch(c *Call, r *wire.ReplicaUpdate, predictedMs float64) {
	d.dequeue(c)
	d.attemptSeq++
	c.attempt = r.ID + "/" + itoa(d.attemptSeq)
	c.on, c.moving = r.ID, false
	c.attempts++
	c.firstUs = d.nowUs
	s := d.replicaStateOf(r.ID)
	running, waitMs := d.standsAt(r, s, 1/tokensPerMs)
	s.openAttempts[c.attempt] = &openAttempt{call: c, startUs: d.nowUs, tokens: d.unread(c, r, s), predictedMs: predictedMs, alone: waitMs < aloneMs && running <= aloneMost}
	if len(s.parts) > partsKept {
		s.parts = map[uint64]int64{}
	}
	for i, print := range c.fingerprints() {
		if i < len(c.Routed.Parts)-1 || len(c.Routed.Parts) == 1 {
			s.parts[print] = d.nowUs
		}
	}
	c.FirstUs.Store(0)
	d.admission.sent(c, d.nowUs)
	d.note(c, "leg", r.ID, "")
	d.do(Effect{Start: &Start{GuessMs: predictedMs, Running: running, Call: c, Attempt: c.attempt, Replica: r.ID, Addr: r.Addr, Incarnation: r.Incarnation, Revision: d.snap.Revision, DeadlineUs: c.deadlineUs,
		Route: c.Routed.Route, Service: c.Routed.Service, Kind: c.requestKind()}})
}

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

// learn takes note from how an attempt ended.
func (d *Decider) learn(c *Call, attempt string, on string, e Ending) {
	s := d.replicaStateOf(on)
	f := s.openAttempts[attempt]
	delete(s.openAttempts, attempt)
	if f == nil {
		return
	}
	d.judge(c, f, on, e)
	switch e {
	case Unsent:
		s.failures++
		s.avoidUntilUs = d.nowUs + min(avoidLeastUs<<min(s.failures-1, 3), avoidMostUs)
	case Elsewhere:
		s.avoidUntilUs = d.nowUs + elsewhereUs
		c.tried = append(c.tried, on)
	case Missing:
		s.missing[c.unit()] = d.nowUs + missingUs
		c.tried = append(c.tried, on)
	case Refused:
		s.avoidUntilUs = max(s.avoidUntilUs, d.nowUs+fullUs)
		c.tried = append(c.tried, on)
	default:
		if firstUs := f.call.FirstUs.Load(); firstUs >= f.startUs {
			s.failures = 0
			tookMs := float64(firstUs-f.startUs) / 1000
			if f.alone && c.Model != "" {
				d.reading(c).learn(f.tokens, tookMs/s.pace)
			}
			if f.predictedMs > 0 {
				ratio := min(max(tookMs/f.predictedMs, paceLeast), paceMost)
				s.pace += (min(max(s.pace*ratio, paceLeast), paceMost) - s.pace) / 32
			}
			s.workMs += (tookMs - s.workMs) / 16
		} else {
			c.tried = append(c.tried, on)
		}
	}
}
