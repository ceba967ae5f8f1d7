// Package scheduling decides, for one gateway, which replica a call goes to, when a call is queued, when it is retried and
// when it is refused. Decider is a reducer: Step takes one Event and returns the Effects for package gateway, or the
// simulator, to carry out. A Decider has no clock, starts no goroutine, opens no connection and never reads a body.
//
// A Call is one client request with all its attempts. An attempt sends the call to one incarnation of one replica and
// ends with an Outcome. The table in retry_decisions.go alone determines what may be retried; the route's maximum number
// of attempts and the service's retry budget determine how often.
//
// # Two modes
//
// A gateway works in declared or in routed mode, depending on the declaration it follows; package controller defines both.
// Decider.routed reports which, and Call.Routed is set only for calls in routed mode.
//
//   - Declared mode is petreltide's own interface: kinds, models and adapters. The control plane grants each
//     gateway ranges of attempt numbers at each replica (Snapshot.Grants) and a lease. A gateway without a lease, or with
//     no attempt number left, sends nothing, so no attempt number is ever used twice, whatever is partitioned from what.
//     A replica is selected by shared prompt prefix and by load (selectGranted).
//   - Routed mode is the interface of the users' platform: routes that lead to services, whose replicas speak plain HTTP and check no
//     attempt numbers. A gateway keeps working from its last snapshot without a lease, selects the replica with the lowest
//     expected time to first byte (selectRouted), ejects outliers, enforces a retry budget, and refuses early the calls
//     that cannot be served in time (rejectUnloadable).
//
// They are separate because replicas in declared mode can be asked to refuse a second run of an attempt and replicas in routed
// mode cannot: there, whether a call may run twice is up to its route. Both share the queue, deadlines, draining, retry
// decisions and counters.
//
// # Invariants
//
//  1. A call is answered exactly once.
//  2. A call has at most one attempt at a time.
//  3. A call that may have run is sent again only if every declaration that applied to the call allows it.
//  4. A refusal states that a call has not run only if no attempt of the call may have run.
//  5. The same events produce the same effects, in the same order.
package scheduling
