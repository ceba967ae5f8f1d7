package httpserver

import (
	"cmp"
	"time"
)

const (
	// defaultHeadBytes bounds one head if Limits set no other bound.
	defaultHeadBytes = 64 << 10
	// readAheadBytes is the size of net/http's read buffer: the server may have been given so many bytes beyond a head's limit before
	// the end of the head is seen.
	readAheadBytes = 4 << 10
	// maxSurplusBytes is more than net/http reads beyond the request that it serves: its buffer, and a byte.
	maxSurplusBytes = 2 * readAheadBytes
	// fieldCostBytes is what one parsed field takes beside its bytes: the entry in the map, the slice, and the copy that is forwarded.
	fieldCostBytes = 200
	// defaultUnreadBytes bounds what a socket holds for the server to read if Limits set no other bound.
	defaultUnreadBytes = 16 << 10
	// bodyUnreadBytes is the bound while a long body is read, which would take long in smaller portions where a round trip is long.
	bodyUnreadBytes = 64 << 10
	// freeHeadDivisor is the divisor of the free memory of heads that yields the largest head that is served in any case.
	freeHeadDivisor = 16
	// connectionBytes is what a connection takes in the process: its goroutine, buffers and bookkeeping.
	connectionBytes = 16 << 10
	// pieceBytes is the size of the pieces in which answers are written. Each has to be taken within Limits.WriteTimeout.
	pieceBytes = 64 << 10
	// idleGrace is the time for which a connection may do nothing before it is the first to be closed. A client gives up a request that
	// has not been read after a second, so one that behaves has sent something by then.
	idleGrace = time.Second
	// sweepInterval is the interval at which connections are checked for timeouts.
	sweepInterval = time.Second
	// lingerTime is how long a connection stays open after a refusal, so that the client can read it.
	lingerTime = 500 * time.Millisecond
)

// Limits bound what the clients of a server take. A field that is 0 or nil means no limit, unless it says otherwise.
type Limits struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// UnreadBytes bounds what the socket of a connection holds for the server to read; beyond it the client has to wait. 0 means
	// defaultUnreadBytes. While a long body is read it is bodyUnreadBytes at least.
	UnreadBytes int
	// MaxHeadBytes returns the bound on the bytes of one head, which may change at any time; nil means defaultHeadBytes.
	MaxHeadBytes func() int
	// MaxHeldHeadBytes bounds the memory of all heads that are being read or served.
	MaxHeldHeadBytes int64
	// MaxHeldBodyBytes bounds the bodies of all requests that are being read or served.
	MaxHeldBodyBytes int64
	// HeadTimeout returns the time within which a head has to be sent, which may change at any time.
	HeadTimeout func() time.Duration
	// BodyStallTimeout bounds the time in which no byte of a body comes, BodyTimeout the time for a whole body.
	BodyStallTimeout, BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a client takes nothing of an answer.
	WriteTimeout time.Duration
}

// Constant returns a function for a limit that does not change.
func Constant[T any](value T) func() T {
	return func() T { return value }
}

func (l Limits) unreadBytes() int { return cmp.Or(l.UnreadBytes, defaultUnreadBytes) }

func (l Limits) maxHeadBytes() int {
	if l.MaxHeadBytes == nil {
		return defaultHeadBytes
	}
	return l.MaxHeadBytes()
}
