package statemachine

import (
	"encoding/json"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// ConfigChange is a whole declaration, or an edit of the one in force. With a version of the operators'
// own, Base is the version it builds on, and the same order sent again is known by the change's id.
type ConfigChange struct {
	Base    uint64                     `json:"base"`
	Version uint64                     `json:"version,omitempty"`
	Doc     *configuration.Declaration `json:"doc,omitempty"`
	Edit    *configuration.Edit        `json:"edit,omitempty"`
}

func (s *State) applyConfig(out Outcome, c Change) Outcome {
	if first, seen := s.rememberedOutcome(c.ID); seen {
		return first
	}
	if c.Config.Version > 0 {
		return s.applyVersion(out, c)
	}
	if s.Version() > 0 {
		out.Fault = fault.New(fault.InvalidConfig, "version", "version %d is in force: send a numbered one", s.Version())
	} else if c.Config.Base != s.Revision {
		if out = s.refuseStaleBase(out, c.Config.Base, s.Revision, c.Config.Base+1); out.Fault.Code == fault.InDoubt {
			return out
		}
	} else if c.Config.Doc == nil {
		out.Fault = fault.New(fault.InvalidConfig, "", "no declaration")
	} else if f := s.checkModelSizes(c.Config.Doc); f != nil {
		out.Fault = f
	} else {
		s.Revision++
		s.Doc = c.Config.Doc
		s.UpdateIndex = s.Index
		s.dropPassedRefusals(s.Revision)
	}
	out.Revision = s.Revision
	s.remember(out)
	return out
}

// Version is the operators' own number of the declaration in force.
func (s *State) Version() uint64 {
	if s.Doc == nil {
		return 0
	}
	return s.Doc.Version
}

// applyVersion takes an operator's numbered version. What was taken is remembered, and so is a refusal that would not
// be given again (see refuseStaleBase). Any other refusal is judged anew, and found again: versions only rise, and what is
// invalid on top of one version stays invalid on top of it. Only what is in force without a number may change and leave
// the version as it is: a refusal on top of that is remembered too.
func (s *State) applyVersion(out Outcome, c Change) Outcome {
	out.Revision = s.Version()
	doc := c.Config.Doc
	if c.Config.Base != s.Version() {
		return s.refuseStaleBase(out, c.Config.Base, s.Version(), c.Config.Version)
	}
	var invalid *fault.Fault
	switch {
	case c.Config.Version <= s.Version():
		invalid = fault.New(fault.InvalidConfig, "version", "%d is not above %d", c.Config.Version, s.Version())
	case c.Config.Edit != nil && s.Doc == nil:
		invalid = fault.New(fault.InvalidConfig, "", "nothing is in force that could be edited")
	case c.Config.Edit != nil:
		doc, invalid = s.Doc.Apply(c.Config.Edit)
	case doc == nil:
		invalid = fault.New(fault.InvalidConfig, "", "neither a declaration nor an edit")
	}
	switch {
	case invalid != nil:
	case c.Config.Edit != nil && s.Version() > 0:
		// What is in force without a number has not been checked so.
		invalid = doc.CheckEdited(c.Config.Edit)
	default:
		invalid = doc.CheckRoutes()
	}
	if invalid != nil {
		out.Fault = invalid
		if s.Version() == 0 {
			s.remember(out)
		}
		return out
	}
	if c.Config.Edit != nil {
		s.retainEdit(AppliedEdit{From: s.Revision, Edit: c.Config.Edit})
	} else {
		s.Edits = nil
	}
	s.Revision++
	s.Doc = doc.Indexed()
	s.UpdateIndex = s.Index
	out.Revision = s.Version()
	s.dropPassedRefusals(s.Version())
	s.remember(out)
	return out
}

const (
	maxEdits            = 32
	maxEditBytes        = 1 << 20
	maxRememberedFaults = 16
)

// AppliedEdit is the edit that led from one revision to the next, and what it takes in a copy.
type AppliedEdit struct {
	From  uint64              `json:"from"`
	Edit  *configuration.Edit `json:"edit"`
	Bytes int                 `json:"bytes"`
}

// retainEdit keeps the newest edits, as many as there is room for.
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

// EditsSince are the edits that lead from a revision to the one in force; false where they are not kept.
func (s *State) EditsSince(revision uint64) ([]*configuration.Edit, bool) {
	edits := []*configuration.Edit{}
	for _, e := range s.Edits {
		if e.From >= revision {
			edits = append(edits, e.Edit)
		}
	}
	return edits, revision <= s.Revision && uint64(len(edits)) == s.Revision-revision
}

func (s *State) checkModelSizes(declaration *configuration.Declaration) *fault.Fault {
	var largestMB int64
	for _, r := range s.Replicas {
		largestMB = max(largestMB, r.CapacityMB)
	}
	invalid := &fault.List{}
	if largestMB > 0 {
		for _, m := range declaration.Models {
			if m.SizeMB > largestMB {
				invalid.Addf(fault.InvalidConfig, "models."+m.Name+".sizeMb", "%d MB fits no listed replica (largest %d MB)", m.SizeMB, largestMB)
			}
		}
	}
	return invalid.Combined(fault.InvalidConfig)
}
