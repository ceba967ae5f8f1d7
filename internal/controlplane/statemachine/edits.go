package statemachine

import (
	"encoding/json"
	"slices"

	"petreltide/internal/api/configuration"
)

const (
	// maxEdits bounds the number of retained edits. A gateway that is further behind gets the complete declaration.
	maxEdits = 32
	// maxEditBytes bounds the total size of the retained edits as JSON, which keeps snapshots small.
	maxEditBytes = 1 << 20
)

// AppliedEdit is the edit that led from one revision to the next.
type AppliedEdit struct {
	// From is the revision that the edit was applied to.
	From uint64              `json:"from"`
	Edit *configuration.Edit `json:"edit"`
	// Bytes is the size of Edit as JSON.
	Bytes int `json:"bytes"`
}

// retainEdit appends an edit and drops the oldest ones beyond maxEdits and maxEditBytes. An edit larger than
// maxEditBytes leaves no edits retained.
func (s *State) retainEdit(e AppliedEdit) {
	raw, err := json.Marshal(e.Edit)
	if err != nil {
		panic(err)
	}
	e.Bytes = len(raw)
	all := append(slices.Clone(s.Edits), e)
	from, bytes := len(all), 0
	for from > 0 && len(all)-from < maxEdits && bytes+all[from-1].Bytes <= maxEditBytes {
		from--
		bytes += all[from].Bytes
	}
	s.Edits = slices.Clone(all[from:])
}

// EditsSince returns the edits that lead from a revision to the one in force, or false where some of them are no longer
// retained.
func (s *State) EditsSince(revision uint64) ([]*configuration.Edit, bool) {
	edits := []*configuration.Edit{}
	for _, e := range s.Edits {
		if e.From >= revision {
			edits = append(edits, e.Edit)
		}
	}
	return edits, revision <= s.Revision && uint64(len(edits)) == s.Revision-revision
}
