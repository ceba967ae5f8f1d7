package quota

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 16

// slidingWindow counts events over the last window, in slots. It is conservative: an event is counted for at least one window
// and at most one window and one slot. The zero value is empty.
type slidingWindow struct {
	counts [windowSlots + 1]int64
	// newest is the number of the newest slot, counted from the clock's zero; each read or write advances it.
	newest int64
}

// sum returns the count over the last window. slotUs is the length of a slot in microseconds, at least 1/windowSlots of the
// window.
func (w *slidingWindow) sum(nowUs, slotUs int64) int64 {
	w.advance(nowUs / slotUs)
	total := int64(0)
	for _, n := range w.counts {
		total += n
	}
	return total
}

func (w *slidingWindow) add(nowUs, slotUs, n int64) {
	w.advance(nowUs / slotUs)
	w.counts[w.newest%int64(len(w.counts))] += n
}

// advance makes slot the newest and clears the slots that have left the window.
func (w *slidingWindow) advance(slot int64) {
	size := int64(len(w.counts))
	if slot-w.newest >= size {
		w.counts = [windowSlots + 1]int64{}
		w.newest = slot
		return
	}
	for w.newest < slot {
		w.newest++
		w.counts[w.newest%size] = 0
	}
}

// oldestExpiryUs returns the time at which the oldest nonzero slot leaves the window, or 0 if all are zero.
func (w *slidingWindow) oldestExpiryUs(slotUs int64) int64 {
	size := int64(len(w.counts))
	for slot := max(0, w.newest-size+1); slot <= w.newest; slot++ {
		if w.counts[slot%size] > 0 {
			return (slot + size) * slotUs
		}
	}
	return 0
}
