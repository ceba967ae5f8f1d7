// Package statemachine is the replicated state machine of the control side: the configuration in force, replicas and
// what they hold, orders, grants, and the changes remembered for operators who send them again. Every control node
// applies the entries of package chain to it in the same order. It is deterministic: it reads no clock, draws no
// random number and ranges over no map where the order shows.
package statemachine
