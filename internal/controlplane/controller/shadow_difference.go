package controller

import (
	"petreltide/internal/controlplane/placement"
)

// maxDifferences bounds the proposals that are counted by name; all others are counted as "others".
const maxDifferences = 64

// ShadowDifference says how often a shadow's proposals were not the live policy's, and where.
type ShadowDifference struct {
	Runs       uint64            `json:"runs"`
	Same       uint64            `json:"same"`
	ShadowOnly map[string]uint64 `json:"only"`
	LiveOnly   map[string]uint64 `json:"left"`
}

func proposalText(p placement.Proposal) string {
	return string(p.Step) + " " + p.Unit + " at " + p.Replica
}

func (p *ShadowDifference) add(live, shadow []placement.Proposal) *ShadowDifference {
	if p == nil {
		p = &ShadowDifference{ShadowOnly: map[string]uint64{}, LiveOnly: map[string]uint64{}}
	}
	p.Runs++
	only, left := missingFrom(shadow, live), missingFrom(live, shadow)
	if len(only)+len(left) == 0 {
		p.Same++
	}
	countProposals(p.ShadowOnly, only)
	countProposals(p.LiveOnly, left)
	return p
}

// missingFrom lists the steps of one list that the other does not have.
func missingFrom(of, from []placement.Proposal) []string {
	has := map[string]bool{}
	for _, q := range from {
		has[proposalText(q)] = true
	}
	steps := []string{}
	for _, q := range of {
		if !has[proposalText(q)] {
			steps = append(steps, proposalText(q))
		}
	}
	return steps
}

func countProposals(into map[string]uint64, steps []string) {
	for _, s := range steps {
		if _, known := into[s]; !known && len(into) >= maxDifferences {
			s = "others"
		}
		into[s]++
	}
}
