package fault

import (
	"fmt"
	"strings"
)

// Code identifies a kind of fault. Callers and operators see it, so an existing code must not be renamed.
type Code string

// The first group holds the codes of requests, which callers see. The second group holds the codes of orders, policies,
// settings and data, which operators see.
const (
	BadJSON         Code = "bad_json"
	TooLarge        Code = "too_large"
	BadField        Code = "bad_field"
	UnknownKind     Code = "unknown_kind"
	UnknownModel    Code = "unknown_model"
	UnknownAdapter  Code = "unknown_adapter"
	PastDeadline    Code = "past_expiry"
	BadLastEventID  Code = "bad_last_event_id"
	Overloaded      Code = "overloaded"
	NoLease         Code = "no_lease"
	Expired         Code = "expired"
	ReplicaFailed   Code = "replica_failed"
	ReplicaRejected Code = "replica_refuses"
	OutcomeUnknown  Code = "unknown"
	StreamBroken    Code = "broken"
	KeyRunning      Code = "key_running"
	KeyUnknown      Code = "key_unknown"
	KeyEnded        Code = "key_ended"
	KeysFull        Code = "keys_full"
	Draining        Code = "draining"
	// Unauthenticated means that a request needs a key and no tenant holds the key that it carries.
	Unauthenticated Code = "unauthenticated"
	// QuotaExceeded means that the tenant's requests have reached its limit over all gateways.
	QuotaExceeded Code = "quota_exceeded"
	// QuotaUnanswered means that no control node answered in time whether the limit has been reached.
	QuotaUnanswered Code = "quota_unanswered"

	InvalidConfig          Code = "invalid_config"
	StaleBase              Code = "stale_base"
	CommittedNotEverywhere Code = "committed_not_everywhere"
	InDoubt                Code = "in_doubt"
	NotServing             Code = "not_serving"
	NoSuchZone             Code = "no_such_zone"
	StaleEpoch             Code = "stale_epoch"
	StaleView              Code = "stale_view"
	CommandRejected        Code = "ticket_refused"
	InsufficientCapacity   Code = "no_room"
	StoreRateLimited       Code = "store_rate"
	ReplicaBusy            Code = "replica_busy"
	ReplicaUnknown         Code = "replica_unknown"
	ReplicaDraining        Code = "replica_leaving"
	UnitNotLoaded          Code = "not_held"
	UnitAlreadyLoaded      Code = "already_held"
	PolicyCompile          Code = "policy_compile"
	PolicyFailed           Code = "policy_failed"
	PolicyLimit            Code = "policy_limit"
	PolicyInvalidResult    Code = "policy_nonsense"
	BadSettings            Code = "bad_settings"
	DamagedData            Code = "damaged_data"
	ForeignData            Code = "foreign_data"
	ForeignMember          Code = "foreign_member"
	UnknownFormat          Code = "unknown_form"
	DataNotWritable        Code = "data_unwritable"
	PlatformInvalidAnswer  Code = "platform_bad"
	MembershipMismatch     Code = "membership_unfit"
	NotFound               Code = "not_found"
	ForeignChange          Code = "foreign_change"
	WindowInvalidated      Code = "window_spoilt"
	Interrupted            Code = "interrupted"
	NotRestored            Code = "not_restored"
)

// Values of Fault.Run, which says whether a replica ran a request: not at all, unknown, completely, or in part.
const (
	RunNone    = "none"
	RunUnknown = "unknown"
	RunYes     = "yes"
	RunPartial = "partial"
)

// Fault is a single error, or a list of errors under one code. Run is set for requests only. RetryMs is the time in ms to
// wait before a retry; 0 means no advice. Revision is the configuration revision in force if an order was refused.
type Fault struct {
	Code     Code    `json:"code"`
	Field    string  `json:"field,omitempty"`
	Detail   string  `json:"detail,omitempty"`
	Run      string  `json:"run,omitempty"`
	RetryMs  int64   `json:"retryMs,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Faults   []Fault `json:"faults,omitempty"`
}

func (f *Fault) Error() string {
	text := string(f.Code)
	if f.Field != "" {
		text += " at " + f.Field
	}
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	for _, sub := range f.Faults {
		text += "\n  " + strings.ReplaceAll(sub.Error(), "\n", "\n  ")
	}
	return text
}

// New returns a fault whose detail is formatted by fmt.Sprintf. The field may be empty.
func New(code Code, field, format string, args ...any) *Fault {
	return &Fault{Code: code, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// List collects faults, so that all faults of an input are reported together. The zero value is an empty list, ready to use.
type List struct {
	Faults []Fault
}

// Add appends a fault to the list; nil is ignored.
func (s *List) Add(f *Fault) {
	if f != nil {
		s.Faults = append(s.Faults, *f)
	}
}

// Addf appends a fault made by New.
func (s *List) Addf(code Code, field, format string, args ...any) {
	s.Add(New(code, field, format, args...))
}

// Any reports whether the list holds a fault.
func (s *List) Any() bool { return len(s.Faults) > 0 }

// Combined returns one fault that contains all faults of the list, or nil if the list is empty.
func (s *List) Combined(code Code) *Fault {
	if !s.Any() {
		return nil
	}
	return &Fault{Code: code, Detail: fmt.Sprintf("%d fault(s)", len(s.Faults)), Faults: s.Faults}
}
