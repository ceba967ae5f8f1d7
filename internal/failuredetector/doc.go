// Package failuredetector detects failed nodes without a dedicated monitoring service. Every node sends heartbeats to the
// WatchersPerNode nodes that follow it on a hash ring, where a Monitor records them. A node is suspected once all of these
// watchers have reported its heartbeats as overdue (SuspicionQuorum). Package distribution builds the ring; packages
// controlnode and gateway send heartbeats and reports.
//
// Invariants:
//   - The package never acts on a suspicion.
//   - The report of one watcher alone never makes a node suspected.
//   - A watcher that was itself paused suspects no node because of heartbeats that it missed during its pause.
//
// Times are microseconds of the caller's clock. The types are not safe for concurrent use.
package failuredetector
