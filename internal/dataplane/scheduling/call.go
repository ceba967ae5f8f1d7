package scheduling

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
)

// Call is what a caller asked for. Its urgency, its deadline and whether it may be resumed are its
// kind's, as the newest news has it, until an attempt starts.
type Call struct {
	ID           string
	Kind         string
	Model        string
	Adapter      string
	Prefix       []string
	NonRetryable bool
	TimeoutMs    int64
	ArrivedUs    int64
	Delivered    int
	Progress     atomic.Int64
	FirstByteUs  atomic.Int64
	Routed       *RoutedCall
	// OutlierClass is the class of the last attempt's, an outlier.Class, where whoever ran it can tell.
	OutlierClass atomic.Int32

	arrivalRevision uint64
	urgency         int
	// tenantPriority is its tenant's own priority; nil where it has none.
	tenantPriority *int
	deadlineUs     int64
	// repeatable: every declaration under which the call was taken or sent lets it run more than once.
	repeatable bool
	// everNonRepeatable: some declaration of its time did not.
	everNonRepeatable bool
	mayHaveRun        bool
	attempts          int
	hashes            []uint64
	replica           string
	attempt           string
	triedReplicas     []string
	migrating         bool
	canceled          bool
	attemptStartUs    int64
}

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

// Outcome is how an attempt counts: for its call, for its replica and for the retry budget.
type Outcome string

// How attempts end. The decision table says for each whether the call may have run and may be sent again.
const (
	OutcomeDone         Outcome = "done"
	OutcomeRejected     Outcome = "refused"
	OutcomeModelMissing Outcome = "missing"
	// OutcomeWrongIncarnation means: the address answers for another incarnation or another replica.
	OutcomeWrongIncarnation Outcome = "elsewhere"
	OutcomeFailed           Outcome = "failed"
	OutcomeUnsent           Outcome = "unsent"
	OutcomeBroken           Outcome = "broken"
	OutcomeUnknown          Outcome = "unknown"
	OutcomeMigrated         Outcome = "moved"
	OutcomeTimedOut         Outcome = "final"
	// OutcomeStopped means: the caller is gone, or has had a part of an answer that nothing can go on with.
	OutcomeStopped Outcome = "stopped"
)
