package replica

// Options hold for one incarnation of a replica. Store and Disk may be shared with other replicas; without a Disk
// the incarnation has an empty one of its own.
type Options struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Release string
	Slots   int
	Queue   int
	Engine  *Engine
	Store   *Store
	Disk    *Disk
	Holds   []string
	Fenced  bool
	WorkUs  int64
	Journal Journal
	// Fail, Turn and Break say of a request, by its incarnation's own count, that it gets a 500, is turned away,
	// or is broken off in the middle.
	Fail  func(n int) bool
	Turn  func(n int) bool
	Break func(n int) bool
	// Ail says of a request, by its incarnation's own count and its caller, how the replica fails it while it calls
	// itself well; Slow is how many times as long all work takes.
	Ail  func(n int, from string) Ailment
	Slow func() int64
	// Anyone takes requests for other incarnations as well, as no replica should.
	Anyone bool
}

// Ailment is one way in which a replica fails a request while its word of itself is good.
type Ailment int

// The ailments. Sound is none.
const (
	Sound  Ailment = iota
	Errs           // it runs and gets a 500
	Sheds          // it is turned away as if the replica were full
	Busies         // it is turned away with 429
	Hangs          // it is taken, never begun and never answered
	Resets         // its connection is reset before it began
	Mutes          // it runs, and nothing is sent
	Loses          // it runs, and the connection ends in place of the answer
)
