package replica

import "petreltide/internal/api/configuration"

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
	// Tenant is in whose name it is to run; Keyed says that it came with a client's key.
	Tenant string
	Keyed  bool
}

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

func (o Order) unit() string { return configuration.UnitName(o.Model, o.Adapter) }
