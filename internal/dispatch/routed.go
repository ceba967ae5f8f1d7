package dispatch

import (
	"hash/fnv"
	"slices"

	"petreltide/internal/clock"
	"petreltide/internal/fault"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

// Part is one piece of a prompt, in order; equal ids are equal text.
type Part struct {
	ID     uint64
	Tokens int64
}

// Routed is what a call by route brings beside what every call has. Prompt and Out are tokens.
type Routed struct {
	Route    *standing.Route
	Service  string
	Parts    []Part
	PromptIn int64
	MostOut  int64
	Resumes  bool

	arrivals int
	draw     uint64
	returned bool
}

const (
	shyLeastUs   = 250 * clock.Ms
	shyMostUs    = 2000 * clock.Ms
	missingUs    = 1500 * clock.Ms
	fullUs       = 60 * clock.Ms
	elsewhereUs  = 30 * clock.Sec
	tokensPerMs  = 20.0
	runningMs    = 0.4
	aloneMs      = 1.0
	aloneMost    = 3
	paceLeast    = 0.25
	paceMost     = 6.0
	crossZoneMs  = 1.5
	plainWorkMs  = 30.0
	affinityMost = 0.6
	partsKept    = 4096
)

// flight is a leg that is under way at a place.
type flight struct {
	call        *Call
	startUs     int64
	tokens      int64
	predictedMs float64
	alone       bool
	late        bool
}

// site is what this desk knows of one replica from its own legs there.
type site struct {
	flights  map[string]*flight
	missing  map[string]int64
	parts    map[uint64]int64
	pace     float64
	workMs   float64
	shyUs    int64
	failures int
}

func (d *Decider) siteOf(id string) *site {
	s := d.sites[id]
	if s == nil {
		s = &site{flights: map[string]*flight{}, missing: map[string]int64{}, parts: map[uint64]int64{}, pace: 1, workMs: plainWorkMs}
		d.sites[id] = s
	}
	return s
}

func (d *Decider) routed() bool { return d.snap != nil && d.snap.Doc != nil && d.snap.Doc.Routed() }

func (c *Call) unit() string { return standing.Unit(c.Model, c.Adapter) }

// routedTerms lays the newest route on a call, and draws its service anew where it may no longer go there.
func (d *Decider) routedTerms(c *Call) fault.Code {
	r := d.snap.Doc.Route(c.Kind)
	if r == nil {
		c.resume = false
		return fault.UnknownKind
	}
	c.Routed.Route = r
	c.urgency, c.resume = max(1, 9-r.Priority), r.Repeatable()
	mostMs := r.TimeoutMs
	if c.MostMs > 0 {
		mostMs = min(mostMs, c.MostMs)
	}
	c.expiryUs = c.TakenUs + mostMs*1000
	if c.Routed.Service == "" || !r.May(c.Routed.Service) {
		if c.Routed.draw == 0 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(c.ID))
			c.Routed.draw = mix(h.Sum64())
		}
		c.Routed.Service = r.Service(c.Routed.draw)
	}
	return ""
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// takes says whether a replica may get a new leg of this call by the newest word of it.
func (s *Snapshot) takesRouted(r *wire.ReplicaNews, model, adapter string) bool {
	if r.Leaving || r.Dark {
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
func (d *Decider) selectRouted(c *Call) (*wire.ReplicaNews, float64) {
	var best *wire.ReplicaNews
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
		s := d.siteOf(r.ID)
		if (well || slices.Contains(c.tried, r.ID)) && !d.trusts(c, r.ID) {
			continue
		}
		if d.nowUs < s.shyUs || d.nowUs < s.missing[unit] || (others && slices.Contains(c.tried, r.ID)) {
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
		if r.Zone != d.opts.Zone {
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

// standsAt counts what runs at a replica and how long what waits there will take, in ms: this desk's own
// legs that have no first piece yet. What other desks have there shows only in how long those take: news
// of it that is a quarter of a second old made no day better (docs/design-platform.md).
func (d *Decider) standsAt(r *wire.ReplicaNews, s *site, perToken float64) (running int, waitMs float64) {
	var tokens int64
	lateMs := 0.0
	for _, f := range s.flights {
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

// unread are the tokens of a prompt that the replica is likely to read anew: all after the first part
// that it has not been sent before.
func (d *Decider) unread(c *Call, r *wire.ReplicaNews, s *site) int64 {
	left := c.Routed.PromptIn
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

// launch begins a leg; every leg names the one life of the replica it is for.
func (d *Decider) launch(c *Call, r *wire.ReplicaNews, predictedMs float64) {
	d.dequeue(c)
	d.legSeq++
	c.leg = r.ID + "/" + itoa(d.legSeq)
	c.on, c.moving = r.ID, false
	c.legs++
	c.firstUs = d.nowUs
	s := d.siteOf(r.ID)
	running, waitMs := d.standsAt(r, s, 1/tokensPerMs)
	s.flights[c.leg] = &flight{call: c, startUs: d.nowUs, tokens: d.unread(c, r, s), predictedMs: predictedMs, alone: waitMs < aloneMs && running <= aloneMost}
	if len(s.parts) > partsKept {
		s.parts = map[uint64]int64{}
	}
	for i, print := range c.fingerprints() {
		if i < len(c.Routed.Parts)-1 || len(c.Routed.Parts) == 1 {
			s.parts[print] = d.nowUs
		}
	}
	c.FirstUs.Store(0)
	d.note(c, "leg", r.ID, "")
	d.do(Effect{Start: &Start{GuessMs: predictedMs, Running: running, Call: c, Leg: c.leg, Replica: r.ID, Addr: r.Addr, Inc: r.Inc, Revision: d.snap.Revision, ExpiryUs: c.expiryUs}})
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

// landed learns from how a leg ended.
func (d *Decider) landed(c *Call, leg string, on string, e Ending) {
	s := d.siteOf(on)
	f := s.flights[leg]
	delete(s.flights, leg)
	if f == nil {
		return
	}
	d.judge(c, f, on, e)
	switch e {
	case Unsent:
		s.failures++
		s.shyUs = d.nowUs + min(shyLeastUs<<min(s.failures-1, 3), shyMostUs)
	case Elsewhere:
		s.shyUs = d.nowUs + elsewhereUs
		c.tried = append(c.tried, on)
	case Missing:
		s.missing[c.unit()] = d.nowUs + missingUs
		c.tried = append(c.tried, on)
	case Refused:
		s.shyUs = max(s.shyUs, d.nowUs+fullUs)
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

// again says whether a call whose leg ended so may get another.
func (d *Decider) routedAgain(c *Call, e Ending) bool {
	switch e {
	case Unsent:
		return true
	case Refused, Missing, Elsewhere, Broken, Unknown, Moved:
		if e != Refused && e != Missing && e != Elsewhere && !c.resume {
			return false
		}
		return c.Routed.arrivals < c.Routed.Route.AttemptsMost && d.budget(c.Routed.Service)
	}
	return false
}

// unrun endings are those of legs that surely have not run and never will.
func unrun(e Ending) bool {
	return e == Unsent || e == Refused || e == Missing || e == Elsewhere
}

func (c *Call) adapterUnit() string {
	if c.Routed != nil {
		return c.unit()
	}
	return c.Adapter
}

func (d *Decider) arrivedRouted(c *Call) {
	b := d.budgetOf(c.Routed.Service)
	b.calls[b.now]++
	d.prospects.arrived(c)
	if d.waiting >= d.opts.BacklogMax && !d.makeRoom(c) {
		d.give(c, fault.Overloaded, "the backlog is full", d.RetryMs())
		return
	}
	d.enqueue(c)
}

func (d *Decider) endedRouted(c *Call, e Ended, on string) {
	d.landed(c, e.Leg, on, e.Ending)
	if e.Ending != Unsent {
		c.Routed.arrivals++
	}
	if !unrun(e.Ending) {
		c.ran = true
	}
	c.Had = int(c.Progress.Load())
	if c.gone || (e.Ending == Done || e.Ending == Failed) || !d.routedAgain(c, e.Ending) {
		if !c.gone && unrun(e.Ending) && !c.ran && c.Had == 0 {
			d.give(c, fault.Overloaded, "no further replica may be tried", 30)
			return
		}
		d.over(c, e.Ending, on)
		return
	}
	if !d.termed(c) {
		return
	}
	if c.legs >= legsMost {
		d.give(c, fault.Overloaded, "its legs were refused or lost too often", d.RetryMs())
		return
	}
	d.note(c, "waits again", on, string(e.Ending))
	d.enqueue(c)
}

// maySendRouted: the newest declaration still sends this route to that service, and the life is known
// and not leaving.
func (s *Snapshot) maySendRouted(st Start, nowUs int64) bool {
	if s == nil || s.Doc == nil || nowUs >= st.ExpiryUs {
		return false
	}
	route, r := s.Doc.Route(st.Call.Kind), s.Replicas[st.Replica]
	return route != nil && r != nil && r.Inc == st.Inc && !r.Leaving && route.May(r.Service)
}

// reportRouted tells what this desk has at replicas: what runs, and the tokens of prompts that no first
// piece has come for.
func (d *Decider) reportRouted(rep *wire.Report) {
	d.promised(rep)
	d.reportOutcomes(rep)
	for id, s := range d.sites {
		if d.snap != nil && d.snap.Replicas[id] == nil && len(s.flights) == 0 {
			delete(d.sites, id)
			continue
		}
		if len(s.flights) == 0 {
			continue
		}
		for _, f := range s.flights {
			if f.call.Model != "" {
				if rep.Runs == nil {
					rep.Runs = map[string]int{}
				}
				rep.Runs[id+"|"+f.call.Model]++
			}
			if f.call.FirstUs.Load() < f.startUs {
				if f.call.Model != "" {
					if rep.Unread == nil {
						rep.Unread = map[string]int{}
					}
					rep.Unread[id+"|"+f.call.Model]++
				}
			}
		}
		rep.InFlight[id] = len(s.flights)
	}
}
