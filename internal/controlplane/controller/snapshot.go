package controller

import (
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// Snapshot is what the control node knows at the time of an event. The controller reads it and keeps none of it.
type Snapshot struct {
	// NowUs is the time of the event, in microseconds.
	NowUs int64
	// State is the replicated state as far as this control node has applied it.
	State *statemachine.State
	// IsHead: this control node is the head of the chain, and so the one that may lead.
	IsHead bool
	// IsFresh: the head's lease stands, so that no other control node can have written what State lacks.
	IsFresh bool
	// CanWrite: the chain takes changes now.
	CanWrite bool
	// ViewNumber is the number of the chain's view.
	ViewNumber uint64
	// Registry holds the replicas that make themselves known by heartbeats; nil where there is none.
	Registry *registry.Registry
	// Outliers are the newest verdicts of whichever leader judged last.
	Outliers outlier.Table
}

// isRouted says whether replicas make themselves known and the declaration in force sends by routes.
func (s Snapshot) isRouted() bool {
	return s.Registry != nil && s.State.Doc != nil && s.State.Doc.Routed()
}

// serviceOf is the service of an incarnation of a replica, "" where it is not known or has ended.
func (s Snapshot) serviceOf(id string) string {
	if e := s.Registry.Entry(id); e != nil && !e.Removed {
		return e.Service
	}
	return ""
}
