// Package loopback hands out loopback addresses for servers that are started later or more than once, such as real
// processes. A port that was found free by binding and releasing it may be gone by then; an address of this package
// belongs to its holder until the network is closed. Package fleet, testbed, capacity and platform/fleet place their
// servers with it. It starts no server itself.
package loopback
