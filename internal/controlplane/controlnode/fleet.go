package controlnode

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/statemachine"
)

// FleetStatus is the part of a control node's status that exists only in routed mode, in which replicas register by heartbeat
// and routes assign requests to services.
type FleetStatus struct {
	Version  uint64                `json:"version"`
	Routes   []configuration.Route `json:"routes"`
	Services []ServiceStatus       `json:"services"`
	Replicas []ReplicaStatus       `json:"replicas"`
	// Gateways are the gateways that this control node knows to be alive; they share the budget of retries.
	Gateways []string `json:"desks"`
	// Leadership is set only at the control node whose controller leads.
	Leadership *controller.LeaderStatus `json:"duty,omitempty"`
}

// ServiceStatus describes a service of the declaration in force. Models and CapacityMb are 0 if it has no engine.
type ServiceStatus struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"connectionsMost,omitempty"`
	Models         int    `json:"models,omitempty"`
	CapacityMb     int64  `json:"roomMb,omitempty"`
	Replicas       int    `json:"replicas"`
}

// ReplicaState is the state of a replica as a control node derives it from heartbeats.
type ReplicaState string

const (
	// ReplicaReady means that the replica accepts requests.
	ReplicaReady ReplicaState = "ready"
	// ReplicaDraining means that the replica has announced that it is leaving.
	ReplicaDraining ReplicaState = "draining"
	// ReplicaUnreachable means that no heartbeat has come for longer than CoreOptions.UnreachableUs.
	ReplicaUnreachable ReplicaState = "dark"
	// ReplicaRemoved means that the replica has ended.
	ReplicaRemoved ReplicaState = "gone"
	// ReplicaUnreported means that the replica is in the replicated state, but that no heartbeat of it has been received or
	// learned of through gossip since this control node started.
	ReplicaUnreported ReplicaState = "unheard"
)

// ReplicaStatus describes one incarnation of a replica. HeartbeatAgeMs is -1 if no heartbeat is known. RemainingMs is what is
// left of the time until exit that a draining replica announced, and nil if it announced none. Stage is as the replica reports
// it, and empty if no heartbeat is known. ReservedMb counts the memory of resident units and of the unit that the pending order
// may load.
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

// fleetStatus returns nil unless the declaration in force is routed.
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

// replicaStatus combines a replica's last heartbeat with its entry in the replicated state.
func (c *Core) replicaStatus(nowUs int64, id string) ReplicaStatus {
	s := c.Node.State()
	row := ReplicaStatus{ID: id, State: ReplicaUnreported, HeartbeatAgeMs: -1, Units: []string{}}
	if replica := s.Replicas[id]; replica != nil {
		row.Service, row.Addr, row.Zone, row.Slots, row.CapacityMb =
			replica.Service, replica.Addr, replica.Zone, replica.Slots, replica.CapacityMB
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
		remainingMs := max(0, e.EndUs-nowUs) / 1000
		row.RemainingMs = &remainingMs
	}
	return row
}
