package failuredetector

import (
	"slices"
	"sort"

	"petreltide/internal/api/membership"
)

// WatchersPerNode is the number of nodes that watch each node. All of them must suspect a node for it to be suspected.
const WatchersPerNode = 2

// Node is one member of the ring. The ring is sent to gateways, so its type is part of the API.
type Node = membership.RingNode

// ringPosition returns the position of an ID on the ring, a hash of it.
func ringPosition(id string) uint64 { return membership.SpreadHash(id) }

// WatchersOf returns the nodes that watch id: the first WatchersPerNode nodes after its position on the ring, or all other
// nodes if there are fewer.
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

// Departed returns the nodes of before that are not in after.
func Departed(before, after []Node) []Node {
	departed := []Node{}
	for _, b := range before {
		if !slices.Contains(after, b) {
			departed = append(departed, b)
		}
	}
	return departed
}
