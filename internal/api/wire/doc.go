// Package wire defines the JSON messages that the system's processes and its simulated replicas exchange. They are sent by
// the users of package rpc. The package only encodes messages; a field that has ever been sent must keep its JSON name.
package wire
