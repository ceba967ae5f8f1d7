// Package storage keeps a control node's records on disk: a write-ahead log and, beside it, a snapshot of the state that
// stands for the log before it. Each record is framed with a checksum and counts only once it is synced. Package
// controlnode calls it.
//
// It survives kills, losses of power and full disks. A torn last record is cut off; data that is damaged, that belongs to
// another member or that a later version wrote is reported as a typed fault and left as it is. It never acknowledges a write
// that was not synced, and it knows nothing of what its records mean beyond package chain's types.
package storage
