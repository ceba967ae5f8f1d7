package statemachine

import (
	"encoding/json"
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// State is the result of applying the log's entries up to Index. Its JSON form is the snapshot that control nodes store
// and send.
type State struct {
	// Index is the log index of the last applied entry; 0 before the first.
	Index uint64 `json:"index"`
	// UpdateIndex is the index of the entry that last changed what gateways with leases act on.
	UpdateIndex uint64 `json:"newsIndex"`
	// CommandsIndex is the index of the entry that last changed the set of pending commands.
	CommandsIndex uint64 `json:"ordersIndex,omitempty"`
	// ReplicasIndex is the index of the entry that last changed a replica's record.
	ReplicasIndex uint64 `json:"holdsIndex,omitempty"`
	// Epoch is the fencing token of the leading controller; 0 before the first claim.
	Epoch uint64 `json:"epoch"`
	// Leader is the control node that claimed Epoch.
	Leader string `json:"holder"`
	// Revision is the number of declarations that have come into force; 0 before the first.
	Revision uint64 `json:"revision"`
	// Doc is the declaration in force; nil before the first. It is replaced as a whole and never modified in place.
	Doc *configuration.Declaration `json:"doc,omitempty"`
	// Replicas are the known replicas by ID.
	Replicas map[string]*Replica `json:"replicas"`
	// Pending maps each replica to its command whose result is not known yet, if any.
	Pending map[string]ReplicaCommand `json:"pending"`
	// NextNumber is the number of the next command or grant.
	NextNumber uint64 `json:"nextTicket"`
	// Grants are the newest grants of attempt numbers, one per gateway, replica and model.
	Grants map[GrantKey]Grant `json:"grants"`
	// Keys are the remembered idempotency keys, at most MaxKeys.
	Keys map[string]KeyRecord `json:"keys"`
	// KeyOrder lists Keys from the oldest to the newest; it may still contain released keys.
	KeyOrder []string `json:"keyOrder"`
	// Departures are the remembered departures of replicas that register themselves, at most MaxDepartures, by replica.
	Departures map[string]Departure `json:"departures,omitempty"`
	// DepartureIDs lists the keys of Departures from the oldest to the newest.
	DepartureIDs []string `json:"departureIds,omitempty"`
	// DeparturesIndex is the index of the entry that last added to Departures.
	DeparturesIndex uint64 `json:"departuresIndex,omitempty"`
	// Outcomes are the remembered outcomes by change ID, at most MaxOutcomes.
	Outcomes map[string]Outcome `json:"changes"`
	// OutcomeIDs lists the keys of Outcomes from the oldest to the newest.
	OutcomeIDs []string `json:"changeIds"`
	// ForgottenVersion is the highest version or revision of the applied changes whose outcome is no longer remembered.
	ForgottenVersion uint64 `json:"forgotten,omitempty"`
	// EarlyRefusals are refusals of changes whose base version may still come into force, at most MaxEarlyRefusals.
	EarlyRefusals []EarlyRefusal `json:"ahead,omitempty"`
	// RefusalCounts counts refusals by fault code, for the status page.
	RefusalCounts map[fault.Code]uint64 `json:"refused"`
	// Edits are the most recent edits that led to the declaration in force, for gateways that are a few revisions behind.
	Edits []AppliedEdit `json:"edits,omitempty"`
	// Membership is the membership change in progress; nil where there is none.
	Membership *MembershipChange `json:"member,omitempty"`
	// MembershipID is the ID of the Change that carried Membership.
	MembershipID string `json:"memberId,omitempty"`
	// TotalLoads and TotalLoadedMB are the number and the total size of the loads that succeeded.
	TotalLoads    uint64 `json:"loads"`
	TotalLoadedMB int64  `json:"loadedMb"`
}

// NewState returns the state before the first log entry.
func NewState() *State {
	return &State{
		NextNumber: 1, Replicas: map[string]*Replica{}, Pending: map[string]ReplicaCommand{},
		Grants: map[GrantKey]Grant{}, Keys: map[string]KeyRecord{}, Outcomes: map[string]Outcome{},
		RefusalCounts: map[fault.Code]uint64{},
	}
}

// Encode returns the state's JSON form, as stored in snapshots.
func (s *State) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		// Every value of these types can be encoded.
		panic(err)
	}
	return raw
}

// WithoutSource returns a copy of the state without the operators' source text, which contains the tenants' keys. The
// state itself is not modified.
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

// Decode decodes a state that Encode encoded. The caller checks WellFormed where the bytes may come from another source.
func Decode(raw []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

// WellFormed reports whether a decoded state has all the maps that Apply writes to.
func (s *State) WellFormed() bool {
	for _, r := range s.Replicas {
		if r == nil || r.Resident == nil {
			return false
		}
	}
	return s.Replicas != nil && s.Pending != nil && s.Grants != nil && s.Keys != nil && s.Outcomes != nil && s.RefusalCounts != nil
}

// Snapshot returns a copy of the state that other goroutines may read while Apply continues. Large maps are cloned
// without copying their records: records of commands, grants, keys and outcomes are replaced and never modified in
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
	c.Departures, c.DepartureIDs = maps.Clone(s.Departures), slices.Clip(s.DepartureIDs)
	return &c
}
