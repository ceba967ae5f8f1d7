// Package rpc carries calls and streams of ordinary structs between the system's own processes: Connect over HTTP
// with JSON, zipped where that pays. Packages control node and gateway call and serve with it. It holds no state of the
// cluster, and never sends a call again by itself.
package rpc
