// Package fleet plays days of the users' platform with real processes of the product, stand-in replicas, clients
// and an operator, causes faults, and hands everything seen to package rules. The fleet command and its tests call
// it. It knows the platform's words as a client does, and never reads the product's state.
package fleet
