package replica

import (
	"petreltide/internal/standing"
)

// Model is what the stand-in knows of one model beyond its declaration.
type Model struct {
	SizeMb    int64
	LoadUs    int64
	WarmUs    int64
	Adapters  int
	AdapterMb int64
	AdapterUs int64
}

// Engine is how a model replica works; a replica without one gives short answers after some work.
type Engine struct {
	CacheTokens  int64
	Stride       int
	RoomMb       int64
	AdaptersMost int
	Models       map[string]Model
	StepUs       int64
	SlotUs       int64
	TokensPerMs  float64
}

// EngineOf reads the stand-in's engine out of a declared one.
func EngineOf(e *standing.Engine) *Engine {
	out := &Engine{
		CacheTokens: e.CacheTokens, Stride: max(e.Stride, 1), RoomMb: e.RoomMb, AdaptersMost: e.AdaptersMost, Models: map[string]Model{},
		StepUs: 9 * ms, SlotUs: 30, TokensPerMs: 20,
	}
	for _, m := range e.Models {
		out.Models[m.Name] = Model{
			SizeMb: m.SizeMb, LoadUs: m.LoadMs * ms, WarmUs: 150*ms + m.LoadMs*ms/3, Adapters: m.Adapters, AdapterMb: m.AdapterMb, AdapterUs: 12 * ms,
		}
	}
	return out
}

// Options hold for one life of a replica. Store and Disk may be shared with other replicas; without a Disk
// the life has an empty one of its own.
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
	// Fail, Turn and Break say of a request, by its life's own count, that it gets a 500, is turned away,
	// or is broken off in the middle.
	Fail  func(n int) bool
	Turn  func(n int) bool
	Break func(n int) bool
	// Ail says of a request, by its life's own count and its caller, how the replica fails it while it calls
	// itself well; Slow is how many times as long all work takes.
	Ail  func(n int, from string) Ailment
	Slow func() int64
	// Anyone takes requests for other lives as well, as no replica should.
	Anyone bool
}

// Ailment is one way in which a replica fails a request while its word of itself is good.
type Ailment int

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

// Part is one piece of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Ask is a request as it reaches a replica.
type Ask struct {
	ID         string
	From       string
	Method     string
	Host       string
	Path       string
	Body       string
	Model      string
	Adapter    string
	In         int64
	Parts      []Part
	DeadlineUs int64
	Priority   int
	Last       int
	Stream     bool
	Expect     string
}

// Order is an order as it reaches a replica.
type Order struct {
	From      string
	Operation string
	Model     string
	Adapter   string
	Holder    string
	Fence     uint64
	Expected  *uint64
	Expect    string
}

func (o Order) unit() string { return standing.Unit(o.Model, o.Adapter) }

// Effect is what one connection is sent next. Status stands with the head of an answer, or alone.
type Effect struct {
	Conn        uint64
	Head        bool
	Status      int
	NotExecuted bool
	Seal        string
	N           int
	Text        string
	Body        string
	End         bool
	Broken      bool
}
