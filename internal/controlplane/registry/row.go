package registry

import (
	"fmt"
	"hash/fnv"
	"slices"

	"petreltide/internal/process/clock"
)

// Row is what a replica says of itself. ID names one incarnation of it; Seq rises with each thing it says.
// Units are the models it holds, and their adapters as "model/adapter", in order.
type Row struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	Addr     string   `json:"addr"`
	Zone     string   `json:"zone,omitempty"`
	Release  string   `json:"release,omitempty"`
	Slots    int      `json:"slots,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	LeftMs   int64    `json:"leftMs,omitempty"`
	ColdMs   int64    `json:"coldMs,omitempty"`
	Units    []string `json:"units,omitempty"`
	Seq      uint64   `json:"seq"`
	Gone     bool     `json:"gone,omitempty"`
	// Stage is what it says that it does; only who heard it itself knows, as nothing hangs on it.
	Stage string `json:"-"`
}

func (r *Row) same(o *Row) bool {
	return r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Release == o.Release && r.Slots == o.Slots &&
		r.Draining == o.Draining && (r.LeftMs > 0) == (o.LeftMs > 0) && (r.ColdMs > 0) == (o.ColdMs > 0) && r.Gone == o.Gone && slices.Equal(r.Units, o.Units)
}

// Holds says whether the replica said that it holds a model or an adapter.
func (r *Row) Holds(unit string) bool {
	_, ok := slices.BinarySearch(r.Units, unit)
	return ok
}

// checksum tells rows apart that are not the same.
func (r *Row) checksum() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", r.Service, r.Addr, r.Zone, r.Release, r.Slots, r.Draining, r.LeftMs > 0, r.ColdMs > 0, r.Gone, r.Units)
	return h.Sum32()
}

// Entry is a replica's latest word. SaidUs is the latest time at which it surely still said so.
type Entry struct {
	Row
	toldUs   int64
	directUs int64
	HeardUs  int64
	SaidUs   int64
	// EndUs is when it said that its time is up; 0 where it named none.
	EndUs       int64
	Rev         uint64
	Unreachable bool
	seen        uint64
	checksum    uint32
}

// ends notes when a replica that named its time left is taken away.
func (e *Entry) ends(heardUs, leftMs int64) {
	if leftMs > 0 {
		e.EndUs = heardUs + leftMs*clock.Ms
	}
}
