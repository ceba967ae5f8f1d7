package controller

import (
	"sort"

	"petreltide/internal/ledger"
)

func (f *Controller) grant(seen Seen, duty *ledger.Duty) {
	s := seen.State
	desks := f.live(seen.NowUs)
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Leaving || r.Dark || r.Inc == "" {
			continue
		}
		for _, unit := range sorted(r.Holds) {
			if s.Doc.Model(unit) == nil {
				continue
			}
			for _, desk := range desks {
				report := f.desks[desk].report
				g := ledger.Grant{Desk: desk, Replica: id, Model: unit}
				want := min(max(uint64(report.Arrivals[unit]*2*legSeconds), legsLeast), legsMost)
				have, ok := s.Grants[g.Key()]
				if ok && have.DeskInc == report.Inc && have.Inc == r.Inc {
					left, told := report.Left[id+"|"+unit]
					if !told || left.Ticket != have.Ticket || left.Left*2 > want {
						continue
					}
				}
				duty.Grants = append(duty.Grants, ledger.GrantAsk{
					Desk: desk, DeskInc: report.Inc, Replica: id, Inc: r.Inc, Model: unit, Count: want,
				})
			}
		}
	}
}

// share divides a replica's slots by what each desk has there and what waits for its models.
func (f *Controller) share(seen Seen, duty *ledger.Duty) {
	if seen.NowUs-f.shareUs < shareEveryUs {
		return
	}
	f.shareUs = seen.NowUs
	s := seen.State
	desks := f.live(seen.NowUs)
	if len(desks) == 0 {
		return
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		if r.Leaving || r.Dark {
			continue
		}
		weights := make([]float64, len(desks))
		var whole float64
		for i, desk := range desks {
			report := f.desks[desk].report
			weights[i] = 0.5 + float64(report.InFlight[id])
			for _, unit := range sorted(r.Holds) {
				weights[i] += float64(report.Waiting[unit]) * 0.5
				weights[i] += report.Arrivals[unit] * 0.1
			}
			whole += weights[i]
		}
		shares := map[string]int{}
		spare := r.Slots
		if spare >= len(desks) {
			for _, desk := range desks {
				shares[desk] = 1
			}
			spare -= len(desks)
		}
		given := 0
		for i, desk := range desks {
			n := int(float64(spare) * weights[i] / whole)
			shares[desk] += n
			given += n
		}
		order := make([]int, len(desks))
		for i := range order {
			order[i] = i
		}
		sort.SliceStable(order, func(a, b int) bool { return weights[order[a]] > weights[order[b]] })
		for i := 0; given < spare; i = (i + 1) % len(order) {
			shares[desks[order[i]]]++
			given++
		}
		if f.worthwhile(r, shares) {
			if duty.Shares == nil {
				duty.Shares = map[string]map[string]int{}
			}
			duty.Shares[id] = shares
		}
	}
}

func (f *Controller) worthwhile(r *ledger.Replica, shares map[string]int) bool {
	if len(r.Shares) != len(shares) {
		return true
	}
	moved := 0
	for desk, n := range shares {
		had, ok := r.Shares[desk]
		if !ok {
			return true
		}
		row := f.desks[desk]
		if n > had && row != nil && row.report.InFlight[r.ID] >= had {
			return true
		}
		moved += max(n-had, had-n)
	}
	return moved*3 > r.Slots*2
}

func (f *Controller) markKeys(seen Seen, duty *ledger.Duty) {
	if f.markUs == 0 {
		f.markUs = seen.NowUs
	}
	if seen.NowUs-f.markUs < keyMarkUs {
		return
	}
	f.markUs = seen.NowUs
	f.marks = append(f.marks, seen.State.Index)
	if len(f.marks) > keyMarks {
		duty.Forget = f.marks[0]
		f.marks = f.marks[1:]
	}
}
