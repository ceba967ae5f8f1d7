package wire

import (
	"slices"
)

// ReplicaStatus is the status that a replica reports in a heartbeat.
type ReplicaStatus struct {
	// ID identifies one incarnation of a replica.
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone,omitempty"`
	Release string `json:"release,omitempty"`
	// Slots is the number of requests that the replica serves concurrently.
	Slots int `json:"slots,omitempty"`
	// Draining means that the replica accepts no new work, because its shutdown has been announced.
	Draining bool `json:"draining,omitempty"`
	// RemainingMs is how long a draining replica stays, in ms from the heartbeat; 0 if it gave no time.
	RemainingMs int64 `json:"leftMs,omitempty"`
	// WarmUpMs is the remaining warm-up time in ms from the heartbeat; 0 if the replica is warm.
	WarmUpMs int64 `json:"coldMs,omitempty"`
	// Units are the loaded models, and their adapters as "model/adapter", sorted.
	Units []string `json:"units,omitempty"`
	// Seq increases with each heartbeat of the incarnation.
	Seq uint64 `json:"seq"`
	// Removed means that the incarnation has ended.
	Removed bool `json:"gone,omitempty"`
	// Stage is the activity that the replica reports. It is not forwarded, as no decision depends on it.
	Stage string `json:"-"`
}

// HasUnit reports whether a model or an adapter is loaded at the replica.
func (s *ReplicaStatus) HasUnit(unit string) bool {
	_, ok := slices.BinarySearch(s.Units, unit)
	return ok
}
