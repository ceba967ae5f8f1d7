package controller

import (
	"petreltide/internal/controlplane/placement"
)

// maxDifferences bounds the proposals that are counted by name; all others are counted as "others".
const maxDifferences = 64

// ShadowDifference counts how often the proposals of a shadow policy differed from those of the live policy. ShadowOnly
// counts the proposals made only by the shadow, LiveOnly those made only by the live policy.
type ShadowDifference struct {
	Runs       uint64            `json:"runs"`
	Same       uint64            `json:"same"`
	ShadowOnly map[string]uint64 `json:"only"`
	LiveOnly   map[string]uint64 `json:"left"`
}

func proposalText(p placement.Proposal) string {
	return string(p.Step) + " " + p.Unit + " at " + p.Replica
}

func (d *ShadowDifference) add(live, shadow []placement.Proposal) *ShadowDifference {
	if d == nil {
		d = &ShadowDifference{ShadowOnly: map[string]uint64{}, LiveOnly: map[string]uint64{}}
	}
	d.Runs++
	only, left := missingFrom(shadow, live), missingFrom(live, shadow)
	if len(only)+len(left) == 0 {
		d.Same++
	}
	countProposals(d.ShadowOnly, only)
	countProposals(d.LiveOnly, left)
	return d
}

// missingFrom returns the texts of those proposals that are missing from others.
func missingFrom(proposals, others []placement.Proposal) []string {
	has := map[string]bool{}
	for _, q := range others {
		has[proposalText(q)] = true
	}
	steps := []string{}
	for _, q := range proposals {
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
