// Package history records what operators sent, were answered and read back, and judges whether one register that is
// changed by compare-and-set on its version could have given all of these answers.
package history

import (
	"fmt"
	"sync"
)

// Answer is what an operator got for one call.
type Answer string

const (
	// Acknowledged means: the order is in force, or has been.
	Acknowledged Answer = "acknowledged"
	// Refused means: another version than the order's base is in force.
	Refused Answer = "refused"
	// Invalid means: the order can't be in force, whatever it builds on.
	Invalid Answer = "invalid"
	// Unclear means: no answer, or one that says nothing. The order may take effect at any later time, or never.
	Unclear Answer = "unclear"
)

func (a Answer) isRefusal() bool { return a == Refused || a == Invalid }

// Order is one change of the configuration. Two orders may bear the same Version; ID tells them apart.
type Order struct {
	ID      string
	Base    uint64
	Version uint64
	// Content is what a read gives back once the order is in force.
	Content string
	// Spoiled orders must never be in force.
	Spoiled bool
}

// Call is one call of an operator: an order that was sent, or a read where Order is nil.
type Call struct {
	Order  *Order
	FromUs int64
	ToUs   int64
	Answer Answer
	// Version and Content are what a read gave back; Content is empty before the first version.
	Version uint64
	Content string
}

func (c *Call) String() string {
	if c.Order == nil {
		return fmt.Sprintf("read of %d to %d us: version %d %.60q", c.FromUs, c.ToUs, c.Version, c.Content)
	}
	return fmt.Sprintf("order %s of %d to %d us: version %d on %d, %s", c.Order.ID, c.FromUs, c.ToUs, c.Order.Version, c.Order.Base, c.Answer)
}

// Recorder gathers calls as they are made, from any goroutine.
type Recorder struct {
	mu    sync.Mutex
	calls []*Call
}

// Send notes that an order goes out. Its call is unclear until an answer is noted.
func (r *Recorder) Send(order *Order, nowUs int64) *Call {
	return r.add(&Call{Order: order, FromUs: nowUs, Answer: Unclear})
}

// Read notes that the configuration is asked for. Its call counts for nothing until its answer is noted.
func (r *Recorder) Read(nowUs int64) *Call {
	return r.add(&Call{FromUs: nowUs, Answer: Unclear})
}

func (r *Recorder) add(c *Call) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
	return c
}

// Answered notes the answer to an order.
func (r *Recorder) Answered(c *Call, answer Answer, nowUs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Answer, c.ToUs = answer, nowUs
}

// Saw notes what a read gave back.
func (r *Recorder) Saw(c *Call, version uint64, content string, nowUs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Answer, c.ToUs, c.Version, c.Content = Acknowledged, nowUs, version, content
}

// Calls are copies of all calls so far.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Call, 0, len(r.calls))
	for _, c := range r.calls {
		out = append(out, *c)
	}
	return out
}
