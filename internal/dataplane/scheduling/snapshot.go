package scheduling

import (
	"sort"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

// Snapshot is the state received with the newest gateway update. It is replaced as a whole and never modified. Number and View
// order snapshots, and Revision is the revision of the declaration. Grants are keyed by replica and model ("replica|model").
type Snapshot struct {
	Number      uint64
	View        uint64
	Revision    uint64
	Declaration *configuration.Declaration
	Replicas    map[string]*wire.ReplicaUpdate
	IDs         []string
	Grants      map[string]wire.Grant
	ReceivedUs  int64

	// ByService holds the replicas of each service ordered by ID, and Gateways is the number of live gateways. Both are set
	// only with a declaration for routed mode.
	ByService map[string][]*wire.ReplicaUpdate
	Gateways  int
	// Verdicts holds the outlier verdicts that apply to this gateway, by replica. Healthy replicas have none.
	Verdicts map[string]outlier.Verdict
}

// NewSnapshot builds a snapshot from a gateway update received at nowUs. An update without a declaration keeps the declaration
// of the previous snapshot, which may be nil.
func NewSnapshot(previous *Snapshot, update wire.GatewayUpdate, nowUs int64) *Snapshot {
	s := &Snapshot{Number: update.Number, View: update.View, Revision: update.Revision, Declaration: update.Declaration,
		Replicas: map[string]*wire.ReplicaUpdate{}, Grants: map[string]wire.Grant{}, ReceivedUs: nowUs}
	if s.Declaration == nil && previous != nil {
		s.Declaration = previous.Declaration
	}
	for i := range update.Replicas {
		r := update.Replicas[i]
		s.Replicas[r.ID] = &r
		s.IDs = append(s.IDs, r.ID)
	}
	for _, g := range update.Grants {
		s.Grants[g.Replica+"|"+g.Model] = g
	}
	return s
}

// Accepts reports whether a replica in declared mode may get a new attempt for this model and adapter.
func (s *Snapshot) Accepts(replica, incarnation, model, adapter string) bool {
	r := s.Replicas[replica]
	if r == nil || r.Incarnation != incarnation || r.Draining || r.Unreachable || s.Declaration == nil || s.Declaration.IsDrained(r.Zone) {
		return false
	}
	if r.Unloading == model || (adapter != "" && r.Unloading == adapter) || s.unknownCode(model, adapter) != "" {
		return false
	}
	return isLoaded(r, model) && (adapter == "" || isLoaded(r, adapter))
}

// KindLookup is what a request in declared mode names. Resuming is set if the client resumes a stream.
type KindLookup struct {
	Kind         string
	Model        string
	Adapter      string
	NonRetryable bool
	Resuming     bool
}

// LookupKind returns the kind of a call, or the fault that refuses the call. Without a valid lease a newer declaration may
// exist that defines a name unknown to this snapshot; the fault is then NoLease, and the client should retry.
func (s *Snapshot) LookupKind(lookup KindLookup, nowUs, leaseUs int64) (*configuration.Kind, *fault.Fault) {
	kind := s.Declaration.Kind(lookup.Kind)
	var failure *fault.Fault
	switch code := s.unknownCode(lookup.Model, lookup.Adapter); {
	case kind == nil:
		failure = fault.New(fault.UnknownKind, "kind", "no kind %q", lookup.Kind)
	case code == fault.UnknownModel:
		failure = fault.New(code, "model", "no model %q", lookup.Model)
	case code != "":
		failure = fault.New(code, "adapter", "no adapter %q of model %q", lookup.Adapter, lookup.Model)
	case lookup.Resuming && (lookup.NonRetryable || !kind.Resumable):
		failure = fault.New(fault.BadLastEventID, "Last-Event-Id", "calls of kind %q cannot be resumed", lookup.Kind)
	default:
		return kind, nil
	}
	if nowUs >= leaseUs {
		failure = fault.New(fault.NoLease, failure.Field, "%s when this gateway last heard; it is cut off from the core", failure.Detail)
		failure.RetryMs = NoDeclarationRetryMs
	}
	return nil, failure
}

// unknownCode returns the fault code for a model or adapter that the declaration does not define, or "" if it defines both.
func (s *Snapshot) unknownCode(model, adapter string) fault.Code {
	if s.Declaration.Model(model) == nil {
		return fault.UnknownModel
	}
	if adapter == "" {
		return ""
	}
	if a := s.Declaration.Adapter(adapter); a == nil || a.Model != model {
		return fault.UnknownAdapter
	}
	return ""
}

// isLoaded reports whether a replica has a model or adapter unit loaded. r.Loaded is sorted.
func isLoaded(r *wire.ReplicaUpdate, unit string) bool {
	i := sort.SearchStrings(r.Loaded, unit)
	return i < len(r.Loaded) && r.Loaded[i] == unit
}

// MaySend reports whether the attempt may still be sent under the newest snapshot. The executor checks this immediately before
// it writes the first byte of the attempt. leaseUs is the end of the lease and is ignored in routed mode.
func (st AttemptStart) MaySend(s *Snapshot, nowUs, leaseUs int64) bool {
	if st.Call.Routed != nil {
		return s.maySendRouted(st, nowUs)
	}
	return s != nil && nowUs < leaseUs && nowUs < st.DeadlineUs &&
		s.Accepts(st.Replica, st.Incarnation, st.Call.Model, st.Call.Adapter) && s.Declaration.Kind(st.Call.Kind) != nil
}

// CheckChunk validates the next line of a replica's response to an attempt of which received chunks have arrived. It returns an
// empty Outcome for the next chunk, OutcomeDone for a valid end of the response, and OutcomeBroken with a detail otherwise.
func CheckChunk(attempt string, received int, chunk wire.Chunk) (Outcome, string) {
	switch {
	case chunk.AttemptID != attempt:
		return OutcomeBroken, "the replica answered with another leg"
	case chunk.Error != "":
		return OutcomeBroken, "the replica failed: " + chunk.Error
	case chunk.End && chunk.Number != received:
		return OutcomeBroken, "the end names a wrong number of pieces"
	case chunk.End:
		return OutcomeDone, ""
	case chunk.Number != received+1:
		return OutcomeBroken, "a piece is missing or repeated"
	}
	return "", ""
}
