package controller

import (
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// Snapshot is the control node's state at the time of an event. The controller reads it and does not retain it.
type Snapshot struct {
	// NowUs is the time of the event, in microseconds.
	NowUs int64
	// State is the replicated state as far as this control node has applied it.
	State *statemachine.State
	// IsHead is true if this control node is the head of the chain and therefore the one that may lead.
	IsHead bool
	// IsFresh is true if the head's lease is valid, so that no other control node can have written anything that State
	// lacks.
	IsFresh bool
	// CanWrite is true if the chain accepts changes.
	CanWrite bool
	// ViewNumber is the number of the chain's view.
	ViewNumber uint64
	// Registry contains the replicas that register themselves by heartbeats; nil if there is no registry.
	Registry *registry.Registry
	// Outliers are the latest verdicts published by any leader.
	Outliers outlier.Table
}

// isRouted reports whether routed mode is in use: there is a registry and the declaration in force has routes.
func (s Snapshot) isRouted() bool {
	return s.Registry != nil && s.State.Doc != nil && s.State.Doc.Routed()
}

// serviceOf returns the service of a replica incarnation; empty if the incarnation is unknown or has ended.
func (s Snapshot) serviceOf(id string) string {
	if e := s.Registry.Entry(id); e != nil && !e.Removed {
		return e.Service
	}
	return ""
}
