// Package controller implements the decisions of the elected leader: it tracks the replicas, turns the proposals of the
// placement policy into numbered commands that carry a fencing token, sends the commands to replicas as orders, and records
// their outcomes. The Controller is a reducer: Step takes an Event and a Snapshot of the control node's state and returns
// Effects. It does no input or output, keeps no clock and starts no goroutine. Package controlnode and the simulator run one
// Controller on every control node.
//
// # Two modes
//
// The words "declared" and "routed" have these meanings in all packages. The declaration (the configuration in force) selects
// the mode:
//
//   - Declared mode: operators configure models, kinds of calls and a placement policy. The replicas are those on a list that
//     the controller polls. A gateway needs a grant of attempt numbers and a lease to start attempts.
//   - Routed mode: operators configure routes and services. The replicas register themselves by heartbeats. A gateway needs
//     neither a grant nor a lease to start attempts.
//
// The controller has one implementation of the interface mode for each (declaredMode, routedMode). Both share leadership, the
// writing of changes, the checker of proposals and the membership of the gateways. They differ as follows:
//
//   - In declared mode, replicas implement this project's own interface. The list of replicas comes from an external service,
//     which the code calls the platform, and each replica is asked for its report. Package placement runs the operators'
//     placement policy; shadow policies run beside the live one. A replica remembers the number of its last order, so that an
//     order can be sent again until it is acknowledged. Loads are charged to a token bucket in MB. Gateways get grants of
//     attempt numbers and shares of each replica's slots.
//   - In routed mode, replicas implement the interface of the users' platform. Package registry stores their heartbeats. A
//     service may declare an engine, which holds models in the memory of its replicas; the built-in resident policy treats
//     that memory as a cache. A replica does not know command numbers: it accepts an order only if its order count equals
//     the count that the order expects, and it is bound to one leader for a lease. The outcome of an order is therefore
//     determined from the replica's resident units (versionedState), a new leader sends a replica no order before the lease
//     of the previous leader has expired there (predecessorWait), and loads are counted in a sliding window (storeWindow).
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
