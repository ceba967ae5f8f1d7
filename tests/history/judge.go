package history

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Breach is a rule of the configuration that a history breaks.
type Breach string

const (
	// AcceptedThenRefused means: an order was acknowledged, and refused by another answer.
	AcceptedThenRefused Breach = "an acknowledged order was refused"
	// RefusedInForce means: an order that was refused was read back.
	RefusedInForce Breach = "a refused order was in force"
	// TwoWinners means: two orders on top of one version were acknowledged.
	TwoWinners Breach = "two orders on top of one version were acknowledged"
	// InvalidAccepted means: an order that can't be valid was acknowledged or read back.
	InvalidAccepted Breach = "an invalid order was taken"
	// UnknownContent means: what was read back is no order's that was ever sent.
	UnknownContent Breach = "what was read back was never sent"
	// NotLinearizable means: each answer alone is possible, but no single order of effects gives all of them.
	NotLinearizable Breach = "the answers fit no single order of effects"
	// Undecided means: the search for an order of effects took too long.
	Undecided Breach = "it could not be decided whether the answers fit"
)

// Broken is one breach and what shows it.
type Broken struct {
	Breach Breach
	Detail string
}

func (b Broken) String() string { return string(b.Breach) + ": " + b.Detail }

// maxSearchTime bounds the search for an order of effects.
const maxSearchTime = 20 * time.Second

// Judge lists what a history breaks. The plain rules come first, as they say more than a search that finds nothing.
func Judge(calls []Call) []Broken {
	if broken := plainRules(calls); len(broken) > 0 {
		return broken
	}
	ops := operations(calls)
	switch porcupine.CheckOperationsTimeout(register, ops, maxSearchTime) {
	case porcupine.Illegal:
		return []Broken{{NotLinearizable, fmt.Sprintf("%d calls", len(ops))}}
	case porcupine.Unknown:
		return []Broken{{Undecided, fmt.Sprintf("%d calls", len(ops))}}
	}
	return nil
}

// plainRules holds what can be told from two calls alone.
func plainRules(calls []Call) []Broken {
	broken := []Broken{}
	note := func(breach Breach, calls ...*Call) {
		broken = append(broken, Broken{breach, fmt.Sprint(calls)})
	}
	acknowledged, refused := map[string]*Call{}, map[string]*Call{}
	byContent := map[string]*Order{}
	winners := map[uint64]*Call{}
	for i := range calls {
		c := &calls[i]
		if c.Order == nil {
			continue
		}
		byContent[c.Order.Content] = c.Order
		if c.Answer.isRefusal() {
			refused[c.Order.ID] = c
		}
		if c.Answer != Acknowledged {
			continue
		}
		acknowledged[c.Order.ID] = c
		if c.Order.Spoiled {
			note(InvalidAccepted, c)
		}
		if other := winners[c.Order.Base]; other != nil && other.Order.ID != c.Order.ID {
			note(TwoWinners, other, c)
		}
		winners[c.Order.Base] = c
	}
	for id, c := range acknowledged {
		if other := refused[id]; other != nil {
			note(AcceptedThenRefused, c, other)
		}
	}
	for i := range calls {
		c := &calls[i]
		if c.Order != nil || c.Answer == Unclear || c.Content == "" {
			continue
		}
		order := byContent[c.Content]
		switch {
		case order == nil:
			note(UnknownContent, c)
		case order.Spoiled:
			note(InvalidAccepted, c)
		case refused[order.ID] != nil:
			note(RefusedInForce, refused[order.ID], c)
		}
	}
	return broken
}

// input is what the model is asked: an order, or a read. again says that the order had a clear answer before.
type input struct {
	order *Order
	again bool
}

type output struct {
	answer  Answer
	version uint64
	content string
}

// state is the register: the version in force, what a read gives back, and the orders taken so far in their order.
type state struct {
	version  uint64
	content  string
	accepted string
}

func (s state) hasAccepted(order *Order) bool {
	return slices.Contains(splitAccepted(s.accepted), order.ID)
}

func (s state) fits(order *Order) bool {
	return !order.Spoiled && order.Base == s.version && order.Version > s.version
}

func (s state) accept(order *Order) state {
	return state{version: order.Version, content: order.Content, accepted: s.accepted + order.ID + acceptedSeparator}
}

// operations are the calls as the model wants them. All calls of an order up to its first clear answer are one
// operation, as sending it again changes nothing; each later one must be answered by what became of it. A read or a
// later call without an answer says nothing; nor does an order without any, where another on top of the same version was
// acknowledged: versions only rise, so this one was never taken.
func operations(calls []Call) []porcupine.Operation {
	ops := []porcupine.Operation{}
	add := func(in input, out output, fromUs, toUs int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in, Output: out, Call: fromUs, Return: toUs})
	}
	won := map[uint64]bool{}
	sent := map[string][]*Call{}
	ids := []string{}
	for i := range calls {
		c := &calls[i]
		switch {
		case c.Order != nil:
			won[c.Order.Base] = won[c.Order.Base] || c.Answer == Acknowledged
			if sent[c.Order.ID] == nil {
				ids = append(ids, c.Order.ID)
			}
			sent[c.Order.ID] = append(sent[c.Order.ID], c)
		case c.Answer != Unclear:
			add(input{}, output{answer: c.Answer, version: c.Version, content: c.Content}, c.FromUs, c.ToUs)
		}
	}
	for _, id := range ids {
		first := firstClear(sent[id])
		fromUs := sent[id][0].FromUs
		for _, c := range sent[id] {
			fromUs = min(fromUs, c.FromUs)
		}
		if first == nil && won[sent[id][0].Order.Base] {
			continue
		}
		if first == nil {
			add(input{order: sent[id][0].Order}, output{answer: Unclear}, fromUs, math.MaxInt64)
			continue
		}
		add(input{order: first.Order}, output{answer: first.Answer}, fromUs, first.ToUs)
		for _, c := range sent[id] {
			if c != first && c.Answer != Unclear {
				add(input{order: c.Order, again: true}, output{answer: c.Answer}, c.FromUs, c.ToUs)
			}
		}
	}
	return ops
}

func firstClear(calls []*Call) *Call {
	var first *Call
	for _, c := range calls {
		if c.Answer != Unclear && (first == nil || c.ToUs < first.ToUs) {
			first = c
		}
	}
	return first
}
