package registry

import (
	"fmt"
	"hash/fnv"
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

// equivalent reports whether two statuses tell others the same: times count only as whether there is one.
func (s *ReplicaStatus) equivalent(o *ReplicaStatus) bool {
	return s.Service == o.Service && s.Addr == o.Addr && s.Zone == o.Zone && s.Release == o.Release && s.Slots == o.Slots &&
		s.Draining == o.Draining && (s.RemainingMs > 0) == (o.RemainingMs > 0) && (s.WarmUpMs > 0) == (o.WarmUpMs > 0) && s.Removed == o.Removed && slices.Equal(s.Units, o.Units)
}

// HasUnit reports whether the replica holds a model or an adapter.
func (s *ReplicaStatus) HasUnit(unit string) bool {
	_, ok := slices.BinarySearch(s.Units, unit)
	return ok
}

// checksum tells statuses apart that are not equivalent.
func (s *ReplicaStatus) checksum() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", s.Service, s.Addr, s.Zone, s.Release, s.Slots, s.Draining, s.RemainingMs > 0, s.WarmUpMs > 0, s.Removed, s.Units)
	return h.Sum32()
}
