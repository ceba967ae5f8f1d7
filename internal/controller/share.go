package controller

import (
	"sort"

	"petreltide/internal/ledger"
)

func (f *Controller) dropDesks(seen Seen, duty *ledger.Duty) {
	for _, id := range sorted(f.desks) {
		if seen.NowUs-f.desks[id].atUs > deskGoneUs {
			duty.Desks = append(duty.Desks, id)
			delete(f.desks, id)
		}
	}
}

func (f *Controller) forgetDesks(nowUs int64) {
	for id, d := range f.desks {
		if nowUs-d.atUs > deskGoneUs {
			delete(f.desks, id)
		}
	}
}

// silent: both watchers that the ring names miss its beats, and its own reports have stopped too.
func (f *Controller) silent(nowUs int64, id string) bool {
	return nowUs-f.desks[id].atUs > reportLateUs && f.jury.Gone(nowUs, id)
}

func (f *Controller) live(nowUs int64) []string {
	ids := []string{}
	for _, id := range sorted(f.desks) {
		if d := f.desks[id]; nowUs-d.atUs < deskLiveUs && !d.report.Draining && !f.silent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

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

func (f *Controller) demand(nowUs int64) (rates map[string]float64, waiting map[string]int) {
	rates, waiting = map[string]float64{}, map[string]int{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		if nowUs-d.atUs > deskLiveUs {
			continue
		}
		for unit, rate := range d.report.Arrivals {
			rates[unit] += rate
		}
		for unit, n := range d.report.Waiting {
			waiting[unit] += n
		}
	}
	return rates, waiting
}
