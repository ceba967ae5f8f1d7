// Package wire holds the messages that the system's own processes and its stand-in replicas exchange as JSON.
// Packages rpc's callers send them. It has no behaviour but encoding, and a field once sent keeps its name.
package wire
