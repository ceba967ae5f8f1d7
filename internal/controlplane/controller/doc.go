// Package controller decides what the elected controller does: it follows the replicas, turns the placement policy's
// proposals into numbered, fenced commands, sends them as orders, and records what became of each. It is a reducer: Step
// takes an Event and a Snapshot of what the control node knows, and returns Effects. It does no input or output, keeps no
// clock and starts no goroutine. Package controlnode drives it on every control node, and so does the simulator.
//
// # Two modes
//
// There are two kinds of site, and a mode (declaredMode, routedMode) for each; the declaration in force says which one
// it is. They differ in who knows the replicas and in what a replica's answer is worth, and share leadership, the writing
// of changes, the checker and the gateways' membership.
//
//   - Declared is this project's own interface. The platform lists the replicas, and each is asked for its report. Operators
//     declare models and write placement policies, which package placement runs; shadows run beside the live one. A replica
//     keeps the number of its last order, so that an order may be sent again until it is acknowledged. Loads are paid from
//     a token bucket in MB. Gateways get grants of attempt numbers and shares of each replica's slots.
//   - Routed is the interface of the users' platform. Replicas make themselves known by heartbeats, which package registry
//     keeps, and the declaration names services with engines, and routes to them. The built-in resident policy treats the
//     replicas' memory as a cache. A replica does not know command numbers: it takes an order only at the order count that
//     the order names, and holds to one leader for a lease. So an order is judged by what the replica holds (basis), a
//     successor waits out its predecessor (predecessorWait), and loads are counted in a sliding window (storeWindow).
//
// # Invariants
//
//   - Only the leader acts: the head of the chain, whose claim is the newest in the replicated state (leadership). All that
//     it orders and writes carries the epoch of that claim as a fencing token.
//   - Nothing is ordered that the replicated state does not hold as a pending command; there is at most one a replica.
//   - One change of the leader is under way at a time (changeWriter), so that each is made of what the one before left.
//   - The same events and snapshots give the same effects: maps are walked in the order of their keys where that shows.
//
// docs/design-control.md and docs/design-platform.md give the reasons; docs/contract.md names the rules of the users'
// platform and the code that keeps each.
package controller
