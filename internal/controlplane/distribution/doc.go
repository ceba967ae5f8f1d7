// Package distribution decides what control nodes push to gateways. It has two feeds of the state, for the two kinds of
// configuration:
//   - UpdatePublisher, at the chain's tail alone: complete, numbered updates with acknowledgements and leases, for
//     declarations by kinds. An operator's answer waits until every gateway has acknowledged or has lost its lease.
//   - FramePublisher, at every control node: delta frames without leases, for declarations by routes.
//
// Both are reducers that package controlnode drives: they do no input or output, read no clock, and never change the
// state or the registry that they read. They are not safe for concurrent use.
package distribution
