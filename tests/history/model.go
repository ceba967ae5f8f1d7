package history

import (
	"strings"

	"github.com/anishathalye/porcupine"
)

const acceptedSeparator = "\x00"

func splitAccepted(taken string) []string { return strings.Split(taken, acceptedSeparator) }

// register is the configuration as one place: an order is taken where it builds on the version in force, and a read
// gives back what was taken last. An order without a clear answer may be taken when its turn comes, or not.
var register = model()

func model() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, in, out any) []any {
			nexts := []any{}
			for _, next := range step(s.(state), in.(input), out.(output)) {
				nexts = append(nexts, next)
			}
			return nexts
		},
	}
	return m.ToModel()
}

// step lists the states that may follow; none where the answer is impossible.
func step(s state, in input, out output) []state {
	switch {
	case in.order == nil:
		return stepRead(s, out)
	case in.again:
		return stepAgain(s, in.order, out.answer)
	}
	return stepOrder(s, in.order, out.answer)
}

func stepRead(s state, out output) []state {
	if out.version != s.version || out.content != s.content {
		return nil
	}
	return []state{s}
}

// stepOrder is the one operation in which an order can be taken.
func stepOrder(s state, order *Order, answer Answer) []state {
	switch answer {
	case Acknowledged:
		if s.fits(order) {
			return []state{s.accept(order)}
		}
		return nil
	case Refused:
		if order.Base != s.version || order.Spoiled {
			return []state{s}
		}
		return nil
	case Invalid:
		if order.Spoiled {
			return []state{s}
		}
		return nil
	}
	if s.fits(order) {
		return []state{s, s.accept(order)}
	}
	return []state{s}
}

// stepAgain is an order that had a clear answer before: that answer stands.
func stepAgain(s state, order *Order, answer Answer) []state {
	if (answer == Acknowledged) != s.hasAccepted(order) {
		return nil
	}
	return []state{s}
}
