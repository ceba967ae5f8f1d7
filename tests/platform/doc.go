// Package platform stands in for what surrounds the product in its own interfaces: the list of replicas and the
// store of weights, which notes when it was asked for too much. The fleet, the testbed and the simulator use it.
// It orders nothing, and one lock holds all of it.
package platform
