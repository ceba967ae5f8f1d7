package simulator

import (
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controlnode"
)

const retryUs = 250 * millisecond

// disk is what a control node has written. A full one refuses.
type disk struct {
	full               bool
	refused            int
	identity           string
	records            []chain.Record
	discardedTo        uint64
	stallUs            int64
	slowUs             int64
	snapshotInProgress *snapshotWrite
}

// snapshotWrite is a save with a copy that is on its way to the disk, and how far it has come.
type snapshotWrite struct {
	save chain.Persist
	step snapshotStep
}

// snapshotStep is what a save with a copy has done to the disk. A name that was made or removed may be lost with the
// power until the next step has synced its folder.
type snapshotStep int

const (
	nothingWritten snapshotStep = iota
	recordsSynced
	copyRenamed
	copySynced
	logForgotten
	copySteps
)

// fileNames are which of a disk's changes of names outlast a loss of power, each by itself.
type fileNames struct{ renamed, removed bool }

// namesOf draws them from a number; 0 is a kill, at which all stay.
func namesOf(torn int) fileNames {
	return fileNames{torn == 0 || torn&1 != 0, torn == 0 || torn&2 != 0}
}

// stop leaves on the disk what the end of the process does of a copy under way.
func (d *disk) stop(torn int) {
	k, kept := d.snapshotInProgress, namesOf(torn)
	d.snapshotInProgress = nil
	if k.step == nothingWritten {
		d.write(k.save.Records[:min(torn, len(k.save.Records))], false)
		return
	}
	copied := k.step >= copySynced || k.step == copyRenamed && kept.renamed
	forgotten := k.save.Compact && k.step == logForgotten && kept.removed
	records := k.save.Records
	if copied {
		records = recordsOf(k.save)
	}
	d.write(records, forgotten)
}

// fill takes all room from a disk for a while. An empty machine that takes its place has a disk of its own.
func (d *disk) fill(s *DeclaredDay, forUs int64) {
	identity := d.identity
	d.full = true
	s.schedule(s.nowUs+forUs, func() {
		if d.identity == identity {
			d.full = false
		}
	})
}

func (d *disk) write(records []chain.Record, fresh bool) {
	if fresh {
		d.records = nil
	}
	d.records = append(d.records, clone(records)...)
	for _, r := range records {
		switch {
		case r.Snapshot != nil:
			d.discardedTo = r.Snapshot.Index
		case r.Entry != nil:
			d.discardedTo = r.Entry.Index
		}
	}
}

// recordsOf is what a save leaves on the disk; a copy stands before what came with it.
func recordsOf(s chain.Persist) []chain.Record {
	if s.Snapshot == nil {
		return s.Records
	}
	return append([]chain.Record{{Snapshot: s.Snapshot}}, s.Records...)
}

// saver does with a control node's saves what its host does: in order, one at a time, and again until the disk
// takes it.
type saver struct {
	on      *machine
	disk    *disk
	step    func(controlnode.Event)
	end     func()
	pending []chain.Persist
	writing bool
	// kept, where it is set, is told how far a copy under way has come.
	kept func(step snapshotStep)
}

func (w *saver) enqueue(save chain.Persist) {
	w.pending = append(w.pending, save)
	w.write()
}

func (w *saver) write() {
	s := w.on.sim
	if w.writing || len(w.pending) == 0 {
		return
	}
	w.writing = true
	save, boot := w.pending[0], w.on.boot
	doneUs := max(s.nowUs+300+s.random.Int63n(1500)+w.disk.slowUs, w.disk.stallUs)
	if save.Snapshot != nil {
		w.writeSnapshot(save, doneUs)
	}
	var try func()
	try = func() {
		if !w.on.up || w.on.boot != boot {
			return
		}
		if w.disk.full && s.plan.Plant != "rash-disk" {
			w.refuse(save.Seq, try)
			return
		}
		if !w.disk.full {
			w.disk.write(recordsOf(save), save.Compact)
		}
		w.disk.snapshotInProgress = nil
		w.pending, w.writing = w.pending[1:], false
		w.write()
		w.on.deliver(boot, func() { w.step(controlnode.Persisted{Seq: save.Seq}) })
	}
	s.schedule(doneUs, try)
}

// writeSnapshot takes a copy through its steps until the whole save is done.
func (w *saver) writeSnapshot(save chain.Persist, doneUs int64) {
	s, boot := w.on.sim, w.on.boot
	k := &snapshotWrite{save: save}
	w.disk.snapshotInProgress = k
	for step := recordsSynced; step < copySteps; step++ {
		s.schedule(s.nowUs+(doneUs-s.nowUs)*int64(step)/int64(copySteps), func() {
			if !w.on.up || w.on.boot != boot || w.disk.full {
				return
			}
			k.step = step
			if w.kept != nil {
				w.kept(step)
			}
		})
	}
}

func (w *saver) refuse(seq uint64, again func()) {
	s := w.on.sim
	w.disk.refused++
	if s.plan.Plant == "frail-office" {
		w.end()
		return
	}
	w.on.deliver(w.on.boot, func() { w.step(controlnode.PersistFailed{Seq: seq}) })
	if s.plan.Plant != "one-try" {
		s.schedule(s.nowUs+retryUs, again)
	}
}

// torn leaves the first records that wait on the disk, as a loss of power may, or the names that a copy under way
// has changed.
func (w *saver) torn(records int) {
	if w.disk.snapshotInProgress != nil {
		w.disk.stop(records)
		return
	}
	for _, p := range w.pending {
		if records <= 0 {
			return
		}
		all := recordsOf(p)
		n := min(records, len(all))
		w.disk.write(all[:n], false)
		records -= n
	}
}
