// Package actor runs functions on a goroutine that owns a state: functions are sent to the actor and run one at a time,
// interleaved with a periodic tick. The hosts of gateways (package gateway) and of control nodes (package controlnode) are
// built on it. The package is independent of the state's type, and never runs two functions of one actor concurrently.
package actor
