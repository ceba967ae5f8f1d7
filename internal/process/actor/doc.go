// Package actor runs a state that one goroutine owns: functions are sent to it and run there one at a time, beside
// a periodic tick. The hosts of gateways (package gateway) and of control nodes (package controlnode) are built on it. It
// knows nothing of what the state is, and it never runs two functions of one actor at the same time.
package actor
