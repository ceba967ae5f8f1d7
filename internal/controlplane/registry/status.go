package registry

import (
	"fmt"
	"hash/fnv"
	"slices"

	"petreltide/internal/api/wire"
)

// ReplicaStatus is the status that a replica reports in a heartbeat. It is declared in the API because gateways receive it.
type ReplicaStatus = wire.ReplicaStatus

// equivalent reports whether two statuses need not be propagated separately. Of the remaining and warm-up times it compares
// only whether they are set.
func equivalent(s, o *ReplicaStatus) bool {
	return s.Service == o.Service && s.Addr == o.Addr && s.Zone == o.Zone && s.Release == o.Release && s.Slots == o.Slots &&
		s.Draining == o.Draining && (s.RemainingMs > 0) == (o.RemainingMs > 0) && (s.WarmUpMs > 0) == (o.WarmUpMs > 0) && s.Removed == o.Removed && slices.Equal(s.Units, o.Units)
}

// checksum returns a checksum of the fields that equivalent compares.
func checksum(s *ReplicaStatus) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", s.Service, s.Addr, s.Zone, s.Release, s.Slots, s.Draining, s.RemainingMs > 0, s.WarmUpMs > 0, s.Removed, s.Units)
	return h.Sum32()
}
