package gateway

import "sync/atomic"

// broadcast wakes all who wait for the same thing. Who takes next before it looks at the state misses no change.
type broadcast struct {
	signal atomic.Pointer[chan struct{}]
}

func newBroadcast() *broadcast {
	b := &broadcast{}
	signal := make(chan struct{})
	b.signal.Store(&signal)
	return b
}

// next is closed by the next fire.
func (b *broadcast) changed() <-chan struct{} { return *b.signal.Load() }

func (b *broadcast) notify() {
	signal := make(chan struct{})
	close(*b.signal.Swap(&signal))
}
