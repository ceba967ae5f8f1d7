// Package controller decides what the elected controller does: it follows the replicas, turns the placement
// policy's proposals into numbered, fenced orders to them, and settles what became of each. It is a reducer that
// package controlnode drives on the node that leads, and the simulator too. It never sends anything itself, and it
// never gives an order that the replicated ledger does not hold.
package controller
