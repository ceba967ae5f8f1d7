package statemachine

import (
	"encoding/json"
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// State is what the entries of the log have made so far. Its JSON form is the snapshot that control nodes store and send.
type State struct {
	// Index is the log index of the entry applied last; 0 before the first.
	Index uint64 `json:"index"`
	// UpdateIndex is the entry that last changed what gateways with leases act on.
	UpdateIndex uint64 `json:"newsIndex"`
	// CommandsIndex is the entry that last changed which commands are pending.
	CommandsIndex uint64 `json:"ordersIndex,omitempty"`
	// ReplicasIndex is the entry that last changed a replica's record.
	ReplicasIndex uint64 `json:"holdsIndex,omitempty"`
	// Epoch is the fencing token of the leading controller; 0 before the first claim.
	Epoch uint64 `json:"epoch"`
	// Leader is the control node that claimed Epoch.
	Leader string `json:"holder"`
	// Revision counts the declarations that came into force; 0 before the first.
	Revision uint64 `json:"revision"`
	// Doc is the declaration in force; nil before the first. It is replaced as a whole and never changed in place.
	Doc *configuration.Declaration `json:"doc,omitempty"`
	// Replicas are the known replicas by ID.
	Replicas map[string]*Replica `json:"replicas"`
	// Pending are the commands whose result is not known yet, by replica: at most one each.
	Pending map[string]ReplicaCommand `json:"pending"`
	// NextNumber is the number of the next command or grant.
	NextNumber uint64 `json:"nextTicket"`
	// Grants are the newest grants of attempt numbers, one for each gateway, replica and model.
	Grants map[GrantKey]Grant `json:"grants"`
	// Keys are the idempotency keys that are remembered, at most MaxKeys.
	Keys map[string]KeyRecord `json:"keys"`
	// KeyOrder lists Keys from the oldest on; keys that were released may still be among them.
	KeyOrder []string `json:"keyOrder"`
	// Outcomes are the remembered outcomes by change ID, at most MaxOutcomes.
	Outcomes map[string]Outcome `json:"changes"`
	// OutcomeIDs lists Outcomes from the oldest on.
	OutcomeIDs []string `json:"changeIds"`
	// ForgottenVersion is the highest number among applied changes whose outcome is not remembered any more.
	ForgottenVersion uint64 `json:"forgotten,omitempty"`
	// EarlyRefusals are refusals of changes that build on a version which may still come, at most MaxEarlyRefusals.
	EarlyRefusals []EarlyRefusal `json:"ahead,omitempty"`
	// RefusalCounts counts refusals by fault code, for the status page.
	RefusalCounts map[fault.Code]uint64 `json:"refused"`
	// Edits are the newest edits that led to the declaration in force, for gateways that are a little behind.
	Edits []AppliedEdit `json:"edits,omitempty"`
	// Membership is the change of control nodes under way; nil where none is.
	Membership *MembershipChange `json:"member,omitempty"`
	// MembershipID is the ID of the change that Membership came with.
	MembershipID string `json:"memberId,omitempty"`
	// TotalLoads and TotalLoadedMB count the loads that succeeded, and their size.
	TotalLoads    uint64 `json:"loads"`
	TotalLoadedMB int64  `json:"loadedMb"`
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		NextNumber: 1, Replicas: map[string]*Replica{}, Pending: map[string]ReplicaCommand{},
		Grants: map[GrantKey]Grant{}, Keys: map[string]KeyRecord{}, Outcomes: map[string]Outcome{},
		RefusalCounts: map[fault.Code]uint64{},
	}
}

// Encode returns the state as snapshots hold it.
func (s *State) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		// No value of these types fails to encode.
		panic(err)
	}
	return raw
}

// WithoutSource is the state without the operator's own text, in which the keys of tenants stand. The state itself stays
// as it is.
func (s *State) WithoutSource() *State {
	bare := *s
	if s.Doc != nil && s.Doc.Routed() {
		bare.Doc = s.Doc.WithoutSource()
	}
	bare.Edits = slices.Clone(s.Edits)
	for i := range bare.Edits {
		bare.Edits[i].Edit = bare.Edits[i].Edit.WithoutSource()
	}
	return &bare
}

// Decode reads what Encode wrote. The caller checks WellFormed where the bytes may come from elsewhere.
func Decode(raw []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// WellFormed reports whether a state that was read has all the maps that Apply writes to.
func (s *State) WellFormed() bool {
	for _, r := range s.Replicas {
		if r == nil || r.Resident == nil {
			return false
		}
	}
	return s.Replicas != nil && s.Pending != nil && s.Grants != nil && s.Keys != nil && s.Outcomes != nil && s.RefusalCounts != nil
}

// Snapshot returns the state as it is now, for other goroutines to read while Apply goes on. Large tables are copied
// by the map and not by the record: records of commands, grants, keys and outcomes are replaced and never changed in
// place, and lists only grow at the end or shrink at the front.
func (s *State) Snapshot() *State {
	if s.Doc != nil && s.Doc.Routed() {
		s.Doc.Indexed()
	}
	c := *s
	c.Replicas = make(map[string]*Replica, len(s.Replicas))
	for id, r := range s.Replicas {
		replica := *r
		replica.Resident, replica.Quotas, replica.EverLoaded = maps.Clone(r.Resident), maps.Clone(r.Quotas), maps.Clone(r.EverLoaded)
		c.Replicas[id] = &replica
	}
	c.Pending, c.Grants, c.Keys = maps.Clone(s.Pending), maps.Clone(s.Grants), maps.Clone(s.Keys)
	c.Outcomes, c.RefusalCounts = maps.Clone(s.Outcomes), maps.Clone(s.RefusalCounts)
	c.KeyOrder, c.OutcomeIDs = slices.Clip(s.KeyOrder), slices.Clip(s.OutcomeIDs)
	return &c
}
