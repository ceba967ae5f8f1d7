// Package controlclient is a gateway's way to the control nodes: which of them it follows as its primary and standby,
// when it leaves one for another, and the copy of the control state that it folds from their frames (Mirror). It
// is a reducer that package gateway drives. It never decides about a request.
package controlclient
