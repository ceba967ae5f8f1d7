// Package scheduling decides, for one gateway, which replica a call goes to, when it is queued, when it is retried and
// when it is refused. Decider is a reducer: Step takes one Event and returns the Effects that package gateway, or the
// simulator, carries out. It has no clock, starts no goroutine, opens no connection and never reads a body.
//
// A Call is one request of a client, with all its attempts. An attempt sends it to one incarnation of one replica and
// ends in an Outcome. What may be retried follows from the table in retry_decisions.go and from nothing else; how often,
// from the route's attempts and the retry budget of the service.
//
// # Two platforms
//
// A gateway serves one of two platforms, by the declaration it follows; Decider.routed tells which, and Call.Routed is
// set for calls of the second alone.
//
//   - The declared platform is petreltide's own interface: kinds, models and adapters. The control plane grants each
//     gateway ranges of attempt numbers at each replica (Snapshot.Grants) and a lease. A gateway without a lease, or with
//     no number left, sends nothing; so no attempt number is ever used twice, whatever is partitioned from what. A
//     replica is selected by a shared prefix and by its load (selectGranted).
//   - The routed platform is the users' own: routes that lead to services, whose replicas speak plain HTTP and check no
//     attempt numbers. A gateway goes on from its last snapshot without any lease, selects the replica whose first byte it
//     expects first (selectRouted), ejects outliers, keeps a retry budget, and refuses early what cannot be served in time
//     (rejectOverload, rejectEarly).
//
// They are two because the first can ask its replicas to refuse a second run of an attempt and the second cannot: there,
// whether a call may run twice is up to its route. Queue, deadlines, drain, retry decisions and counters are the same.
//
// # Invariants
//
// A call is answered exactly once and has at most one attempt at a time. A call that may have run is sent again only if
// every declaration that it has seen lets it be. A refusal says that a call has not run only if no attempt of it may
// have. The same events give the same effects, in the same order.
package scheduling
