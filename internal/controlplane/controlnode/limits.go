package controlnode

import (
	"time"

	"petreltide/internal/process/httpserver"
)

// nativeShare is the share of the machine that gateways, other control nodes and operators take at the own interface.
var nativeShare = httpserver.Share{Descriptors: 0.5, Connections: 0.2, Heads: 0.08, Bodies: 0.1, UnreadBytes: 64 << 10}

const (
	// headTimeout bounds the time of a request's headers, bodyStallTimeout the time in which a byte of a body must come, bodyTimeout that of
	// a whole body, and writeTimeout the time in which a caller must take a part of a response.
	headTimeout      = 5 * time.Second
	bodyStallTimeout = 10 * time.Second
	bodyTimeout      = time.Minute
	writeTimeout     = 30 * time.Second
)

// nativeLimits returns the limits of the own interface on a machine with so much memory.
func nativeLimits(memoryMB int) httpserver.Limits {
	limits := nativeShare.Limits(httpserver.Machine{MemoryBytes: int64(memoryMB) << 20})
	limits.HeadTimeout = httpserver.Constant(headTimeout)
	limits.BodyStallTimeout, limits.BodyTimeout, limits.WriteTimeout = bodyStallTimeout, bodyTimeout, writeTimeout
	return limits
}
