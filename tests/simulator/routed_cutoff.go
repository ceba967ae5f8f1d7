package simulator

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/tests/rules"
)

// Partition cuts control machines off from the others for a time. Clients, operators and replicas go on
// reaching them, but where a field says otherwise.
type Partition struct {
	Role Role
	// Count is how many are cut off together; 0 is one.
	Count      int
	AtUs       int64
	DurationUs int64
	Direction  Direction
	// IncludesGateways also cuts them off from the gateways, Near from gateways and replicas of other zones.
	IncludesGateways bool
	Near             bool
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

// Direction is how a cut shows at the ends.
type Direction string

// The ways of a cut.
const (
	// SilentWay means that packets vanish in both directions.
	SilentWay Direction = "silent"
	// MuteWay means that what they say vanishes, and what is said to them arrives. DeafWay is the other direction.
	MuteWay Direction = "mute"
	DeafWay Direction = "deaf"
	// ResetWay means that calls fail at once, and connections that are open end.
	ResetWay Direction = "reset"
)

// partitionState is what stands while machines are cut off.
type partitionState struct {
	reset map[[2]string]int
	lure  []*routedControlNode
	meet  []*routedControlNode
	// hard operators go to the machine that they are made to meet until it answers.
	hard  bool
	joins bool
	left  int
	times map[string]int
}

func (c *partitionState) refuses(from, to string) bool { return c.reset[[2]string{from, to}] > 0 }

// resets makes a cut link refuse calls at once, in both directions.
func (d *routedDay) resets(a, b string, forUs int64) {
	if d.partitions.reset == nil {
		d.partitions.reset = map[[2]string]int{}
	}
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		d.partitions.reset[pair]++
		d.schedule(d.nowUs+forUs, func() { d.partitions.reset[pair]-- })
	}
}

// controlNodeFor is the machine that a replica reports to: at its first try where it is lured, else one of the list.
func (d *routedDay) controlNodeFor(p *replicaNode, try int) *routedControlNode {
	if lure := d.partitions.lure; try == 0 && len(lure) > 0 && (p.core.Draining || d.luredTo(p)) {
		return lure[0]
	}
	addrs := d.currentSeeds()
	return d.controlNodeAt(addrs[d.random.Intn(len(addrs))])
}

// luredTo: every third replica.
func (d *routedDay) luredTo(p *replicaNode) bool {
	sum := 0
	for _, c := range p.name {
		sum += int(c)
	}
	return sum%3 == 0
}

// controlNodeFor is the machine that an operator calls: first the one that it is made to meet.
func (ops *routedOperators) controlNodeFor(first bool) *routedControlNode {
	d := ops.day
	if meet := d.partitions.meet; (first || d.partitions.hard) && len(meet) > 0 {
		return meet[ops.random.Intn(len(meet))]
	}
	addrs := d.currentSeeds()
	return d.controlNodeAt(addrs[ops.random.Intn(len(addrs))])
}

// partitionedNodes are the machines that hold a role now; none where nobody does.
func (d *routedDay) partitionedNodes(c Partition) []*routedControlNode {
	if c.Role == TurnRole {
		return d.leastPartitioned(max(c.Count, 1))
	}
	all := []*routedControlNode{}
	for _, o := range d.upControlNodes() {
		if o.hasRole(c.Role) {
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

func (cn *routedControlNode) hasRole(role Role) bool {
	n := cn.core.Node
	switch role {
	case HeadRole:
		return n.IsHead()
	case TailRole:
		return n.IsTail()
	case MiddleRole:
		return n.Phase() == chain.PhaseServing && !n.IsHead() && !n.IsTail()
	case ControllerRole:
		return cn.isLeader()
	case JoinerRole:
		return n.Phase() == chain.PhaseStandby && n.LastIndex() > 0
	case FollowedRole:
		return cn.streams[cn.day.gateways[0].name] != nil
	}
	return false
}

// applyPartition brings the cut about, or looks again a moment later where nobody holds the role yet.
func (d *routedDay) applyPartition(c Partition, limitUs int64) {
	struck := d.partitionedNodes(c)
	if c.Role == JoinerRole && len(struck) == 0 && !d.partitions.joins {
		d.partitions.joins = true
		d.addEmptyControlNode("b")
	}
	if len(struck) == 0 {
		if d.nowUs < limitUs {
			d.schedule(d.nowUs+5*millisecond, func() { d.applyPartition(c, limitUs) })
		}
		return
	}
	d.countFault(Fault{Kind: "cut-off-" + string(c.Role)})
	d.countFault(Fault{Kind: "cut-off-" + string(c.Direction)})
	for _, o := range struck {
		if d.partitions.times == nil {
			d.partitions.times = map[string]int{}
		}
		d.partitions.times[o.name]++
		d.logf("cut off %s (%s, %s) for %.1f s", o.name, c.Role, c.Direction, float64(c.DurationUs)/1e6)
		for _, m := range d.otherSide(c, o, struck) {
			d.partitionFrom(c, o.name, m)
		}
		if c.FreezeUs > 0 {
			d.freeze(&o.machine, c.FreezeUs)
		}
		if c.StepUs > 0 {
			o.skewUs += c.StepUs
			d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: o.name, Kind: "clock", FromUs: d.nowUs, ToUs: d.nowUs})
		}
	}
	d.partitionWith(c, struck)
}

// otherSide are the machines that one which is struck loses.
func (d *routedDay) otherSide(c Partition, o *routedControlNode, struck []*routedControlNode) []string {
	names := []string{}
	for _, other := range d.controlNodes {
		if !other.removed && !slices.Contains(struck, other) {
			names = append(names, other.name)
		}
	}
	for _, t := range d.gateways {
		if c.IncludesGateways || (c.Near && t.zone != o.zone) {
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

func (d *routedDay) partitionFrom(c Partition, struck, other string) {
	if c.Direction != DeafWay {
		d.blockLink(struck, other, c.DurationUs)
	}
	if c.Direction != MuteWay {
		d.blockLink(other, struck, c.DurationUs)
	}
	if c.Direction == ResetWay {
		d.resets(struck, other, c.DurationUs)
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
	s.fromControlNode.closed = true
	o.day.schedule(o.day.nowUs+millisecond, func() {
		o.deliver(o.boot, func() { o.unfollow(s) })
		gateway.deliver(gateway.boot, func() { gateway.closed(number) })
	})
}

// partitionWith is what others do meanwhile.
func (d *routedDay) partitionWith(c Partition, struck []*routedControlNode) {
	if c.Lure {
		d.partitions.lure = struck
	}
	if c.Meet {
		d.partitions.meet = struck
	}
	endUs := d.nowUs + c.DurationUs
	for us := d.nowUs + 200*millisecond; us < endUs+3*second; us += 700 * millisecond {
		d.schedule(us, func() { d.readAll() })
	}
	if c.Race {
		for us := d.nowUs + 300*millisecond; us < endUs; us += 4 * second {
			d.schedule(us, func() { d.operators.do(d.operators.race) })
		}
	}
	if c.Drain {
		for us := d.nowUs + 100*millisecond; us < endUs-2*second; us += 5 * second {
			d.schedule(us, d.drainOne)
		}
	}
	d.schedule(endUs, func() {
		d.partitions.lure, d.partitions.meet = nil, nil
	})
	if c.Then != nil {
		c.Then(struck)
	}
}

// readAll asks every control machine by itself.
func (d *routedDay) readAll() {
	for _, o := range d.upControlNodes() {
		d.operators.readAt(o, func(_ *configuration.Declaration, _ bool) {})
	}
}

// drainOne lets a replica of each service leave and another come in its place. One says that it drains, the
// other that it is gone; which is which goes by turns.
func (d *routedDay) drainOne() {
	d.partitions.left++
	for i, service := range []string{"cards", "log"} {
		for _, p := range d.running(service) {
			if p.core.Draining {
				continue
			}
			d.replacement(p)
			if (d.partitions.left+i)%2 == 0 {
				p.withdraw()
			} else {
				p.drain()
			}
			break
		}
	}
}
