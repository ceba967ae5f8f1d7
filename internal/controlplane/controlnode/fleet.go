package controlnode

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/statemachine"
)

// FleetStatus is what a control node shows where replicas make themselves known and routes say where calls go.
type FleetStatus struct {
	Version  uint64                `json:"version"`
	Routes   []configuration.Route `json:"routes"`
	Services []ServiceStatus       `json:"services"`
	Replicas []ReplicaStatus       `json:"replicas"`
	// Gateways are those that live, as far as this control node knows; they share the further tries.
	Gateways []string `json:"desks"`
	// Leadership is known at the control node that holds it.
	Leadership *controller.LeaderStatus `json:"duty,omitempty"`
}

// ServiceStatus is a service in force. Models and CapacityMb are 0 where it has no engine.
type ServiceStatus struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"connectionsMost,omitempty"`
	Models         int    `json:"models,omitempty"`
	CapacityMb     int64  `json:"roomMb,omitempty"`
	Replicas       int    `json:"replicas"`
}

// ReplicaState is what a control node makes of a replica's heartbeats.
type ReplicaState string

const (
	// ReplicaReady replicas take requests.
	ReplicaReady ReplicaState = "ready"
	// ReplicaDraining replicas have said that they leave.
	ReplicaDraining ReplicaState = "draining"
	// ReplicaUnreachable replicas have missed their heartbeats for longer than is borne.
	ReplicaUnreachable ReplicaState = "dark"
	// HandleDeregistration replicas have ended.
	ReplicaRemoved ReplicaState = "gone"
	// ReplicaUnreported means that the ledger knows it, and nobody has heard it since this control node started.
	ReplicaUnreported ReplicaState = "unheard"
)

// ReplicaStatus is one incarnation of a replica. RemainingMs is what is left now of the time it named, and only there
// where it named one; Stage is its own word and known where it was heard; ReservedMb counts what is held and what
// may come by the order that stands.
type ReplicaStatus struct {
	ID             string                       `json:"id"`
	Service        string                       `json:"service"`
	Addr           string                       `json:"addr"`
	Zone           string                       `json:"zone"`
	Release        string                       `json:"release,omitempty"`
	State          ReplicaState                 `json:"state"`
	Stage          string                       `json:"stage,omitempty"`
	HeartbeatAgeMs int64                        `json:"agoMs"`
	RemainingMs    *int64                       `json:"leftMs,omitempty"`
	WarmupMs       int64                        `json:"coldMs,omitempty"`
	Slots          int                          `json:"slots"`
	Units          []string                     `json:"units"`
	ReservedMb     int64                        `json:"heldMb"`
	CapacityMb     int64                        `json:"roomMb,omitempty"`
	Order          *statemachine.ReplicaCommand `json:"order,omitempty"`
}

// fleetStatus is nil where the declaration in force has no routes.
func (c *Core) fleetStatus(nowUs int64) *FleetStatus {
	s := c.Node.State()
	if s.Doc == nil || !s.Doc.Routed() {
		return nil
	}
	f := &FleetStatus{
		Version: s.Doc.Version, Routes: s.Doc.WithoutSource().Routes, Services: []ServiceStatus{}, Replicas: []ReplicaStatus{},
		Gateways: c.soft.FramePublisher.Gateways(nowUs), Leadership: c.Controller.Status(nowUs, s),
	}
	count := map[string]int{}
	for _, id := range c.soft.Registry.IDs() {
		row := c.replicaStatus(nowUs, id)
		f.Replicas = append(f.Replicas, row)
		if row.State == ReplicaReady || row.State == ReplicaDraining {
			count[row.Service]++
		}
	}
	for _, id := range s.ReplicaIDs() {
		if c.soft.Registry.Entry(id) == nil {
			f.Replicas = append(f.Replicas, c.replicaStatus(nowUs, id))
		}
	}
	for i := range s.Doc.Services {
		svc := &s.Doc.Services[i]
		row := ServiceStatus{Name: svc.Name, MaxConnections: svc.MaxConnections, Replicas: count[svc.Name]}
		if svc.Engine != nil {
			row.Models, row.CapacityMb = len(svc.Engine.Models), svc.Engine.CapacityMB
		}
		f.Services = append(f.Services, row)
	}
	return f
}

// replicaStatus joins a replica's own word with what the ledger holds of it.
func (c *Core) replicaStatus(nowUs int64, id string) ReplicaStatus {
	s := c.Node.State()
	row := ReplicaStatus{ID: id, State: ReplicaUnreported, HeartbeatAgeMs: -1, Units: []string{}}
	if replica := s.Replicas[id]; replica != nil {
		row.Service, row.Addr, row.Zone, row.Slots, row.CapacityMb = replica.Service, replica.Addr, replica.Zone, replica.Slots, replica.CapacityMB
		row.ReservedMb = s.ReservedMB(id)
		row.Units = slices.Sorted(maps.Keys(replica.Resident))
	}
	if t, pending := s.Pending[id]; pending {
		row.Order = &t
	}
	e := c.soft.Registry.Entry(id)
	if e == nil {
		return row
	}
	row.Service, row.Addr, row.Zone, row.Release, row.Stage = e.Service, e.Addr, e.Zone, e.Release, e.Stage
	row.HeartbeatAgeMs, row.WarmupMs, row.Slots = (nowUs-e.LastHeartbeatUs)/1000, e.WarmUpMs, e.Slots
	if e.Units != nil {
		row.Units = append([]string{}, e.Units...)
	}
	switch {
	case e.Removed:
		row.State = ReplicaRemoved
	case e.Unreachable:
		row.State = ReplicaUnreachable
	case e.Draining:
		row.State = ReplicaDraining
	default:
		row.State = ReplicaReady
	}
	if e.Draining && e.EndUs > 0 {
		leftMs := max(0, e.EndUs-nowUs) / 1000
		row.RemainingMs = &leftMs
	}
	return row
}
