package scheduling

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
)

// Call is what a caller asked for. Its urgency, its deadline and whether it may be resumed are its
// kind's, as the newest news has it, until an attempt starts.
type Call struct {
	ID       string
	Kind     string
	Model    string
	Adapter  string
	Prefix   []string
	Once     bool
	MostMs   int64
	TakenUs  int64
	Had      int
	Progress atomic.Int64
	FirstUs  atomic.Int64
	Routed   *Routed
	// Outcome is the class of the last attempt's, an outlier.Class, where whoever ran it can tell.
	Outcome atomic.Int32

	takenAt    uint64
	urgency    int
	deadlineUs int64
	// resume: every declaration under which the call was taken or sent lets it run more than once.
	resume bool
	// once: some declaration of its time did not.
	once     bool
	ran      bool
	attempts int
	prints   []uint64
	on       string
	attempt  string
	tried    []string
	moving   bool
	gone     bool
	firstUs  int64
}

func (c *Call) fingerprints() []uint64 {
	if c.prints == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.Model + "\x00" + c.Adapter))
		c.prints = []uint64{}
		if c.Routed != nil {
			for _, part := range c.Routed.Parts {
				var raw [8]byte
				binary.LittleEndian.PutUint64(raw[:], part.ID)
				_, _ = h.Write(raw[:])
				c.prints = append(c.prints, h.Sum64())
			}
			return c.prints
		}
		for _, part := range c.Prefix {
			_, _ = h.Write([]byte("\x00" + part))
			c.prints = append(c.prints, h.Sum64())
		}
	}
	return c.prints
}

// Ending is how an attempt counts: for its call, for its replica and for the retry budget.
type Ending string

// How attempts end. The decision table says for each whether the call may have run and may be sent again.
const (
	Done    Ending = "done"
	Refused Ending = "refused"
	Missing Ending = "missing"
	// Elsewhere means: the address answers for another incarnation or another replica.
	Elsewhere Ending = "elsewhere"
	Failed    Ending = "failed"
	Unsent    Ending = "unsent"
	Broken    Ending = "broken"
	Unknown   Ending = "unknown"
	Moved     Ending = "moved"
	Final     Ending = "final"
	// Stopped means: the caller is gone, or has had a part of an answer that nothing can go on with.
	Stopped Ending = "stopped"
)
