package httpserver

import "time"

// soleShare is the share of a listener that is the only one of its process.
var soleShare = Share{Descriptors: 0.5, Connections: 0.2, Heads: 0.08, Bodies: 0.1, UnreadBytes: 64 << 10}

// The timeouts of a listener that is the only one of its process.
const (
	soleHeadTimeout      = 5 * time.Second
	soleBodyStallTimeout = 10 * time.Second
	soleBodyTimeout      = time.Minute
	soleWriteTimeout     = 30 * time.Second
)

// SoleLimits returns the limits of a listener that is the only one of its process on a machine.
func SoleLimits(m Machine) Limits {
	limits := soleShare.Limits(m)
	limits.HeadTimeout = Constant(soleHeadTimeout)
	limits.BodyStallTimeout, limits.BodyTimeout, limits.WriteTimeout = soleBodyStallTimeout, soleBodyTimeout, soleWriteTimeout
	return limits
}
