package statemachine

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// ConfigChange is a complete declaration, or an edit of the one in force. A resent change is recognized by the ID of its
// Change.
type ConfigChange struct {
	// Base is the version that the change builds on where Version is set, and the revision otherwise.
	Base uint64 `json:"base"`
	// Version is the operator-assigned version of the resulting declaration; 0 where operators don't number declarations.
	Version uint64 `json:"version,omitempty"`
	// Doc is the complete declaration; not needed, and ignored, if Edit is set.
	Doc *configuration.Declaration `json:"doc,omitempty"`
	// Edit changes the declaration in force. It requires a Version and takes precedence over Doc.
	Edit *configuration.Edit `json:"edit,omitempty"`
}

// Version returns the operator-assigned version of the declaration in force; 0 where it has none.
func (s *State) Version() uint64 {
	if s.Doc == nil {
		return 0
	}
	return s.Doc.Version
}

// applyConfig puts a declaration in force, or returns the remembered outcome where the change was applied or refused
// before.
func (s *State) applyConfig(out Outcome, c Change) Outcome {
	if first, seen := s.rememberedOutcome(c); seen {
		return first
	}
	if c.Config.Version > 0 {
		return s.applyVersion(out, c.Config)
	}
	return s.applyUnnumbered(out, c.Config)
}

// applyUnnumbered applies a complete declaration without a version. Every outcome is remembered except an in-doubt one,
// which is evaluated again when the change is resent.
func (s *State) applyUnnumbered(out Outcome, change *ConfigChange) Outcome {
	switch {
	case s.Version() > 0:
		out.Fault = fault.New(fault.InvalidConfig, "version", "version %d is in force: send a numbered one", s.Version())
	case change.Base != s.Revision:
		out = s.refuseStaleBase(out, change.Base, s.Revision, change.Base+1)
		if out.Fault.Code == fault.InDoubt {
			return out
		}
	case change.Doc == nil:
		out.Fault = fault.New(fault.InvalidConfig, "", "no declaration")
	default:
		out.Fault = s.checkModelSizes(change.Doc)
	}
	if out.Fault == nil {
		s.Revision++
		s.Doc = change.Doc
		s.UpdateIndex = s.Index
		s.dropPassedRefusals(s.Revision)
	}
	out.Revision = s.Revision
	s.remember(out)
	return out
}

// applyVersion applies a change with an operator-assigned version. It remembers an applied change, and a refusal that a
// later evaluation might not repeat (see refuseStaleBase). Every other refusal is evaluated again when the change is
// resent, with the same result: versions only increase, and a change that is invalid on top of a version stays invalid
// on top of it. Only while no numbered version is in force can the declaration change without the version changing, so
// a refusal in that state is remembered too.
func (s *State) applyVersion(out Outcome, change *ConfigChange) Outcome {
	out.Revision = s.Version()
	if change.Base != s.Version() {
		return s.refuseStaleBase(out, change.Base, s.Version(), change.Version)
	}
	declaration, invalid := s.declarationAfter(change)
	if invalid != nil {
		out.Fault = invalid
		if s.Version() == 0 {
			s.remember(out)
		}
		return out
	}
	if change.Edit != nil {
		s.retainEdit(AppliedEdit{From: s.Revision, Edit: change.Edit})
	} else {
		s.Edits = nil
	}
	s.Revision++
	s.Doc = declaration.Indexed()
	s.UpdateIndex = s.Index
	out.Revision = s.Version()
	s.dropPassedRefusals(s.Version())
	s.remember(out)
	return out
}

// declarationAfter returns the declaration that results from applying a numbered change to the one in force, or a fault
// where the result is invalid.
func (s *State) declarationAfter(change *ConfigChange) (*configuration.Declaration, *fault.Fault) {
	if change.Version <= s.Version() {
		return nil, fault.New(fault.InvalidConfig, "version", "%d is not above %d", change.Version, s.Version())
	}
	if change.Edit == nil {
		if change.Doc == nil {
			return nil, fault.New(fault.InvalidConfig, "", "neither a declaration nor an edit")
		}
		return change.Doc, change.Doc.CheckRoutes()
	}
	if s.Doc == nil {
		return nil, fault.New(fault.InvalidConfig, "", "nothing is in force that could be edited")
	}
	edited, invalid := s.Doc.Apply(change.Edit)
	if invalid != nil {
		return nil, invalid
	}
	if s.Version() == 0 {
		// The routes of a declaration without a version were never checked, so checking the edit alone is not enough.
		return edited, edited.CheckRoutes()
	}
	return edited, edited.CheckEdited(change.Edit)
}

// checkModelSizes refuses a declaration with a model that is larger than the largest known replica. It accepts every
// declaration while no replica is known.
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
