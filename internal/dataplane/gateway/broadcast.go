package gateway

import "sync/atomic"

// broadcast wakes all goroutines that wait for a change. A goroutine that calls changed before it reads the state misses no change.
type broadcast struct {
	signal atomic.Pointer[chan struct{}]
}

func newBroadcast() *broadcast {
	b := &broadcast{}
	signal := make(chan struct{})
	b.signal.Store(&signal)
	return b
}

// changed returns a channel that the next call of notify closes.
func (b *broadcast) changed() <-chan struct{} { return *b.signal.Load() }

func (b *broadcast) notify() {
	signal := make(chan struct{})
	close(*b.signal.Swap(&signal))
}
