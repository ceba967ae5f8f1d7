// Package rpc transports calls and streams of plain structs between the system's own processes, with the Connect protocol
// over HTTP and JSON, compressed above a minimum size. Packages controlnode and gateway use it as clients and servers. It
// holds no cluster state and never retries a call by itself.
package rpc
