package registry

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/process/clock"
)

const (
	rowsMost = 20_000
	forgetUs = 60 * clock.Sec
	goneUs   = 10 * clock.Sec
)

// Roster is one control node's soft state of all replicas: heard from them directly or from other control nodes.
// It is never written to disk; who is heard last, by Seq, is right.
type Roster struct {
	Rev           uint64
	UnreachableUs int64
	// LateUs is how long what is read now may have lain unread: a control node that wakes from a freeze finds
	// words in its sockets that were true before it.
	LateUs  int64
	rows    map[string]*Entry
	sweepUs int64
	want    bool
	log     []touched
	sorted  []string
}

// touched is one entry of the list of what changed, kept so that nobody need look through all rows.
type touched struct {
	rev uint64
	id  string
}

const logMost = 8192

// New is an empty roster, which calls a replica unreachable after unreachableUs without a heartbeat.
func New(unreachableUs int64) *Roster {
	return &Roster{UnreachableUs: unreachableUs, rows: map[string]*Entry{}}
}

func (r *Roster) touch(e *Entry) {
	e.checksum = e.Row.checksum()
	r.Rev++
	e.Rev = r.Rev
	r.log = append(r.log, touched{r.Rev, e.ID})
	if len(r.log) > logMost {
		r.log = append([]touched(nil), r.log[logMost/2:]...)
	}
}

// Since are the rows that changed after a revision, each once, in no order.
func (r *Roster) Since(rev uint64) []string {
	if len(r.log) == 0 || r.log[0].rev > rev+1 {
		ids := []string{}
		for id, e := range r.rows {
			if e.Rev > rev {
				ids = append(ids, id)
			}
		}
		return ids
	}
	at := sort.Search(len(r.log), func(i int) bool { return r.log[i].rev > rev })
	seen, ids := map[string]bool{}, []string{}
	for _, t := range r.log[at:] {
		if !seen[t.id] && r.rows[t.id] != nil {
			seen[t.id] = true
			ids = append(ids, t.id)
		}
	}
	return ids
}

// Hear takes what a replica said; changed is true where others must learn of it.
func (r *Roster) Hear(nowUs int64, row Row) (changed bool) {
	changed = r.hear(nowUs, nowUs, nowUs-r.LateUs, row)
	if e := r.rows[row.ID]; e != nil {
		e.directUs = nowUs
	}
	return changed
}

func (r *Roster) hear(nowUs, heardUs, saidUs int64, row Row) bool {
	e := r.rows[row.ID]
	if e == nil {
		if len(r.rows) >= rowsMost || row.ID == "" {
			return false
		}
		switch r.contest(&row, heardUs) {
		case undecided:
			return false
		case earlier:
			row.Gone, heardUs = true, nowUs
		}
		for _, other := range r.rows {
			if other.Addr == row.Addr && !other.Gone && !row.Gone {
				r.Leave(nowUs, other.ID)
			}
		}
		e = &Entry{Row: row, HeardUs: heardUs, SaidUs: saidUs, seen: row.Seq}
		e.ends(heardUs, row.LeftMs)
		r.rows[row.ID], r.sorted = e, nil
		r.touch(e)
		return true
	}
	if e.Gone {
		return false
	}
	if row.Seq <= e.seen && !row.Gone {
		return false
	}
	e.seen = max(e.seen, row.Seq)
	e.HeardUs, e.SaidUs = max(e.HeardUs, heardUs), max(e.SaidUs, saidUs)
	changed := !e.same(&row)
	if e.Unreachable && nowUs-heardUs < r.UnreachableUs {
		e.Unreachable, changed = false, true
	}
	leftMs, draining, stage := e.LeftMs, e.Draining, e.Stage
	e.Row = row
	e.ends(heardUs, row.LeftMs)
	if row.Stage == "" {
		e.Stage = stage
	}
	if draining && row.Draining && leftMs > 0 && row.LeftMs == 0 {
		e.LeftMs = leftMs
	}
	if changed {
		r.touch(e)
	}
	return changed
}

// Leave notes that an incarnation of a replica has ended; no later word of it counts.
func (r *Roster) Leave(nowUs int64, id string) bool {
	e := r.rows[id]
	if e == nil {
		if len(r.rows) >= rowsMost || id == "" {
			return false
		}
		e = &Entry{Row: Row{ID: id}}
		r.rows[id], r.sorted = e, nil
	}
	if e.Gone {
		return false
	}
	e.Gone, e.HeardUs = true, nowUs
	e.Seq++
	e.seen = e.Seq
	r.touch(e)
	return true
}

// Sweep marks those not heard for too long as unreachable and forgets those long gone.
func (r *Roster) Sweep(nowUs int64) {
	if nowUs-r.sweepUs > r.UnreachableUs/2 && r.sweepUs > 0 {
		for _, e := range r.rows {
			e.HeardUs = min(e.HeardUs+nowUs-r.sweepUs, nowUs)
		}
	}
	r.sweepUs = nowUs
	for id, e := range r.rows {
		switch {
		case nowUs-e.HeardUs > forgetUs:
			if !e.Gone {
				r.Rev++
			}
			delete(r.rows, id)
			r.sorted = nil
		case !e.Gone && !e.Unreachable && nowUs-e.HeardUs > r.UnreachableUs:
			e.Unreachable = true
			r.touch(e)
		}
	}
}

// IDs are all incarnations in order; the list must not be changed.
func (r *Roster) IDs() []string {
	if r.sorted == nil {
		r.sorted = slices.Sorted(maps.Keys(r.rows))
	}
	return r.sorted
}

// Row is the entry of one incarnation; nil where it is not known.
func (r *Roster) Row(id string) *Entry { return r.rows[id] }

// Len is how many incarnations are known, those that have ended among them.
func (r *Roster) Len() int { return len(r.rows) }
