package registry

import (
	"fmt"
	"hash/fnv"
	"slices"

	"petreltide/internal/process/clock"
)

// ReplicaStatus is what a replica says of itself. ID names one incarnation of it; Seq rises with each thing it says.
// Units are the models it holds, and their adapters as "model/adapter", in order.
type ReplicaStatus struct {
	ID          string   `json:"id"`
	Service     string   `json:"service"`
	Addr        string   `json:"addr"`
	Zone        string   `json:"zone,omitempty"`
	Release     string   `json:"release,omitempty"`
	Slots       int      `json:"slots,omitempty"`
	Draining    bool     `json:"draining,omitempty"`
	RemainingMs int64    `json:"leftMs,omitempty"`
	WarmUpMs    int64    `json:"coldMs,omitempty"`
	Units       []string `json:"units,omitempty"`
	Seq         uint64   `json:"seq"`
	Removed     bool     `json:"gone,omitempty"`
	// Stage is what it says that it does; only who heard it itself knows, as nothing hangs on it.
	Stage string `json:"-"`
}

func (r *ReplicaStatus) equivalent(o *ReplicaStatus) bool {
	return r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Release == o.Release && r.Slots == o.Slots &&
		r.Draining == o.Draining && (r.RemainingMs > 0) == (o.RemainingMs > 0) && (r.WarmUpMs > 0) == (o.WarmUpMs > 0) && r.Removed == o.Removed && slices.Equal(r.Units, o.Units)
}

// HasUnit says whether the replica said that it holds a model or an adapter.
func (r *ReplicaStatus) HasUnit(unit string) bool {
	_, ok := slices.BinarySearch(r.Units, unit)
	return ok
}

// checksum tells rows apart that are not the same.
func (r *ReplicaStatus) checksum() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", r.Service, r.Addr, r.Zone, r.Release, r.Slots, r.Draining, r.RemainingMs > 0, r.WarmUpMs > 0, r.Removed, r.Units)
	return h.Sum32()
}

// Entry is a replica's latest word. ConfirmedUs is the latest time at which it surely still said so.
type Entry struct {
	ReplicaStatus
	gossipedUs      int64
	lastDirectUs    int64
	LastHeartbeatUs int64
	ConfirmedUs     int64
	// EndUs is when it said that its time is up; 0 where it named none.
	EndUs       int64
	Revision    uint64
	Unreachable bool
	lastSeq     uint64
	checksum    uint32
}

// setEnd notes when a replica that named its time left is taken away.
func (e *Entry) setEnd(heartbeatUs, remainingMs int64) {
	if remainingMs > 0 {
		e.EndUs = heartbeatUs + remainingMs*clock.Ms
	}
}
