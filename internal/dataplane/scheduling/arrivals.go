package scheduling

import "petreltide/internal/process/clock"

const (
	// arrivalSlots is the number of slots over which arrivals are counted, including the current, incomplete one.
	arrivalSlots = 6
	// arrivalSlotUs is the length of a slot, in microseconds.
	arrivalSlotUs = 1 * clock.Sec
	// maxUndeclaredCalls is the number of calls for models that no service declares that a slot counts. Their names are the clients' own.
	maxUndeclaredCalls = 100
)

// arrivals counts arrived calls in a ring of one-second slots.
type arrivals struct {
	// calls counts calls by model and by adapter unit, tokens counts prompt tokens by model, and routeCalls counts calls by
	// route and model.
	calls      [arrivalSlots]map[string]int
	tokens     [arrivalSlots]map[string]int64
	routeCalls [arrivalSlots]map[string]int
	// undeclared is the number of calls for undeclared models that the current slot has counted.
	undeclared int
	// slot is the index of the current slot, which began at slotStartUs; complete is the number of complete slots.
	slot        int
	slotStartUs int64
	complete    int
}

func newArrivals() *arrivals {
	a := &arrivals{}
	for i := range a.calls {
		a.clear(i)
	}
	return a
}

func (a *arrivals) clear(slot int) {
	a.calls[slot] = map[string]int{}
	a.tokens[slot] = map[string]int64{}
	a.routeCalls[slot] = map[string]int{}
	a.undeclared = 0
}

// advance moves to the slot of nowUs and clears the slots that it enters.
func (a *arrivals) advance(nowUs int64) {
	if a.slotStartUs == 0 {
		a.slotStartUs = nowUs
	}
	for n := 0; nowUs-a.slotStartUs >= arrivalSlotUs; n++ {
		a.slotStartUs += arrivalSlotUs
		if n >= arrivalSlots {
			a.slotStartUs = nowUs
		}
		a.slot = (a.slot + 1) % arrivalSlots
		a.clear(a.slot)
		a.complete = min(a.complete+1, arrivalSlots-1)
	}
}

// add counts a call in the current slot. declared tells that some service declares its model and adapter; of the others only the first
// are counted, since clients may name any number of them.
func (a *arrivals) add(c *Call, declared bool) {
	if !declared {
		if a.undeclared++; a.undeclared > maxUndeclaredCalls {
			return
		}
	}
	if c.Model != "" {
		a.calls[a.slot][c.Model]++
		if c.Routed != nil {
			a.tokens[a.slot][c.Model] += c.Routed.PromptTokens
			a.routeCalls[a.slot][c.Kind+"|"+c.Model]++
		}
	}
	if c.Adapter != "" {
		a.calls[a.slot][c.demandUnit()]++
	}
}

// rates returns the calls per second over the complete slots, by model and by adapter unit.
func (a *arrivals) rates() map[string]float64 { return ratesOf(a, a.calls) }

// tokenRates returns the prompt tokens per second over the complete slots, by model.
func (a *arrivals) tokenRates() map[string]float64 { return ratesOf(a, a.tokens) }

func ratesOf[N int | int64](a *arrivals, slots [arrivalSlots]map[string]N) map[string]float64 {
	rates := map[string]float64{}
	seconds := float64(max(a.complete, 1))
	for i, slot := range slots {
		if i == a.slot && a.complete > 0 {
			continue
		}
		for unit, n := range slot {
			rates[unit] += float64(n) / seconds
		}
	}
	return rates
}

// recentRates returns the calls per second over the last complete slot and the current one, by model and by adapter unit.
func (a *arrivals) recentRates(nowUs int64) map[string]float64 {
	rates := map[string]float64{}
	seconds := 1 + float64(nowUs-a.slotStartUs)/1e6
	last := (a.slot + arrivalSlots - 1) % arrivalSlots
	for _, slot := range []map[string]int{a.calls[a.slot], a.calls[last]} {
		for unit, n := range slot {
			rates[unit] += float64(n) / seconds
		}
	}
	return rates
}

// declares reports whether some service declares the model and the adapter that a call names. Calls that are not routed name declared
// ones, or are refused before they arrive here.
func (d *Decider) declares(c *Call) bool {
	if c.Routed == nil || c.Model == "" || d.snapshot == nil || d.snapshot.Declaration == nil {
		return true
	}
	doc := d.snapshot.Declaration
	for i := range doc.Services {
		model := doc.EngineModel(doc.Services[i].Name, c.Model)
		if model != nil && (c.Adapter == "" || model.HasAdapter(c.Adapter)) {
			return true
		}
	}
	return false
}
