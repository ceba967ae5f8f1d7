package scheduling

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
)

// Call is one client request with all its attempts. Its urgency, its deadline and whether it may be retried follow the
// newest declaration of its kind, or in routed mode that of the host, path and key that its client sent.
type Call struct {
	ID string
	// Kind is the kind of the call in declared mode. In routed mode it is the name that its route had when the call arrived, a label
	// for logs and counters alone.
	Kind    string
	Model   string
	Adapter string
	// Prefix holds the parts of the prompt's prefix in declared mode, in order.
	Prefix []string
	// NonRetryable is set if the client asked for the call to run at most once; only used in declared mode.
	NonRetryable bool
	// TimeoutMs is the client's timeout; 0 means none.
	TimeoutMs int64
	ArrivedUs int64
	// Delivered is how many chunks or events had reached the client when the newest attempt ended, or when the call
	// arrived if the client resumes a stream. Progress is the current number.
	Delivered int
	Progress  atomic.Int64
	// FirstByteUs is when the first byte of the response arrived; 0 before that. In routed mode it is reset when an
	// attempt starts.
	FirstByteUs atomic.Int64
	// Routed holds the fields that a call has in routed mode only; nil in declared mode.
	Routed *RoutedCall
	// OutlierClass is the outlier.Class of the newest attempt, set by the executor of the attempt if it can classify it.
	OutlierClass atomic.Int32

	arrivalRevision uint64
	urgency         int
	// tenantPriority is the priority of the call's tenant; nil if the tenant has none of its own.
	tenantPriority *int
	deadlineUs     int64
	// retryable is set while the declarations allow the call to run more than once: the newest one in declared mode,
	// every one that has applied to the call in routed mode.
	retryable bool
	// everNonRetryable is set once any declaration that applied to a routed call did not allow a retry.
	everNonRetryable bool
	mayHaveRun       bool
	attempts         int
	hashes           []uint64
	replica          string
	attempt          string
	triedReplicas    []string
	migrating        bool
	canceled         bool
	attemptStartUs   int64
}

// ArrivalRevision returns the revision of the declaration that was in force when the call arrived at its decider.
func (c *Call) ArrivalRevision() uint64 { return c.arrivalRevision }

// prefixHashes returns one hash for each prefix of the prompt's segments, shortest first, within the call's model and adapter.
func (c *Call) prefixHashes() []uint64 {
	if c.hashes == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.Model + "\x00" + c.Adapter))
		c.hashes = []uint64{}
		if c.Routed != nil {
			for _, part := range c.Routed.Segments {
				var raw [8]byte
				binary.LittleEndian.PutUint64(raw[:], part.ID)
				_, _ = h.Write(raw[:])
				c.hashes = append(c.hashes, h.Sum64())
			}
			return c.hashes
		}
		for _, part := range c.Prefix {
			_, _ = h.Write([]byte("\x00" + part))
			c.hashes = append(c.hashes, h.Sum64())
		}
	}
	return c.hashes
}

// Outcome is the result of an attempt, as it counts for its call, for its replica and for the retry budget.
type Outcome string

// The outcomes of attempts. The table retryDecisions determines for each whether the call may have run and may be retried.
const (
	OutcomeDone         Outcome = "done"
	OutcomeRejected     Outcome = "refused"
	OutcomeModelMissing Outcome = "missing"
	// OutcomeWrongIncarnation means that the address belongs to another incarnation or another replica.
	OutcomeWrongIncarnation Outcome = "elsewhere"
	OutcomeFailed           Outcome = "failed"
	OutcomeUnsent           Outcome = "unsent"
	OutcomeBroken           Outcome = "broken"
	OutcomeUnknown          Outcome = "unknown"
	OutcomeMigrated         Outcome = "moved"
	OutcomeTimedOut         Outcome = "final"
	// OutcomeStopped means that the client has disconnected, or has received part of a response that cannot be resumed.
	OutcomeStopped Outcome = "stopped"
)
