// Package statemachine is the replicated state machine of the control plane (Schneider 1990): the configuration in
// force, the replicas and the models resident on them, pending replica commands, grants of attempt numbers,
// idempotency keys, and the outcomes that are remembered for operators who send a change again.
//
// Every control node applies the entries that package chain commits, in the same order, by State.Apply. Package
// controller proposes changes as the leader; packages distribution and controlnode read the state or a Snapshot of it.
//
// Invariants:
//   - Apply is deterministic: it reads no clock, draws no random number and ranges over no map where the order shows.
//   - The epoch is a fencing token: a leader's change that carries another epoch than the state's has no effect.
//   - A replica has at most one pending command; commands and grants are numbered from one sequence without gaps.
//   - Attempt numbers of a replica's incarnation are granted once: no two grants overlap.
//   - What a replica holds, together with a load that may have happened, never exceeds its capacity.
//   - A change that was applied is never refused when it is sent again; past what is remembered the answer is in doubt.
package statemachine
