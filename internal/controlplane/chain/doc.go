// Package chain replicates the log of the control side over the control nodes by chain replication, and lets them
// agree on the chain's members and their order (a view) by single-decree Paxos. It is a reducer: events and
// messages in, effects (messages, records to save, answers) out. Package controlnode drives it and package storage
// saves its records; the simulator and the explorer drive it too. It never opens a socket or a file, and it reads
// no clock but the times of its events.
package chain
