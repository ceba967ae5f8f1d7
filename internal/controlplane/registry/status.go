package registry

import (
	"fmt"
	"hash/fnv"
	"slices"

	"petreltide/internal/api/wire"
)

// ReplicaStatus is what a replica says of itself in a heartbeat. Gateways are sent it, so that it stands in the API.
type ReplicaStatus = wire.ReplicaStatus

// equivalent reports whether two statuses tell others the same: times count only as whether there is one.
func equivalent(s, o *ReplicaStatus) bool {
	return s.Service == o.Service && s.Addr == o.Addr && s.Zone == o.Zone && s.Release == o.Release && s.Slots == o.Slots &&
		s.Draining == o.Draining && (s.RemainingMs > 0) == (o.RemainingMs > 0) && (s.WarmUpMs > 0) == (o.WarmUpMs > 0) && s.Removed == o.Removed && slices.Equal(s.Units, o.Units)
}

// checksum tells statuses apart that are not equivalent.
func checksum(s *ReplicaStatus) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", s.Service, s.Addr, s.Zone, s.Release, s.Slots, s.Draining, s.RemainingMs > 0, s.WarmUpMs > 0, s.Removed, s.Units)
	return h.Sum32()
}
