// Package failuredetector finds failed nodes without a monitor of their own. Every node sends heartbeats to the
// WatchersPerNode that follow it on a hash ring (Monitor), and it is suspected once that many of them have reported that
// its heartbeats are overdue (SuspicionQuorum). Package distribution lays the ring; packages controlnode and gateway send
// heartbeats and reports.
//
// Invariants:
//   - It never acts on a suspicion, and one watcher alone can raise none.
//   - A watcher that was itself paused suspects nobody for the time of its pause.
//
// Times are microseconds of the caller's clock. The types are not safe for concurrent use.
package failuredetector
