// Package registry is one control node's soft state of the replicas that make themselves known by heartbeats: the newest
// status by the replicas' own sequence numbers, spread among the control nodes by gossip, and unreachable after a
// time-out. Package controlnode drives it; packages controller and distribution read it.
//
// Invariants:
//   - Nothing of it is written to disk or to the log, and it decides no placement.
//   - An incarnation that was removed stays removed, whatever comes late, until it is forgotten.
//   - At most one incarnation at an address is not removed.
//   - A control node that was paused holds its own silence against nobody.
//
// A Registry is not safe for concurrent use.
package registry
