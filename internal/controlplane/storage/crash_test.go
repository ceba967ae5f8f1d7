package storage

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
)

// history lists the change IDs of the log by index; the first has index 1.
type history []string

func (h history) String() string { return strings.Join(h, " ") }

// storeDriver drives a store as a control node does and tracks which histories may be recovered at any moment: the
// acknowledged one, and the same with operations in progress.
type storeDriver struct {
	disk       *powerDisk
	store      *Store
	saved      history
	inProgress []func(history) history
	// snapshots are the histories that snapshots represent. A snapshot's View is its number here, the first being 1.
	snapshots *[]history
	idPrefix  string
}

// allowedHistories lists the histories that may be recovered now.
func (u *storeDriver) allowedHistories() []string {
	all := []history{u.saved}
	for _, try := range u.inProgress {
		for _, h := range slices.Clone(all) {
			all = append(all, try(slices.Clone(h)))
		}
	}
	texts := []string{}
	for _, h := range all {
		texts = append(texts, h.String())
	}
	return texts
}

// retry repeats an operation while the disk refuses it. Its effect on the history may be recovered once it has begun, and must
// be recovered once it has returned.
func (u *storeDriver) retry(effect func(history) history, try func() error) error {
	u.inProgress = append(u.inProgress, effect)
	for range 200 {
		err := try()
		var bad *fault.Fault
		switch {
		case err == nil:
			u.saved = effect(slices.Clone(u.saved))
			u.inProgress = u.inProgress[:len(u.inProgress)-1]
			return nil
		case errors.As(err, &bad):
			return err
		}
	}
	return errors.New("the store still fails after 200 attempts")
}

// unchanged is the effect of an operation that leaves the history as it is.
func unchanged(h history) history { return h }

// write writes count entries as one batch.
func (u *storeDriver) write(fresh bool, count int) (from uint64, err error) {
	records, ids := []chain.Record{}, history{}
	for i := range count {
		index := uint64(len(u.saved) + i + 1)
		r := newEntryRecord(index)
		r.Entry.Change.ID = fmt.Sprint(u.idPrefix, index)
		records, ids = append(records, r), append(ids, r.Entry.Change.ID)
	}
	err = u.retry(func(h history) history { return append(h, ids...) }, func() (err error) {
		from, err = u.store.Write(records, fresh)
		return err
	})
	return from, err
}

func (u *storeDriver) newSnapshot(h history) chain.Snapshot {
	*u.snapshots = append(*u.snapshots, slices.Clone(h))
	return chain.Snapshot{Index: uint64(len(h)), View: uint64(len(*u.snapshots)), State: statemachine.NewState()}
}

// compact saves a snapshot and compacts the log before it. Another batch is written before disk change number interleaveAt of
// the snapshot; 0 writes none.
func (u *storeDriver) compact(interleaveAt int) error {
	c := u.newSnapshot(u.saved)
	from, err := u.write(true, 1)
	if err != nil {
		return err
	}
	outer, changes := u.disk.before, 0
	u.disk.before = func() {
		if outer != nil {
			outer()
		}
		if changes++; changes == interleaveAt {
			inner := u.disk.before
			u.disk.before = outer
			_, err = u.write(false, 2)
			u.disk.before = inner
		}
	}
	kept := u.retry(unchanged, func() error { return u.store.SaveSnapshot(c, from) })
	u.disk.before = outer
	if kept != nil || err != nil {
		return errors.Join(kept, err)
	}
	if _, err := u.write(false, 1); err != nil {
		return err
	}
	return u.retry(unchanged, func() error { return u.store.Compact(from) })
}

// installPeerSnapshot replaces the history, whose last entry differs, by a snapshot of a peer.
func (u *storeDriver) installPeerSnapshot() error {
	peerHistory := append(slices.Clone(u.saved[:len(u.saved)-1]), "peer-1", "peer-2")
	c := u.newSnapshot(peerHistory)
	from, err := u.store.Write(nil, false)
	for range 200 {
		if err == nil {
			break
		}
		from, err = u.store.Write(nil, false)
	}
	if err != nil {
		return err
	}
	return u.retry(func(history) history { return peerHistory }, func() error { return u.store.SaveSnapshot(c, from) })
}

// testSegmentBytes is small enough that a lifecycle uses several segments.
const testSegmentBytes = 250

// open opens the folder and checks that the recovered history is one of want. Once the disk accepts writes, that history counts
// as saved.
func (u *storeDriver) open(want []string) error {
	o, err := openFiles(u.disk, "/data", testOwner)
	if err != nil {
		return err
	}
	recovered, err := u.historyOf(o.Records)
	if err != nil {
		return err
	}
	if !slices.Contains(want, recovered.String()) {
		return fmt.Errorf("recovered history: got %q, want one of %q", recovered, want)
	}
	u.store = o.Store
	u.store.log.maxSegmentBytes = testSegmentBytes
	if o.WriteErr != nil {
		if err := u.retry(unchanged, func() error { _, err := u.store.Write(nil, false); return err }); err != nil {
			return err
		}
	}
	u.saved, u.inProgress = recovered, nil
	return nil
}

// historyOf returns the history that a member recovers from records. The log that remains before a snapshot may start
// anywhere; after the last snapshot no entry may be missing.
func (u *storeDriver) historyOf(records []chain.Record) (history, error) {
	h, gap := history{}, uint64(0)
	for _, r := range records {
		switch {
		case r.Snapshot != nil:
			h, gap = slices.Clone((*u.snapshots)[r.Snapshot.View-1]), 0
		case r.Entry != nil && r.Entry.Index <= uint64(len(h)):
			h = append(h[:r.Entry.Index-1], r.Entry.Change.ID)
		case r.Entry != nil && r.Entry.Index == uint64(len(h))+1:
			h = append(h, r.Entry.Change.ID)
		case r.Entry != nil:
			gap = r.Entry.Index
		}
	}
	if gap > 0 {
		return nil, fmt.Errorf("entry %d follows a history of %d entries", gap, len(h))
	}
	return h, nil
}

// explorer enumerates every disk that may remain after a power loss or kill, and checks what is recovered from each.
type explorer struct {
	snapshots          []history
	seen               map[string]bool
	disksChecked       int
	kills              int
	continuesAfterLoss bool
	// mutationWhileOpening is a mutation of the disk that is active while a store with a log is opened.
	mutationWhileOpening mutation
	violation            string
}

func (x *explorer) fail(format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf(format, args...)
	}
}

// checkReopen checks what a process that only opens the store recovers from a disk.
func (x *explorer) checkReopen(d *powerDisk, want []string, when string) {
	key := fmt.Sprint(d.fingerprint(), want)
	if x.seen[key] || x.violation != "" {
		return
	}
	x.seen[key] = true
	x.disksChecked++
	u := &storeDriver{disk: d.withAllDurable(), snapshots: &x.snapshots}
	if err := u.open(want); err != nil {
		x.fail("%s: %v", when, err)
	}
}

// checkContinue runs another process on a disk: it opens the store, writes, and compacts. Power is lost before each of its disk
// changes, including those made while it opens.
func (x *explorer) checkContinue(d *powerDisk, want []string, when string) {
	key := fmt.Sprint("on", d.fingerprint(), len(d.pending), want)
	if x.seen[key] || x.violation != "" {
		return
	}
	x.seen[key] = true
	u := &storeDriver{disk: d, snapshots: &x.snapshots, idPrefix: "second-"}
	allowed := func() []string { return want }
	d.before = func() {
		if x.violation != "" {
			return
		}
		for _, remaining := range d.afterPowerLoss() {
			x.checkReopen(remaining, allowed(), when+", then power lost before change "+fmt.Sprint(d.changes))
		}
	}
	if d.hasLog() {
		d.mutation = x.mutationWhileOpening
	}
	if err := u.open(want); err != nil {
		x.fail("%s: %v", when, err)
		return
	}
	d.mutation = noMutation
	allowed = u.allowedHistories
	d.before()
	for _, step := range []func() error{
		func() error { _, err := u.write(false, 1); return err },
		func() error { return u.compact(0) },
	} {
		if err := step(); err != nil {
			x.fail("%s, continuing: %v", when, err)
		}
	}
	d.before()
}

// runLifecycle runs a store through every operation that changes the disk.
func (x *explorer) runLifecycle(u *storeDriver, interleaving [2]int) error {
	write := func(count int) func() error {
		return func() error { _, err := u.write(false, count); return err }
	}
	for _, step := range []func() error{
		func() error { return u.open([]string{""}) },
		write(1), write(2), write(1), write(3),
		func() error { return u.compact(interleaving[0]) },
		write(2), write(1), u.installPeerSnapshot, write(1), write(2),
		func() error { return u.compact(interleaving[1]) },
		write(1),
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// explore runs a lifecycle on a disk, checks every disk that may remain before each change, and returns the number of changes.
func (x *explorer) explore(d *powerDisk, interleaving [2]int) (changes int) {
	x.seen = map[string]bool{}
	u := &storeDriver{disk: d, snapshots: &x.snapshots, idPrefix: "first-"}
	d.before = func() {
		if x.violation != "" {
			return
		}
		when := fmt.Sprint("before change ", d.changes)
		for _, remaining := range d.afterPowerLoss() {
			x.checkReopen(remaining, u.allowedHistories(), when+" power lost")
			if x.continuesAfterLoss {
				x.checkContinue(remaining.withAllDurable(), u.allowedHistories(), when+" power lost")
			}
		}
		if x.continuesAfterLoss {
			x.kills++
			x.checkContinue(d.clone(), u.allowedHistories(), when+" killed")
		}
	}
	if err := x.runLifecycle(u, interleaving); err != nil {
		x.fail("%v", err)
	}
	d.before()
	return d.changes
}

// Before every disk change that a store makes, power is lost, or the process is killed and its successor loses power. Each
// unsynced name and write is independently kept or lost. Everything that was acknowledged must be recovered, in order and
// once, and beyond it at most the operations in progress.
func TestPowerLossAtEveryStep(t *testing.T) {
	interleavings := [][2]int{{0, 0}, {1, 2}, {2, 3}, {3, 4}, {4, 5}, {5, 1}}
	if raceEnabled {
		interleavings = interleavings[:1]
	}
	for _, interleaving := range interleavings {
		t.Run(fmt.Sprint(interleaving), func(t *testing.T) {
			t.Parallel()
			x := &explorer{continuesAfterLoss: true}
			changes := x.explore(newPowerDisk(), interleaving)
			if x.violation != "" {
				t.Fatal(x.violation)
			}
			if changes < 60 || x.disksChecked < 500 {
				t.Fatalf("got %d disk changes and %d disks checked, want at least 60 and 500", changes, x.disksChecked)
			}
			t.Logf("%d disk changes, %d kills, %d disks checked after a power loss", changes, x.kills, x.disksChecked)
		})
	}
}

// The check of TestPowerLossAtEveryStep, without kills, on a disk that is full for 1, 4 or 40 refusals from each change on.
func TestPowerLossWhileDiskIsFull(t *testing.T) {
	baseline := &explorer{}
	changes := baseline.explore(newPowerDisk(), [2]int{})
	if baseline.violation != "" {
		t.Fatal(baseline.violation)
	}
	losses := 0
	for _, span := range []int{1, 4, 40} {
		for from := 1; from <= changes; from++ {
			d, x := newPowerDisk(), &explorer{}
			d.fullFrom, d.fullSpan = from, span
			if x.explore(d, [2]int{}); x.violation != "" {
				t.Fatalf("disk full from change %d on for %d refusals: %s", from, span, x.violation)
			}
			losses += x.disksChecked
		}
	}
	t.Logf("%d changes, each the first that a full disk refuses, for 1, 4 and 40 refusals; %d disks checked after a power loss",
		changes, losses)
}

// The check must detect each mutation: of the disk, of the syncs that a store makes when it opens, and of the order of
// operations, where the log is compacted before the snapshot is saved.
func TestPowerLossCheckCanFail(t *testing.T) {
	for _, defect := range []mutation{skipDirSync, skipSnapshotSync, skipLogSync} {
		d, x := newPowerDisk(), &explorer{}
		d.mutation = defect
		x.explore(d, [2]int{})
		if x.violation == "" {
			t.Errorf("mutation %q: got no violation, want one", defect)
		}
		t.Log(defect, ": ", x.violation)
	}
	for _, defect := range []mutation{skipDirSync, skipLogSync} {
		x := &explorer{continuesAfterLoss: true, mutationWhileOpening: defect}
		x.explore(newPowerDisk(), [2]int{})
		if x.violation == "" {
			t.Errorf("mutation %q while a store opens: got no violation, want one", defect)
		}
		t.Log("while a store opens ", defect, ": ", x.violation)
	}
	d, x := newPowerDisk(), &explorer{seen: map[string]bool{}}
	u := &storeDriver{disk: d, snapshots: &x.snapshots, idPrefix: "first-"}
	d.before = func() {
		for _, remaining := range d.afterPowerLoss() {
			x.checkReopen(remaining, u.allowedHistories(), fmt.Sprint("before change ", d.changes))
		}
	}
	if err := x.compactBeforeSnapshot(u); err != nil {
		x.fail("%v", err)
	}
	if x.violation == "" {
		t.Error("log compacted before its snapshot is saved: got no violation, want one")
	}
	t.Log("log compacted before its snapshot is saved: ", x.violation)
}

// compactBeforeSnapshot is a mutation of the order of operations: the log is compacted before the snapshot is saved.
func (x *explorer) compactBeforeSnapshot(u *storeDriver) error {
	if err := u.open([]string{""}); err != nil {
		return err
	}
	if _, err := u.write(false, 3); err != nil {
		return err
	}
	c := u.newSnapshot(u.saved)
	from, err := u.write(true, 1)
	if err != nil {
		return err
	}
	if err := u.retry(unchanged, func() error { return u.store.Compact(from) }); err != nil {
		return err
	}
	return u.retry(unchanged, func() error { return u.store.SaveSnapshot(c, from) })
}

// Records read from a disk that refuses every sync are not reported as saved until a sync succeeds.
func TestWriteErrorOfOpenIsReported(t *testing.T) {
	d, snapshots := newPowerDisk(), []history{}
	u := &storeDriver{disk: d, snapshots: &snapshots, idPrefix: "first-"}
	if err := u.open([]string{""}); err != nil {
		t.Fatal(err)
	}
	if _, err := u.write(false, 1); err != nil {
		t.Fatal(err)
	}
	killed := d.clone()
	killed.fullFrom, killed.fullSpan = 1, 3
	o, err := openFiles(killed, "/data", testOwner)
	if err != nil || o.WriteErr == nil {
		t.Fatalf("open on a full disk: got %+v, error %v; want a result with WriteErr", o, err)
	}
	for range 2 {
		if _, err := o.Store.Write(nil, false); err == nil {
			t.Fatal("Write on a full disk: got no error, want one")
		}
	}
	if _, err := o.Store.Write(nil, false); err != nil {
		t.Fatal(err)
	}
}
