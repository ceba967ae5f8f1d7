package scheduling

import (
	"sort"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

// Snapshot is what the newest update said; it is swapped as a whole and never changed.
type Snapshot struct {
	Number      uint64
	View        uint64
	Revision    uint64
	Declaration *configuration.Declaration
	Replicas    map[string]*wire.ReplicaUpdate
	IDs         []string
	Grants      map[string]wire.Grant
	ReceivedUs  int64

	// Of a routed declaration: replicas by service in order of their ids, and how many gateways live.
	ByService map[string][]*wire.ReplicaUpdate
	Gateways  int
	// Verdicts are the verdicts on replicas that are not well, as they hold for this gateway.
	Verdicts map[string]outlier.Verdict
}

// NewSnapshot makes a snapshot of news, which leave out a declaration that has not changed since the prior one.
func NewSnapshot(prior *Snapshot, n wire.GatewayUpdate, nowUs int64) *Snapshot {
	s := &Snapshot{Number: n.Number, View: n.View, Revision: n.Revision, Declaration: n.Declaration,
		Replicas: map[string]*wire.ReplicaUpdate{}, Grants: map[string]wire.Grant{}, ReceivedUs: nowUs}
	if s.Declaration == nil && prior != nil {
		s.Declaration = prior.Declaration
	}
	for i := range n.Replicas {
		r := n.Replicas[i]
		s.Replicas[r.ID] = &r
		s.IDs = append(s.IDs, r.ID)
	}
	for _, g := range n.Grants {
		s.Grants[g.Replica+"|"+g.Model] = g
	}
	return s
}

// Accepts says whether a replica may get a new attempt for this model and adapter under the newest update.
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

// LookupKind is what a caller of our own interface names.
type KindLookup struct {
	Kind         string
	Model        string
	Adapter      string
	NonRetryable bool
	Resuming     bool
}

// LookupKind finds a call's kind, or the fault that refuses it. Without a lease there may be newer news
// that knows what this snapshot does not: then only a later try can tell.
func (s *Snapshot) LookupKind(a KindLookup, nowUs, leaseUs int64) (*configuration.Kind, *fault.Fault) {
	kind := s.Declaration.Kind(a.Kind)
	var bad *fault.Fault
	switch code := s.unknownCode(a.Model, a.Adapter); {
	case kind == nil:
		bad = fault.New(fault.UnknownKind, "kind", "no kind %q", a.Kind)
	case code == fault.UnknownModel:
		bad = fault.New(code, "model", "no model %q", a.Model)
	case code != "":
		bad = fault.New(code, "adapter", "no adapter %q of model %q", a.Adapter, a.Model)
	case a.Resuming && (a.NonRetryable || !kind.Resumable):
		bad = fault.New(fault.BadLastEventID, "Last-Event-Id", "calls of kind %q cannot be resumed", a.Kind)
	default:
		return kind, nil
	}
	if nowUs >= leaseUs {
		bad = fault.New(fault.NoLease, bad.Field, "%s when this gateway last heard; it is cut off from the core", bad.Detail)
		bad.RetryMs = noLeaseRetryMs
	}
	return nil, bad
}

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

func isLoaded(r *wire.ReplicaUpdate, unit string) bool {
	i := sort.SearchStrings(r.Loaded, unit)
	return i < len(r.Loaded) && r.Loaded[i] == unit
}

// MaySend is asked once more right before the first byte of an attempt leaves.
func (st AttemptStart) MaySend(s *Snapshot, nowUs, leaseUs int64) bool {
	if st.Call.Routed != nil {
		return s.maySendRouted(st, nowUs)
	}
	return s != nil && nowUs < leaseUs && nowUs < st.DeadlineUs && s.Accepts(st.Replica, st.Incarnation, st.Call.Model, st.Call.Adapter) && s.Declaration.Kind(st.Call.Kind) != nil
}

// CheckChunk looks at a replica's next line; an empty ending means it is the next piece.
func CheckChunk(attempt string, had int, p wire.Chunk) (Outcome, string) {
	switch {
	case p.AttemptID != attempt:
		return OutcomeBroken, "the replica answered with another leg"
	case p.Error != "":
		return OutcomeBroken, "the replica failed: " + p.Error
	case p.End && p.Number != had:
		return OutcomeBroken, "the end names a wrong number of pieces"
	case p.End:
		return OutcomeDone, ""
	case p.Number != had+1:
		return OutcomeBroken, "a piece is missing or repeated"
	}
	return "", ""
}
