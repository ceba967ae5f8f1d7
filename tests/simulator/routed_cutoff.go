package simulator

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/tests/rules"
)

// CutOff cuts control machines off from the others for a time. Clients, operators and replicas go on
// reaching them, but where a field says otherwise.
type CutOff struct {
	Role Role
	// Count is how many are cut off together; 0 is one.
	Count int
	AtUs  int64
	ForUs int64
	Way   Way
	// All also cuts them off from the gateways, Near from gateways and replicas of other zones.
	All  bool
	Near bool
	// Lure makes leaving replicas and a third of the others report there first; Meet makes operators ask there first.
	Lure bool
	Meet bool
	// Race sends changes in pairs meanwhile, Drain makes replicas leave.
	Race  bool
	Drain bool
	// Then is told which machines were cut off, as they are.
	Then func(struck []*routedControlNode)
	// FreezeUs stops their processes for a while from the start, StepUs lets their clocks jump ahead.
	FreezeUs int64
	StepUs   int64
}

// Role says which control machine is struck, by what it does at that moment.
type Role string

// The roles: by place in the chain, the machine that leads, and one that is being taken in.
const (
	HeadRole       Role = "head"
	MiddleRole     Role = "middle"
	TailRole       Role = "tail"
	ControllerRole Role = "controller"
	JoinerRole     Role = "joiner"
	// FollowedRole are the machines that the first gateway follows.
	FollowedRole Role = "followed"
	// TurnRole are those that were cut off least often.
	TurnRole Role = "turn"
)

// Way is how a cut shows at the ends.
type Way string

// The ways of a cut.
const (
	// SilentWay means that packets vanish in both directions.
	SilentWay Way = "silent"
	// MuteWay means that what they say vanishes, and what is said to them arrives. DeafWay is the other direction.
	MuteWay Way = "mute"
	DeafWay Way = "deaf"
	// ResetWay means that calls fail at once, and connections that are open end.
	ResetWay Way = "reset"
)

// cutOffState is what stands while machines are cut off.
type cutOffState struct {
	reset map[[2]string]int
	lure  []*routedControlNode
	meet  []*routedControlNode
	// hard operators go to the machine that they are made to meet until it answers.
	hard  bool
	joins bool
	left  int
	times map[string]int
}

func (c *cutOffState) refuses(from, to string) bool { return c.reset[[2]string{from, to}] > 0 }

// resets makes a cut link refuse calls at once, in both directions.
func (d *routedDay) resets(a, b string, forUs int64) {
	if d.cutOff.reset == nil {
		d.cutOff.reset = map[[2]string]int{}
	}
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		d.cutOff.reset[pair]++
		d.at(d.nowUs+forUs, func() { d.cutOff.reset[pair]-- })
	}
}

// controlNodeFor is the machine that a replica reports to: at its first try where it is lured, else one of the list.
func (d *routedDay) controlNodeFor(p *replicaNode, try int) *routedControlNode {
	if lure := d.cutOff.lure; try == 0 && len(lure) > 0 && (p.core.Draining || d.lured(p)) {
		return lure[0]
	}
	addrs := d.listedNow()
	return d.controlNodeAt(addrs[d.r.Intn(len(addrs))])
}

// lured: every third replica.
func (d *routedDay) lured(p *replicaNode) bool {
	sum := 0
	for _, c := range p.name {
		sum += int(c)
	}
	return sum%3 == 0
}

// controlNodeFor is the machine that an operator calls: first the one that it is made to meet.
func (p *routedOperators) controlNodeFor(first bool) *routedControlNode {
	d := p.day
	if meet := d.cutOff.meet; (first || d.cutOff.hard) && len(meet) > 0 {
		return meet[p.r.Intn(len(meet))]
	}
	addrs := d.listedNow()
	return d.controlNodeAt(addrs[p.r.Intn(len(addrs))])
}

// struck are the machines that hold a role now; none where nobody does.
func (d *routedDay) struck(c CutOff) []*routedControlNode {
	if c.Role == TurnRole {
		return d.leastCut(max(c.Count, 1))
	}
	all := []*routedControlNode{}
	for _, o := range d.upControlNodes() {
		if o.holds(c.Role) {
			all = append(all, o)
		}
	}
	for _, o := range d.upControlNodes() {
		if len(all) > 0 && c.Role != JoinerRole && !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	return all[:min(len(all), max(c.Count, 1))]
}

func (o *routedControlNode) holds(role Role) bool {
	n := o.core.Node
	switch role {
	case HeadRole:
		return n.IsHead()
	case TailRole:
		return n.IsTail()
	case MiddleRole:
		return n.Phase() == chain.PhaseServing && !n.IsHead() && !n.IsTail()
	case ControllerRole:
		return o.isLeader()
	case JoinerRole:
		return n.Phase() == chain.PhaseStandby && n.LastIndex() > 0
	case FollowedRole:
		return o.streams[o.day.gateways[0].name] != nil
	}
	return false
}

// cutOffNow brings the cut about, or looks again a moment later where nobody holds the role yet.
func (d *routedDay) cutOffNow(c CutOff, limitUs int64) {
	struck := d.struck(c)
	if c.Role == JoinerRole && len(struck) == 0 && !d.cutOff.joins {
		d.cutOff.joins = true
		d.empty("b")
	}
	if len(struck) == 0 {
		if d.nowUs < limitUs {
			d.at(d.nowUs+5*ms, func() { d.cutOffNow(c, limitUs) })
		}
		return
	}
	d.count(Fault{Kind: "cut-off-" + string(c.Role)})
	d.count(Fault{Kind: "cut-off-" + string(c.Way)})
	for _, o := range struck {
		if d.cutOff.times == nil {
			d.cutOff.times = map[string]int{}
		}
		d.cutOff.times[o.name]++
		d.note("cut off %s (%s, %s) for %.1f s", o.name, c.Role, c.Way, float64(c.ForUs)/1e6)
		for _, m := range d.otherSide(c, o, struck) {
			d.cutOffFrom(c, o.name, m)
		}
		if c.FreezeUs > 0 {
			d.freeze(&o.machine, c.FreezeUs)
		}
		if c.StepUs > 0 {
			o.skewUs += c.StepUs
			d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: o.name, Kind: "clock", FromUs: d.nowUs, ToUs: d.nowUs})
		}
	}
	d.cutOffBy(c, struck)
}

// otherSide are the machines that one which is struck loses.
func (d *routedDay) otherSide(c CutOff, o *routedControlNode, struck []*routedControlNode) []string {
	names := []string{}
	for _, other := range d.controlNodes {
		if !other.removed && !slices.Contains(struck, other) {
			names = append(names, other.name)
		}
	}
	for _, t := range d.gateways {
		if c.All || (c.Near && t.zone != o.zone) {
			names = append(names, t.name)
		}
	}
	for _, p := range d.running("") {
		if c.Near && p.core.Zone() != o.zone {
			names = append(names, p.name)
		}
	}
	return names
}

func (d *routedDay) cutOffFrom(c CutOff, struck, other string) {
	if c.Way != DeafWay {
		d.cut(struck, other, c.ForUs)
	}
	if c.Way != MuteWay {
		d.cut(other, struck, c.ForUs)
	}
	if c.Way == ResetWay {
		d.resets(struck, other, c.ForUs)
		for _, o := range d.controlNodes {
			for _, gateway := range slices.Sorted(maps.Keys(o.streams)) {
				s := o.streams[gateway]
				if (o.name == struck && s.gateway.name == other) || (o.name == other && s.gateway.name == struck) {
					s.reset(o)
				}
			}
		}
	}
}

// reset ends a stream at both ends at once.
func (s *frameStream) reset(o *routedControlNode) {
	gateway, number := s.gateway, s.number
	s.down.closed = true
	o.day.at(o.day.nowUs+ms, func() {
		o.now(o.boot, func() { o.unfollow(s) })
		gateway.now(gateway.boot, func() { gateway.closed(number) })
	})
}

// cutOffBy is what others do meanwhile.
func (d *routedDay) cutOffBy(c CutOff, struck []*routedControlNode) {
	if c.Lure {
		d.cutOff.lure = struck
	}
	if c.Meet {
		d.cutOff.meet = struck
	}
	endUs := d.nowUs + c.ForUs
	for us := d.nowUs + 200*ms; us < endUs+3*sec; us += 700 * ms {
		d.at(us, func() { d.readAll() })
	}
	if c.Race {
		for us := d.nowUs + 300*ms; us < endUs; us += 4 * sec {
			d.at(us, func() { d.ops.do(d.ops.race) })
		}
	}
	if c.Drain {
		for us := d.nowUs + 100*ms; us < endUs-2*sec; us += 5 * sec {
			d.at(us, d.drainOne)
		}
	}
	d.at(endUs, func() {
		d.cutOff.lure, d.cutOff.meet = nil, nil
	})
	if c.Then != nil {
		c.Then(struck)
	}
}

// readAll asks every control machine by itself.
func (d *routedDay) readAll() {
	for _, o := range d.upControlNodes() {
		d.ops.readAt(o, func(_ *configuration.Declaration, _ bool) {})
	}
}

// drainOne lets a replica of each service leave and another come in its place. One says that it drains, the
// other that it is gone; which is which goes by turns.
func (d *routedDay) drainOne() {
	d.cutOff.left++
	for i, service := range []string{"cards", "log"} {
		for _, p := range d.running(service) {
			if p.core.Draining {
				continue
			}
			d.fresh(p)
			if (d.cutOff.left+i)%2 == 0 {
				p.withdraw()
			} else {
				p.drain()
			}
			break
		}
	}
}
