// Package distribution decides what control nodes push to gateways. It has two publishers, one for each of the two kinds of
// declaration:
//   - UpdatePublisher, active at the chain's tail only, serves declarations by kinds. It pushes complete, numbered updates that
//     gateways acknowledge, and grants leases. An operator's request is answered only after every gateway has acknowledged the
//     change or has lost its lease.
//   - FramePublisher, active at every control node, serves declarations by routes. It pushes delta frames without leases.
//
// Both are reducers that package controlnode drives: they perform no I/O, read no clock, and never change the state or the
// registry that they read. They are not safe for concurrent use.
package distribution
