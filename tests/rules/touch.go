package rules

import (
	"cmp"
	"slices"
)

// FaultInterval is what was done to one machine. Edge troubles have an effect where they begin and end; Slow
// ones, such as slow disks and lossy links, all along. Down processes and Planned work are both edges.
type FaultInterval struct {
	Machine string
	Kind    string
	FromUs  int64
	ToUs    int64
	Slow    bool
	Down    bool
	Planned bool
}

// Partition is a link from one machine to another that carries nothing.
type Partition struct {
	From   string
	To     string
	FromUs int64
	ToUs   int64
}

// Member is a machine of the core, from its first start until it is removed.
type Member struct {
	Machine string
	FromUs  int64
	ToUs    int64
}

type interval struct{ fromUs, toUs int64 }

// union joins spans that touch.
func union(spans []interval) []interval {
	slices.SortFunc(spans, func(a, b interval) int { return cmp.Compare(a.fromUs, b.fromUs) })
	out := []interval{}
	for _, s := range spans {
		if n := len(out); n > 0 && s.fromUs <= out[n-1].toUs {
			out[n-1].toUs = max(out[n-1].toUs, s.toUs)
			continue
		}
		out = append(out, s)
	}
	return out
}

func covered(spans []interval, us int64) bool {
	i, found := slices.BinarySearchFunc(spans, us, func(s interval, us int64) int { return cmp.Compare(s.fromUs, us) })
	if found {
		return true
	}
	return i > 0 && spans[i-1].toUs >= us
}

// touch answers which machines were in touch when, by what was done to them.
type touch struct {
	d         *Day
	unsettled []interval
	links     []interval
	minority  []interval
	own       map[string][]interval
	paths     map[string][]interval
}

func (d *Day) coreAt(us int64) []string {
	names := []string{}
	for _, m := range d.Core {
		if m.FromUs <= us && us < m.ToUs {
			names = append(names, m.Machine)
		}
	}
	return names
}

func (d *Day) runs(machine string, us int64) bool {
	for _, t := range d.Faults {
		if t.Machine == machine && t.Down && t.FromUs <= us && us < t.ToUs {
			return false
		}
	}
	return true
}

func (d *Day) slowed(machine string, us int64) bool {
	for _, t := range d.Faults {
		if t.Machine == machine && t.Slow && t.FromUs <= us && us <= t.ToUs {
			return true
		}
	}
	return false
}

func (d *Day) joined(a, b string, us int64) bool {
	for _, c := range d.Partitions {
		if ((c.From == a && c.To == b) || (c.From == b && c.To == a)) && c.FromUs <= us && us < c.ToUs {
			return false
		}
	}
	return true
}

// reaching are the machines of the core that run and reach, themselves counted, more than half of it.
func (d *Day) reaching(us int64, slowToo bool) []string {
	core := d.coreAt(us)
	up := []string{}
	for _, m := range core {
		if d.runs(m, us) && (slowToo || !d.slowed(m, us)) {
			up = append(up, m)
		}
	}
	out := []string{}
	for _, m := range up {
		n := 0
		for _, o := range up {
			if o == m || d.joined(m, o, us) {
				n++
			}
		}
		if 2*n > len(core) {
			out = append(out, m)
		}
	}
	return out
}

func (d *Day) isCore(machine string, us int64) bool { return slices.Contains(d.coreAt(us), machine) }

// withoutFreezes is a day on which no machine outside the core stood still: one that did can ask what it has missed.
func withoutFreezes(d *Day) *Day {
	awake := *d
	awake.Faults = slices.DeleteFunc(slices.Clone(d.Faults), func(f FaultInterval) bool { return f.Kind == "freeze" && !d.isCore(f.Machine, f.FromUs) })
	return &awake
}

// newTouch works out from a day's troubles, members and cuts which times are unsettled and for whom.
func newTouch(d *Day) *touch {
	t := &touch{d: d, own: map[string][]interval{}, paths: map[string][]interval{}}
	edges := []int64{0}
	edges = append(edges, t.addTroubles()...)
	edges = append(edges, t.addMembers()...)
	edges = append(edges, t.addCuts()...)
	if c := d.Closing; c != nil && c.MajorityDown {
		t.unsettled = append(t.unsettled, interval{c.AtUs, c.BackUs + 2*d.Bounds.ContactUs})
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	t.addMinorities(edges)
	t.unsettled = union(append(t.unsettled, t.minority...))
	t.links, t.paths[""] = union(t.links), union(t.paths[""])
	for m := range t.own {
		t.own[m] = union(t.own[m])
	}
	t.addPaths(edges)
	return t
}

// unsettle adds a time of contact after each of some moments.
func (t *touch) unsettle(moments ...int64) {
	for _, us := range moments {
		t.unsettled = append(t.unsettled, interval{us, us + t.d.Bounds.ContactUs})
	}
}

// addTroubles adds what was done to machines, and gives when troubles of the core begin and end.
func (t *touch) addTroubles() (edges []int64) {
	d, contactUs := t.d, t.d.Bounds.ContactUs
	for _, x := range d.Faults {
		t.own[x.Machine] = append(t.own[x.Machine], interval{x.FromUs, x.ToUs + contactUs})
		if !d.isCore(x.Machine, x.FromUs) && !d.isCore(x.Machine, x.ToUs) {
			continue
		}
		edges = append(edges, x.FromUs, x.ToUs)
		if x.Slow {
			t.unsettled = append(t.unsettled, interval{x.FromUs, x.ToUs + contactUs})
			t.links = append(t.links, interval{x.FromUs, x.ToUs})
			continue
		}
		t.unsettle(x.FromUs, x.ToUs)
	}
	return edges
}

// addMembers adds when machines of the core come and go, and gives these moments.
func (t *touch) addMembers() (edges []int64) {
	for _, m := range t.d.Core {
		edges = append(edges, m.FromUs, m.ToUs)
		if m.FromUs > 0 {
			t.unsettle(m.FromUs)
		}
		t.unsettle(m.ToUs)
	}
	return edges
}

// addCuts adds the cuts of links, and gives when they begin and end.
func (t *touch) addCuts() (edges []int64) {
	d := t.d
	for _, c := range d.Partitions {
		t.links = append(t.links, interval{c.FromUs, c.ToUs})
		edges = append(edges, c.FromUs, c.ToUs)
		if d.isCore(c.From, c.FromUs) && d.isCore(c.To, c.FromUs) {
			t.unsettle(c.FromUs, c.ToUs)
		}
	}
	return edges
}

// addMinorities adds the times between moments in which no machine of the core reaches most of it; under the name ""
// also those in which none does that is not slowed.
func (t *touch) addMinorities(edges []int64) {
	for i, us := range edges {
		toUs := Open
		if i+1 < len(edges) {
			toUs = edges[i+1]
		}
		if len(t.d.reaching(us, true)) == 0 {
			t.minority = append(t.minority, interval{us, toUs})
		}
		if len(t.d.reaching(us, false)) == 0 {
			t.paths[""] = append(t.paths[""], interval{us, toUs})
		}
	}
}

// addPaths adds the times in which a cut takes a machine its path to a machine of the core that runs and reaches most of
// it. Between two of the moments at which anything changes the answer is the same.
func (t *touch) addPaths(edges []int64) {
	d := t.d
	for _, c := range d.Partitions {
		for i, us := range edges {
			if us < c.FromUs || us >= c.ToUs {
				continue
			}
			toUs := c.ToUs
			if i+1 < len(edges) {
				toUs = min(toUs, edges[i+1])
			}
			reaching := d.reaching(us, true)
			for _, pair := range [][2]string{{c.From, c.To}, {c.To, c.From}} {
				if slices.Contains(reaching, pair[1]) {
					t.paths[pair[0]] = append(t.paths[pair[0]], interval{us, toUs + d.Bounds.ContactUs})
				}
			}
		}
	}
	for m := range t.paths {
		t.paths[m] = union(t.paths[m])
	}
}

func (t *touch) settled(us int64) bool { return !covered(t.unsettled, us) }

// calm: nothing at all was in trouble in this stretch but what had settled before.
func (t *touch) calm(us int64) bool { return t.settled(us) && !covered(t.links, us) }

// itself: the machine's own processes, disk, links and clock were well for long enough, and it has its paths.
func (t *touch) itself(machine string, us int64) bool {
	return !covered(t.own[machine], us) && !covered(t.paths[machine], us)
}

func (t *touch) in(machine string, us int64) bool { return t.settled(us) && t.itself(machine, us) }

func (t *touch) within(machine string, fromUs, toUs int64) bool {
	return t.in(machine, fromUs) && t.in(machine, toUs) && !crosses(t.own[machine], fromUs, toUs) && !crosses(t.unsettled, fromUs, toUs) && !crosses(t.paths[machine], fromUs, toUs)
}

// outer: the machine is well and most of the core has run all the while, joined and not slowed, though it
// is not settled.
func (t *touch) outer(machine string, sinceUs, fromUs, toUs int64) bool {
	return t.itself(machine, fromUs) && !crosses(t.own[machine], fromUs, toUs) && !crosses(t.paths[machine], fromUs, toUs) && !crosses(t.paths[""], sinceUs, toUs)
}

func crosses(spans []interval, fromUs, toUs int64) bool {
	for _, s := range spans {
		if s.fromUs <= toUs && s.toUs >= fromUs {
			return true
		}
	}
	return false
}

// firstGap is the first moment from which no span stands for a time, or -1.
func firstGap(spans []interval, fromUs, toUs, needUs int64) int64 {
	atUs := fromUs
	for _, s := range spans {
		if s.toUs < atUs {
			continue
		}
		if s.fromUs-atUs > needUs {
			break
		}
		atUs = max(atUs, s.toUs)
	}
	if atUs+needUs < toUs {
		return atUs
	}
	return -1
}
