// Package controller implements the decisions of the elected leader: it tracks the replicas, turns the proposals of the
// placement policy into numbered commands that carry a fencing token, sends the commands to replicas as orders, and records
// their outcomes. The Controller is a reducer: Step takes an Event and a Snapshot of the control node's state and returns
// Effects. It does no input or output, keeps no clock and starts no goroutine. Package controlnode and the simulator run one
// Controller on every control node.
//
// # Two modes
//
// There are two kinds of deployment with one implementation of mode for each (declaredMode, routedMode); the declaration in
// force selects it. The modes differ in how replicas become known and in how far a replica's answers can be relied on. They
// share leadership, the writing of changes, the checker of proposals and the membership of the gateways.
//
//   - Declared mode uses this project's own interface. The platform lists the replicas, and each replica is asked for its
//     report. Operators declare models and write placement policies, which package placement runs; shadow policies run beside
//     the live one. A replica remembers the number of its last order, so that an order can be sent again until it is
//     acknowledged. Loads are charged to a token bucket in MB. Gateways get grants of attempt numbers and shares of each
//     replica's slots.
//   - Routed mode uses the interface of the users' platform. Replicas register themselves by heartbeats, which package
//     registry stores. The declaration names services with engines, and routes to them. The built-in resident policy treats
//     the memory of the replicas as a cache. A replica does not know command numbers: it accepts an order only if its order
//     count equals the count that the order expects, and it is bound to one leader for a lease. The outcome of an order is
//     therefore determined from the replica's resident units (versionedState), a successor waits out the lease of its
//     predecessor (predecessorWait), and loads are counted in a sliding window (storeWindow).
//
// # Invariants
//
//  1. Only the leader acts. The leader is the head of the chain, if its claim is the latest one in the replicated state
//     (leadership). All its orders and writes carry the epoch of that claim as a fencing token.
//  2. An order is sent only for a pending command in the replicated state. Each replica has at most one pending command.
//  3. The leader has at most one change in progress (changeWriter), so that each change is based on the result of the
//     previous one.
//  4. The same events and snapshots produce the same effects. Maps are iterated in the order of their keys wherever the order
//     has an effect.
//
// docs/design-control.md and docs/design-platform.md give the reasons; docs/contract.md lists the rules of the users'
// platform and the code that implements each.
package controller
