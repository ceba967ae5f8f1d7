package quota

// windowSlots is how many slots a window is counted in.
const windowSlots = 16

// slidingWindow counts over the last window in slots. It is conservative: what is added stays for a window at least, and
// for a slot more at most. The zero value is empty.
type slidingWindow struct {
	counts [windowSlots + 1]int64
	// newest is the slot that was last written or read, by its number since the clock's zero.
	newest int64
}

// sum is what was added of late; slotUs is the length of a slot, a windowSlots-th of the window or more.
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

// advance empties the slots that a window has gone by for.
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

// oldestExpiryUs is when the oldest slot that holds anything is emptied; 0 where none does.
func (w *slidingWindow) oldestExpiryUs(slotUs int64) int64 {
	size := int64(len(w.counts))
	for slot := max(0, w.newest-size+1); slot <= w.newest; slot++ {
		if w.counts[slot%size] > 0 {
			return (slot + size) * slotUs
		}
	}
	return 0
}
