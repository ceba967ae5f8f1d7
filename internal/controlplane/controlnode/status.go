package controlnode

import (
	"fmt"
	"sort"
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// formatView returns the IDs of the chain's replicas from head to tail.
func formatView(v chain.View) string {
	formatted := ""
	for i, s := range v.Replicas {
		if i > 0 {
			formatted += " > "
		}
		formatted += s.ID
	}
	return formatted
}

// rolloutLogMessage returns the log message about the progress of a declaration's rollout to the gateways.
func rolloutLogMessage(p controller.RolloutProgress) LogMessage {
	detail := fmt.Sprintf("revision %d after %d ms, %d live gateways", p.Revision, p.ElapsedUs/clock.Ms, p.Gateways)
	if p.Done {
		return LogMessage{Message: "configuration at all gateways", Detail: detail}
	}
	return LogMessage{Message: "configuration late at gateways", Detail: detail + ", behind: " + strings.Join(p.Behind, " ")}
}

// Status is a control node's own view of itself, the chain and the fleet; it may be out of date.
type Status struct {
	ControlNode                chain.Member                   `json:"office"`
	Phase                      chain.Phase                    `json:"phase"`
	View                       chain.View                     `json:"view"`
	TailReady                  bool                           `json:"open"`
	WaitReason                 string                         `json:"waitsFor,omitempty"`
	CommitIndex                uint64                         `json:"commit"`
	LastIndex                  uint64                         `json:"last"`
	Epoch                      uint64                         `json:"epoch"`
	LeaseHolder                string                         `json:"holder"`
	IsLeader                   bool                           `json:"onDuty"`
	Revision                   uint64                         `json:"revision"`
	EmptiedZones               []string                       `json:"emptied,omitempty"`
	Peers                      []chain.PeerStatus             `json:"partners"`
	Gateways                   []distribution.GatewayStatus   `json:"desks,omitempty"`
	Demand                     []controller.GatewayStatus     `json:"demand,omitempty"`
	Rollout                    *controller.RolloutStatus      `json:"rollout,omitempty"`
	Replicas                   []statemachine.Replica         `json:"replicas"`
	Pending                    []statemachine.ReplicaCommand  `json:"pending"`
	Counts                     any                            `json:"counts,omitempty"`
	Policy                     controller.PolicyStatus        `json:"policy"`
	Shadows                    []controller.PolicyStatus      `json:"shadows,omitempty"`
	FaultCounts                map[fault.Code]uint64          `json:"faults,omitempty"`
	RefusalCounts              map[fault.Code]uint64          `json:"refused,omitempty"`
	KeyCount                   int                            `json:"keys"`
	MembershipChange           *statemachine.MembershipChange `json:"member,omitempty"`
	MembershipChangeWaitReason string                         `json:"memberWaitsFor,omitempty"`
	GrantCount                 int                            `json:"grants"`
	Loads                      uint64                         `json:"loads"`
	LoadedMb                   int64                          `json:"loadedMb"`
	Fleet                      *FleetStatus                   `json:"fleet,omitempty"`
	// Outliers are the replicas to which gateways send no requests, or fewer, because of an outlier verdict.
	Outliers []outlier.Verdict `json:"outliers,omitempty"`
	// Quota is nil if no tenant is declared.
	Quota *QuotaStatus `json:"quota,omitempty"`
}

// Status returns this control node's view at nowUs.
func (c *Core) Status(nowUs int64) Status {
	s := c.Node.State()
	st := Status{
		ControlNode: c.Node.Self(), Phase: c.Node.Phase(), View: c.Node.View(), TailReady: c.Node.IsTailReady(nowUs),
		WaitReason:  c.Node.WaitReason(),
		CommitIndex: c.Node.CommitIndex(), LastIndex: c.Node.LastIndex(), Epoch: s.Epoch, LeaseHolder: s.Leader,
		IsLeader: c.Controller.IsLeader(s),
		Revision: s.Revision, Peers: c.Node.Peers(), Gateways: c.Updates.Gateways(nowUs), Demand: c.Controller.Gateways(nowUs),
		Rollout: c.Controller.Rollout(nowUs),
		Counts:  c.Controller.DesiredReplicas(), Policy: c.Controller.PolicyStatus(), Shadows: c.Controller.ShadowStatuses(),
		FaultCounts: copyMap(c.Controller.Faults), RefusalCounts: copyMap(s.RefusalCounts), KeyCount: len(s.Keys),
		MembershipChange: s.Membership, MembershipChangeWaitReason: c.Node.MemberChangeWaitReason(), GrantCount: len(s.Grants),
		Loads: s.TotalLoads, LoadedMb: s.TotalLoadedMB,
		Pending: []statemachine.ReplicaCommand{}, Replicas: []statemachine.Replica{}, Fleet: c.fleetStatus(nowUs),
		Outliers: c.soft.Outliers.Rows, Quota: c.quotaStatus(nowUs),
	}
	if s.Doc != nil {
		st.EmptiedZones = s.Doc.DrainedZones
	}
	for _, id := range s.ReplicaIDs() {
		r := *s.Replicas[id]
		r.Resident, r.Quotas = copyMap(r.Resident), copyMap(r.Quotas)
		st.Replicas = append(st.Replicas, r)
	}
	for _, t := range s.Pending {
		st.Pending = append(st.Pending, t)
	}
	sort.Slice(st.Pending, func(i, j int) bool { return st.Pending[i].Number < st.Pending[j].Number })
	return st
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
