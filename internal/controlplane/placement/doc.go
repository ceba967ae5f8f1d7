// Package placement decides which replica should hold which model: policies written in Starlark, and the built-in
// one that treats replicas' memory as a cache (Resident). It checks each proposal against the ledger before it
// becomes an order. Package controller calls it, and the command line to compile a policy. It never orders
// anything, and a policy's program reaches nothing but what it is given.
package placement
