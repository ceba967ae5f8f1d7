package wire

import (
	"slices"
)

// ReplicaStatus is what a replica says of itself in a heartbeat.
type ReplicaStatus struct {
	// ID names one incarnation of a replica.
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone,omitempty"`
	Release string `json:"release,omitempty"`
	// Slots is how many requests it serves at once.
	Slots int `json:"slots,omitempty"`
	// Draining says that it takes no new work, since its end has been announced.
	Draining bool `json:"draining,omitempty"`
	// RemainingMs is how long a draining replica stays, in ms from the heartbeat; 0 where it named no time.
	RemainingMs int64 `json:"leftMs,omitempty"`
	// WarmUpMs is how long it still warms up, in ms from the heartbeat; 0 where it is warm.
	WarmUpMs int64 `json:"coldMs,omitempty"`
	// Units are the models it holds, and their adapters as "model/adapter", in order.
	Units []string `json:"units,omitempty"`
	// Seq rises with each heartbeat of the incarnation.
	Seq uint64 `json:"seq"`
	// Removed says that the incarnation has ended.
	Removed bool `json:"gone,omitempty"`
	// Stage is what it says that it does. It is not sent on: no decision reads it.
	Stage string `json:"-"`
}

// HasUnit reports whether the replica holds a model or an adapter.
func (s *ReplicaStatus) HasUnit(unit string) bool {
	_, ok := slices.BinarySearch(s.Units, unit)
	return ok
}
