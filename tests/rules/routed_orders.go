package rules

import (
	"cmp"
	"slices"

	"petreltide/tests/platform/replica"
)

// one: orders at each replica follow one way of judging, whoever gives them.
func (j *judge) one() {
	byReplica := map[string][]replica.OrderSeen{}
	holders := map[uint64]replica.OrderSeen{}
	slices.SortStableFunc(j.Orders, func(a, b replica.OrderSeen) int { return cmp.Compare(a.AtUs, b.AtUs) })
	for _, o := range j.Orders {
		if j.held(o) {
			continue
		}
		byReplica[o.Replica] = append(byReplica[o.Replica], o)
		if first, seen := holders[o.Fence]; seen && first.Holder != o.Holder {
			j.breach(One, "fence %d is held by %s at %.3f and by %s at %.3f", o.Fence, first.Holder, sec(first.AtUs), o.Holder, sec(o.AtUs))
		} else if !seen {
			holders[o.Fence] = o
		}
	}
	for id, all := range byReplica {
		for i := 1; i < len(all); i++ {
			a, b := all[i-1], all[i]
			if a.Holder != b.Holder {
				j.stake(One)
				if b.AtUs-a.AtUs < j.Bounds.LeaseUs {
					j.breach(One, "%s took turns at %s: fence %d at %.3f, then %s with %d %.0f ms later", a.Holder, id, a.Fence, sec(a.AtUs), b.Holder, b.Fence, float64(b.AtUs-a.AtUs)/1000)
				}
			}
			if b.Fence < a.Fence {
				j.breach(One, "%s took fence %d at %.3f after %d at %.3f", id, b.Fence, sec(b.AtUs), a.Fence, sec(a.AtUs))
			}
		}
	}
}

// held: an order that its sender's thaw or a link's healing let go of does not count.
func (j *judge) held(o replica.OrderSeen) bool {
	for _, t := range j.Faults {
		if t.Machine == o.From && t.Kind == "freeze" && o.AtUs >= t.ToUs && o.AtUs <= t.ToUs+j.Bounds.ThawUs {
			return true
		}
	}
	for _, c := range j.Partitions {
		if c.From == o.From && c.To == o.Replica && o.AtUs >= c.ToUs && o.AtUs <= c.ToUs+j.Bounds.ThawUs {
			return true
		}
	}
	return false
}

// loads: no replica is told to hold more than it can, and the store gives no more than it should.
func (j *judge) loads() {
	for _, o := range j.Orders {
		if o.Operation == "loading" && o.Status == 202 {
			j.stake(Limit)
		}
		if o.Over {
			j.breach(Limit, "%s was ordered at %.3f to load %s beyond what it can hold", o.Replica, sec(o.AtUs), o.Unit)
		}
	}
	if j.Bounds.LoadsPerS == 0 {
		return
	}
	at := []int64{}
	for _, l := range j.Loads {
		if l.FromStore && j.t.calm(l.AtUs) {
			at = append(at, l.AtUs)
		}
	}
	slices.Sort(at)
	most := j.Bounds.LoadsPerS*float64(j.Bounds.LoadWindowUs)/1e6*j.Bounds.LoadOvershoot + 3
	for _, fromUs := range at {
		n := countIn(at, fromUs, fromUs+j.Bounds.LoadWindowUs)
		if float64(n) > most/2 {
			j.stake(LoadRate)
		}
		if float64(n) > most {
			j.breach(LoadRate, "%d loads began within %.0f s from %.3f, the store allows %.1f", n, sec(j.Bounds.LoadWindowUs), sec(fromUs), most)
			break
		}
	}
}
