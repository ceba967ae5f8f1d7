// Package controlclient is a gateway's client of the control plane: which control nodes it follows as its primary and its
// standby, when it leaves one for another, and the local copy of the control state.
//
// Subscriber serves declarations by kinds: it follows the tail's numbered updates and holds a lease. Informer serves
// declarations by routes: it applies the frames of two streams to a local copy and needs no lease. Both are reducers that
// package gateway drives, and neither decides about a request.
package controlclient
