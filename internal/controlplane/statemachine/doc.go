// Package statemachine is the replicated state machine of the control plane (Schneider 1990): the configuration in
// force, the replicas and the models resident on them, pending replica commands, grants of attempt numbers,
// idempotency keys, and the outcomes that are remembered for operators who resend a change.
//
// Every control node applies the entries that package chain commits, in the same order, by State.Apply. Package
// controller proposes changes as the leader; packages distribution and controlnode read the state or a Snapshot of it.
//
// Invariants:
//   - Apply is deterministic: it reads no clock, uses no random numbers and ranges over no map where the order of
//     iteration affects the result.
//   - The epoch is a fencing token: a leader's change that carries another epoch than the state's has no effect.
//   - A replica has at most one pending command; commands and grants are numbered from one sequence without gaps.
//   - Attempt numbers of a replica's incarnation are granted once: no two grants overlap.
//   - The size of the units resident at a replica plus that of its pending load never exceeds the replica's capacity.
//   - A change that was applied is never refused when it is resent: once its outcome is no longer remembered, the answer
//     is in doubt.
package statemachine
