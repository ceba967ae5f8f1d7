// Package failuredetector finds failed nodes without a monitor of their own: every node sends heartbeats to the two that
// follow it on a ring, and it counts as failed once enough of them report silence. Packages control node and gateway drive
// it. It never acts on a failure, and one watcher alone can declare none.
package failuredetector
