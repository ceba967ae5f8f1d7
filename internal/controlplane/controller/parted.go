package controller

import (
	"petreltide/internal/controlplane/placement"
)

const partedMost = 64

// Parted says how often a shadow's proposals were not the live policy's, and where.
type Parted struct {
	Runs uint64            `json:"runs"`
	Same uint64            `json:"same"`
	Only map[string]uint64 `json:"only"`
	Left map[string]uint64 `json:"left"`
}

func step(p placement.Proposal) string { return string(p.Step) + " " + p.Unit + " at " + p.Replica }

func (p *Parted) add(live, shadow []placement.Proposal) *Parted {
	if p == nil {
		p = &Parted{Only: map[string]uint64{}, Left: map[string]uint64{}}
	}
	p.Runs++
	only, left := apart(shadow, live), apart(live, shadow)
	if len(only)+len(left) == 0 {
		p.Same++
	}
	tally(p.Only, only)
	tally(p.Left, left)
	return p
}

// apart lists the steps of one list that the other does not have.
func apart(of, from []placement.Proposal) []string {
	has := map[string]bool{}
	for _, q := range from {
		has[step(q)] = true
	}
	steps := []string{}
	for _, q := range of {
		if !has[step(q)] {
			steps = append(steps, step(q))
		}
	}
	return steps
}

func tally(into map[string]uint64, steps []string) {
	for _, s := range steps {
		if _, known := into[s]; !known && len(into) >= partedMost {
			s = "others"
		}
		into[s]++
	}
}
