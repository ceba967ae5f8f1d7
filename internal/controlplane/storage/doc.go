// Package storage keeps a control node's records on disk: a write-ahead log and snapshots, each framed with a
// checksum and synced before it counts, and damaged files set aside rather than read. Package controlnode calls it. It
// never acknowledges a write that was not synced, and it knows nothing of what its records mean beyond package
// chain's types.
package storage
