// Package testbed runs a few hosts of the product in one process on real sockets and disks, for tests that need no
// kills: bad input, interfaces, measurements. Only tests use it. It causes no faults by itself.
package testbed
