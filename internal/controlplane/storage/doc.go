// Package storage stores a control node's records on disk: a write-ahead log and a snapshot of the state that replaces the
// log records before it. Each record carries a checksum and is durable only once it is synced. Package controlnode uses it.
//
// The store recovers from process kills, power losses and full disks. A torn last record is truncated. Data that is damaged,
// that belongs to another member or that a later version wrote is reported as a typed fault and not modified. The store never
// acknowledges a write that was not synced, and it interprets its records only as far as package chain's types go.
package storage
