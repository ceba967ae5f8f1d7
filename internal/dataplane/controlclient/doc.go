// Package controlclient implements a gateway's client of the control plane. It decides which control nodes the gateway follows as
// primary and standby and when to switch to another one, and keeps a local copy of the control state.
//
// Subscriber is used with declarations by kinds: it follows the numbered updates of the chain's tail and holds a lease. Informer
// is used with declarations by routes: it merges the frames of two streams into a local copy and needs no lease. Both are
// reducers that package gateway drives; neither makes decisions about requests.
package controlclient
