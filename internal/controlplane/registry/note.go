package registry

import (
	"petreltide/internal/process/clock"
)

// Note is what one control node tells another of a replica: the whole row where it may be news, else only
// that it was heard, and a checksum of what it said.
type Note struct {
	ID       string `json:"id"`
	Seq      uint64 `json:"seq"`
	Checksum uint32 `json:"mark"`
	AgoMs    int64  `json:"agoMs"`
	// SaidMs ago is since when what it says surely holds: a word may have lain unread.
	SaidMs int64 `json:"saidMs"`
	Row    *Row  `json:"row,omitempty"`
}

// Merge takes another control node's notes. Where one tells of a row that this control node does not have as new,
// it asks for all rows. Ends come first, as another incarnation may have its address by now.
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
		if e == nil || (!e.Gone && n.Seq > e.seen && n.Checksum != e.checksum) {
			r.want = true
			continue
		}
		if !e.Gone && n.Seq > e.seen {
			e.seen = n.Seq
			e.HeardUs, e.SaidUs = max(e.HeardUs, heardUs), max(e.SaidUs, saidUs)
			if e.Unreachable && nowUs-heardUs < r.UnreachableUs {
				e.Unreachable, changed = false, true
				r.touch(e)
			}
		}
	}
	return changed
}

// Wants is true once after a note told of something this control node has missed.
func (r *Roster) Wants() bool {
	w := r.want
	r.want = false
	return w
}

// Notes are for other control nodes that have had everything up to a revision of this roster, or who ask for all
// with 0: rows that changed, and a sign of life of those that this control node itself heard since it last told.
// What has ended is told for some seconds: no later word would show that it was missed.
func (r *Roster) Notes(nowUs int64, since uint64, alive bool) []Note {
	notes := []Note{}
	for _, id := range r.IDs() {
		e := r.rows[id]
		news := e.Rev > since || (alive && e.Gone && nowUs-e.HeardUs < goneUs)
		if !news && (!alive || e.Gone || e.Unreachable || e.directUs <= e.toldUs) {
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
	return Note{ID: e.ID, Seq: e.seen, Checksum: e.checksum, AgoMs: (nowUs - e.HeardUs) / 1000, SaidMs: (nowUs - e.SaidUs) / 1000}
}

// told is the row as other control nodes are told it.
func (e *Entry) told() *Row {
	row := e.Row
	row.Seq = e.seen
	if e.EndUs > 0 && row.LeftMs > 0 {
		row.LeftMs = max(1, (e.EndUs-e.HeardUs)/clock.Ms)
	}
	return &row
}

// Told ends one telling of signs of life to all other control nodes.
func (r *Roster) Told(nowUs int64) {
	for _, e := range r.rows {
		e.toldUs = nowUs
	}
}
