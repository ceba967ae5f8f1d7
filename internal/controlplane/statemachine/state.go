package statemachine

import (
	"encoding/json"
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// What is kept at most: idempotency keys, and outcomes of changes.
const (
	MaxKeys     = 200_000
	MaxOutcomes = 2_048
)

// Change is one entry of the log; one of its pointers is set.
type Change struct {
	ID           string            `json:"id"`
	Origin       string            `json:"origin,omitempty"`
	Epoch        uint64            `json:"epoch,omitempty"`
	Config       *ConfigChange     `json:"config,omitempty"`
	Claim        *Claim            `json:"claim,omitempty"`
	LeaderUpdate *LeaderUpdate     `json:"duty,omitempty"`
	Key          *KeyChange        `json:"key,omitempty"`
	Membership   *MembershipChange `json:"member,omitempty"`
}

// Outcome is what became of a change.
type Outcome struct {
	ID           string        `json:"id"`
	Index        uint64        `json:"index"`
	Revision     uint64        `json:"revision,omitempty"`
	Fault        *fault.Fault  `json:"fault,omitempty"`
	Key          *KeyRecord    `json:"key,omitempty"`
	Repeated     bool          `json:"again,omitempty"`
	IsMembership bool          `json:"member,omitempty"`
	Faults       []fault.Fault `json:"faults,omitempty"`
}

// State is all that the log has made so far.
type State struct {
	Index       uint64 `json:"index"`
	UpdateIndex uint64 `json:"newsIndex"`
	// CommandsIndex is the entry that last changed which orders stand.
	CommandsIndex uint64 `json:"ordersIndex,omitempty"`
	// ReplicasIndex is the entry that last changed a replica's row.
	ReplicasIndex uint64                     `json:"holdsIndex,omitempty"`
	Epoch         uint64                     `json:"epoch"`
	Leader        string                     `json:"holder"`
	Revision      uint64                     `json:"revision"`
	Doc           *configuration.Declaration `json:"doc,omitempty"`
	Replicas      map[string]*Replica        `json:"replicas"`
	Pending       map[string]ReplicaCommand  `json:"pending"`
	NextNumber    uint64                     `json:"nextTicket"`
	Grants        map[string]Grant           `json:"grants"`
	Keys          map[string]KeyRecord       `json:"keys"`
	KeyOrder      []string                   `json:"keyOrder"`
	Outcomes      map[string]Outcome         `json:"changes"`
	OutcomeIDs    []string                   `json:"changeIds"`
	// ForgottenVersion is the highest number among taken changes whose outcome is not remembered any more.
	ForgottenVersion uint64 `json:"forgotten,omitempty"`
	// EarlyRefusals are refusals of orders that build on a version which may still come.
	EarlyRefusals []EarlyRefusal        `json:"ahead,omitempty"`
	RefusalCounts map[fault.Code]uint64 `json:"refused"`
	Edits         []AppliedEdit         `json:"edits,omitempty"`
	Membership    *MembershipChange     `json:"member,omitempty"`
	MembershipID  string                `json:"memberId,omitempty"`
	TotalLoads    uint64                `json:"loads"`
	TotalLoadedMB int64                 `json:"loadedMb"`
}

// NewState is the state before the first entry.
func NewState() *State {
	return &State{
		NextNumber: 1, Replicas: map[string]*Replica{}, Pending: map[string]ReplicaCommand{},
		Grants: map[string]Grant{}, Keys: map[string]KeyRecord{}, Outcomes: map[string]Outcome{},
		RefusalCounts: map[fault.Code]uint64{},
	}
}

// Encode is the state as snapshots hold it.
func (s *State) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

// Snapshot is this state as it stands, for others to read while this one goes on. What is large is
// copied by the map, not by the row; rows never change in place, nor does the order of the keys.
func (s *State) Snapshot() *State {
	if s.Doc != nil && s.Doc.Routed() {
		s.Doc.Indexed()
	}
	c := *s
	c.Replicas = make(map[string]*Replica, len(s.Replicas))
	for id, r := range s.Replicas {
		row := *r
		row.Resident, row.Quotas, row.EverLoaded = maps.Clone(r.Resident), maps.Clone(r.Quotas), maps.Clone(r.EverLoaded)
		c.Replicas[id] = &row
	}
	c.Pending, c.Grants, c.Keys, c.Outcomes, c.RefusalCounts = maps.Clone(s.Pending), maps.Clone(s.Grants), maps.Clone(s.Keys), maps.Clone(s.Outcomes), maps.Clone(s.RefusalCounts)
	c.KeyOrder, c.OutcomeIDs = slices.Clip(s.KeyOrder), slices.Clip(s.OutcomeIDs)
	return &c
}

// WellFormed says that a state that was read has all that changes are applied to.
func (s *State) WellFormed() bool {
	for _, r := range s.Replicas {
		if r == nil || r.Resident == nil {
			return false
		}
	}
	return s.Replicas != nil && s.Pending != nil && s.Grants != nil && s.Keys != nil && s.Outcomes != nil && s.RefusalCounts != nil
}

// Decode reads what Encode wrote.
func Decode(raw []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Apply takes the entry with an index and says what became of it.
func (s *State) Apply(index uint64, c Change) Outcome {
	s.Index = index
	out := Outcome{ID: c.ID, Index: index}
	switch {
	case c.Config != nil:
		out = s.applyConfig(out, c)
	case c.Claim != nil:
		s.applyClaim(&out, c)
	case c.LeaderUpdate != nil:
		s.applyLeaderUpdate(&out, c)
	case c.Key != nil:
		s.applyKey(&out, c)
	case c.Membership != nil:
		out = s.applyMembership(out, c)
	}
	if out.Fault != nil {
		s.RefusalCounts[out.Fault.Code]++
	}
	for _, f := range out.Faults {
		s.RefusalCounts[f.Code]++
	}
	return out
}

// remember keeps an outcome for the same change sent again, with the first of its faults.
func (s *State) remember(out Outcome) {
	if f := out.Fault; f != nil && len(f.Faults) > maxRememberedFaults {
		short := *f
		short.Faults = slices.Clone(f.Faults[:maxRememberedFaults])
		out.Fault = &short
	}
	s.Outcomes[out.ID] = out
	s.OutcomeIDs = append(s.OutcomeIDs, out.ID)
	s.evictOldestOutcome()
}
