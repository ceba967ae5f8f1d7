package failuredetector

import (
	"slices"
	"sort"

	"petreltide/internal/api/membership"
)

// WatchersPerNode is how many nodes watch each one. All of them must suspect it before it counts as suspected.
const WatchersPerNode = 2

// Node is one member of the ring. Gateways are sent the ring, so that it stands in the API.
type Node = membership.RingNode

// ringPosition hashes an ID to its position.
func ringPosition(id string) uint64 { return membership.SpreadHash(id) }

// WatchersOf returns the nodes that watch id: the first WatchersPerNode that follow its position on the ring, fewer
// where there are no more.
func WatchersOf(ring []Node, id string) []Node {
	others := []Node{}
	for _, n := range ring {
		if n.ID != id {
			others = append(others, n)
		}
	}
	own := ringPosition(id)
	sort.Slice(others, func(i, j int) bool {
		a, b := ringPosition(others[i].ID)-own, ringPosition(others[j].ID)-own
		if a != b {
			return a < b
		}
		return others[i].ID < others[j].ID
	})
	return others[:min(WatchersPerNode, len(others))]
}

// Departed returns the nodes of before that are not among now.
func Departed(before, after []Node) []Node {
	departed := []Node{}
	for _, b := range before {
		if !slices.Contains(after, b) {
			departed = append(departed, b)
		}
	}
	return departed
}
