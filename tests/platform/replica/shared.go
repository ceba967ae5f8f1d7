package replica

import "sync"

// Store is the store of weights that all replicas share: past AtOnce loads each takes longer. It has a
// lock of its own, since replicas on real sockets advance at the same time under locks of their own.
type Store struct {
	AtOnce int

	mu      sync.Mutex
	running int
	slowX   float64
}

// Slow makes every load that begins from now on take so many times as long; 1 or less ends that.
func (s *Store) Slow(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowX = times
}

// begin counts one more load and returns how many times as long as usual it takes, at least 1.
func (s *Store) begin() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return max(float64(s.running)/float64(max(s.AtOnce, 1)), 1) * max(s.slowX, 1)
}

// end counts a load out again that begin has counted.
func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Running is how many loads the store serves now.
func (s *Store) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Disk is what a machine has loaded from the store once, so that it need not be fetched again. It outlasts
// the replicas of its machine and is safe for several at once.
type Disk struct {
	mu    sync.Mutex
	units map[string]bool
}

// NewDisk is an empty disk.
func NewDisk() *Disk { return &Disk{units: map[string]bool{}} }

// Has says whether a unit (a model, or a model with an adapter) is on the disk.
func (d *Disk) Has(unit string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.units[unit]
}

// Put notes that a unit is on the disk from now on.
func (d *Disk) Put(unit string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.units[unit] = true
}
