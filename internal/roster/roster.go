package roster

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"

	"petreltide/internal/clock"
)

const (
	rowsMost = 20_000
	forgetUs = 60 * clock.Sec
	goneUs   = 10 * clock.Sec
)

// Row is what a replica says of itself. ID names one life of it; Seq rises with each thing it says.
// Units are the models it holds, and their adapters as "model/adapter", in order.
type Row struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	Addr     string   `json:"addr"`
	Zone     string   `json:"zone,omitempty"`
	Release  string   `json:"release,omitempty"`
	Slots    int      `json:"slots,omitempty"`
	Draining bool     `json:"draining,omitempty"`
	LeftMs   int64    `json:"leftMs,omitempty"`
	ColdMs   int64    `json:"coldMs,omitempty"`
	Units    []string `json:"units,omitempty"`
	Seq      uint64   `json:"seq"`
	Gone     bool     `json:"gone,omitempty"`
	// Stage is what it says that it does; only who heard it itself knows, as nothing hangs on it.
	Stage string `json:"-"`
}

func (r *Row) same(o *Row) bool {
	return r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Release == o.Release && r.Slots == o.Slots &&
		r.Draining == o.Draining && (r.LeftMs > 0) == (o.LeftMs > 0) && (r.ColdMs > 0) == (o.ColdMs > 0) && r.Gone == o.Gone && slices.Equal(r.Units, o.Units)
}

func (r *Row) Holds(unit string) bool {
	_, ok := slices.BinarySearch(r.Units, unit)
	return ok
}

// mark tells rows apart that are not the same.
func (r *Row) mark() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %q %q %q %d %t %t %t %t %q", r.Service, r.Addr, r.Zone, r.Release, r.Slots, r.Draining, r.LeftMs > 0, r.ColdMs > 0, r.Gone, r.Units)
	return h.Sum32()
}

// Note is what one office tells another of a replica: the whole row where it may be news, else only
// that it was heard, and a mark of what it said.
type Note struct {
	ID    string `json:"id"`
	Seq   uint64 `json:"seq"`
	Mark  uint32 `json:"mark"`
	AgoMs int64  `json:"agoMs"`
	// SaidMs ago is since when what it says surely holds: a word may have lain unread.
	SaidMs int64 `json:"saidMs"`
	Row    *Row  `json:"row,omitempty"`
}

// Entry is a replica's latest word. SaidUs is the latest time at which it surely still said so.
type Entry struct {
	Row
	toldUs   int64
	directUs int64
	HeardUs  int64
	SaidUs   int64
	// EndUs is when it said that its time is up; 0 where it named none.
	EndUs int64
	Rev   uint64
	Dark  bool
	seen  uint64
	mark  uint32
}

// Roster is one office's soft state of all replicas: heard from them directly or from other offices.
// It is never written to disk; who is heard last, by Seq, is right.
type Roster struct {
	Rev    uint64
	DarkUs int64
	// LateUs is how long what is read now may have lain unread: an office that wakes from a freeze finds
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

func New(darkUs int64) *Roster { return &Roster{DarkUs: darkUs, rows: map[string]*Entry{}} }

func (r *Roster) touch(e *Entry) {
	e.mark = e.Row.mark()
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
	if e.Dark && nowUs-heardUs < r.DarkUs {
		e.Dark, changed = false, true
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

// order is how a life that was never heard of stands to the one at its address.
type order int

const (
	// later: nobody else speaks from its address, or has not for a while.
	later order = iota
	// earlier: the one that is known was heard well after it.
	earlier
	// undecided: both were heard at about the same time. A word may come seconds late, also one of the life
	// before, so that the one that goes on speaking is right; the other falls silent.
	undecided
)

// contestShare is the part of DarkUs, in tenths, within which two lives were heard at about the same time: one
// and a half heartbeats where a life is dark after two and a half.
const contestShare = 6

func (r *Roster) contest(row *Row, heardUs int64) order {
	withinUs := r.DarkUs * contestShare / 10
	result := later
	for _, other := range r.rows {
		switch {
		case other.Addr != row.Addr || other.Gone:
		case heardUs < other.HeardUs-withinUs:
			result = earlier
		case heardUs < other.HeardUs+withinUs:
			return undecided
		}
	}
	return result
}

// ends notes when a replica that named its time left is taken away.
func (e *Entry) ends(heardUs, leftMs int64) {
	if leftMs > 0 {
		e.EndUs = heardUs + leftMs*clock.Ms
	}
}

// Leave notes that a life of a replica has ended; no later word of it counts.
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

// Merge takes another office's notes. Where one tells of a row that this office does not have as new,
// it asks for all rows. Ends come first, as another life may have its address by now.
func (r *Roster) Merge(nowUs int64, notes []Note) (changed bool) {
	for _, n := range notes {
		if n.Row != nil && n.Row.Gone {
			changed = r.Leave(nowUs, n.ID) || changed
		}
	}
	for _, n := range notes {
		heardUs, saidUs := nowUs-n.AgoMs*1000, nowUs-r.LateUs-n.SaidMs*1000
		if n.Row != nil {
			if n.Row.Gone {
				continue
			}
			changed = r.hear(nowUs, heardUs, saidUs, *n.Row) || changed
			continue
		}
		e := r.rows[n.ID]
		if e == nil || (!e.Gone && n.Seq > e.seen && n.Mark != e.mark) {
			r.want = true
			continue
		}
		if !e.Gone && n.Seq > e.seen {
			e.seen = n.Seq
			e.HeardUs, e.SaidUs = max(e.HeardUs, heardUs), max(e.SaidUs, saidUs)
			if e.Dark && nowUs-heardUs < r.DarkUs {
				e.Dark, changed = false, true
				r.touch(e)
			}
		}
	}
	return changed
}

// Wants is true once after a note told of something this office has missed.
func (r *Roster) Wants() bool {
	w := r.want
	r.want = false
	return w
}

// Notes are for other offices that have had everything up to a revision of this roster, or who ask for all
// with 0: rows that changed, and a sign of life of those that this office itself heard since it last told.
// What has ended is told for some seconds: no later word would show that it was missed.
func (r *Roster) Notes(nowUs int64, since uint64, alive bool) []Note {
	notes := []Note{}
	for _, id := range r.IDs() {
		e := r.rows[id]
		news := e.Rev > since || (alive && e.Gone && nowUs-e.HeardUs < goneUs)
		if !news && (!alive || e.Gone || e.Dark || e.directUs <= e.toldUs) {
			continue
		}
		n := e.note(nowUs)
		if news {
			n.Row = e.told()
		}
		notes = append(notes, n)
	}
	return notes
}

// NotesOf is the whole row of one replica, if it is known.
func (r *Roster) NotesOf(nowUs int64, id string) []Note {
	e := r.rows[id]
	if e == nil {
		return nil
	}
	n := e.note(nowUs)
	n.Row = e.told()
	return []Note{n}
}

func (e *Entry) note(nowUs int64) Note {
	return Note{ID: e.ID, Seq: e.seen, Mark: e.mark, AgoMs: (nowUs - e.HeardUs) / 1000, SaidMs: (nowUs - e.SaidUs) / 1000}
}

// told is the row as other offices are told it.
func (e *Entry) told() *Row {
	row := e.Row
	row.Seq = e.seen
	if e.EndUs > 0 && row.LeftMs > 0 {
		row.LeftMs = max(1, (e.EndUs-e.HeardUs)/clock.Ms)
	}
	return &row
}

// Told ends one telling of signs of life to all other offices.
func (r *Roster) Told(nowUs int64) {
	for _, e := range r.rows {
		e.toldUs = nowUs
	}
}

// Sweep marks those not heard for too long as dark and forgets those long gone.
func (r *Roster) Sweep(nowUs int64) {
	if nowUs-r.sweepUs > r.DarkUs/2 && r.sweepUs > 0 {
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
		case !e.Gone && !e.Dark && nowUs-e.HeardUs > r.DarkUs:
			e.Dark = true
			r.touch(e)
		}
	}
}

// IDs are all lives in order; the list must not be changed.
func (r *Roster) IDs() []string {
	if r.sorted == nil {
		r.sorted = slices.Sorted(maps.Keys(r.rows))
	}
	return r.sorted
}

func (r *Roster) Row(id string) *Entry { return r.rows[id] }

func (r *Roster) Len() int { return len(r.rows) }
