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

// history names the change at each index, the first at 1.
type history []string

func (h history) String() string { return strings.Join(h, " ") }

// user drives a store as a control node does, and knows which histories may come back at any moment: the one that it
// was told is saved, and the same with what is under way.
type storeDriver struct {
	disk       *powerDisk
	store      *Store
	saved      history
	inProgress []func(history) history
	// copies are the histories that copies stand for, by the view in which they are marked.
	snapshots *[]history
	idPrefix  string
}

// allowed lists the histories that may come back now.
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

// attempt does one thing as often as the disk refuses it. What it does to the history may come back from its
// beginning on, and must from its end on.
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
	return errors.New("the disk takes bytes again, and the store does not")
}

func unchanged(h history) history { return h }

// write adds so many entries as one save.
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

// compact begins the log anew on a copy, while another save is written between two changes of the disk that
// keeping the copy takes.
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

// adopt takes a peer's copy in the place of a history that ends otherwise.
func (u *storeDriver) installPeerSnapshot() error {
	peerHistory := append(slices.Clone(u.saved[:len(u.saved)-1]), "partner's", "partner's too")
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

const testSegmentBytes = 250

// enter opens the folder. Once it is open and the disk takes bytes, what was found counts as saved.
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
		return fmt.Errorf("found %q, want one of %q", recovered, want)
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

// told is the history that records tell to a member that starts from them. What of the log is still there before a
// copy may begin anywhere; behind the last copy nothing is missing.
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
		return nil, fmt.Errorf("entry %d behind a history of %d", gap, len(h))
	}
	return h, nil
}

// explorer goes through every disk that may be left, and checks what each gives back.
type explorer struct {
	copies             []history
	seen               map[string]bool
	disksChecked       int
	kills              int
	continuesAfterLoss bool
	// mutationWhileOpening plants a lie in the disk as long as a store with a log is opened.
	mutationWhileOpening mutation
	violation            string
}

func (x *explorer) fail(format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf(format, args...)
	}
}

// reopened checks what a disk gives back to a process that only opens it.
func (x *explorer) checkReopen(d *powerDisk, want []string, when string) {
	key := fmt.Sprint(d.fingerprint(), want)
	if x.seen[key] || x.violation != "" {
		return
	}
	x.seen[key] = true
	x.disksChecked++
	u := &storeDriver{disk: d.withAllDurable(), snapshots: &x.copies}
	if err := u.open(want); err != nil {
		x.fail("%s: %v", when, err)
	}
}

// continued starts another process on a disk, lets it write, compact and forget, and takes its power before each
// change: also while it opens.
func (x *explorer) checkContinue(d *powerDisk, want []string, when string) {
	key := fmt.Sprint("on", d.fingerprint(), len(d.pending), want)
	if x.seen[key] || x.violation != "" {
		return
	}
	x.seen[key] = true
	u := &storeDriver{disk: d, snapshots: &x.copies, idPrefix: "second-"}
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
			x.fail("%s, going on: %v", when, err)
		}
	}
	d.before()
}

// life is a store's whole life, with every way in which it changes the disk.
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

// explore lives a life on a disk and looks at all that each moment may leave.
func (x *explorer) explore(d *powerDisk, interleaving [2]int) (changes int) {
	x.seen = map[string]bool{}
	u := &storeDriver{disk: d, snapshots: &x.copies, idPrefix: "first-"}
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

// Power is lost, or the process killed and its successor's power lost, before every change of the disk that a
// store makes; every name and every write that no sync covered is kept or lost by itself. All that was reported
// as saved comes back, in order and once, and at most what was under way besides.
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
				t.Fatalf("%d changes, %d disks: too few to prove anything", changes, x.disksChecked)
			}
			t.Logf("%d changes of the disk, %d kills, %d disks left by a loss of power", changes, x.kills, x.disksChecked)
		})
	}
}

// The same while the disk is full for a while, from every change on.
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
				t.Fatalf("full from change %d on, %d times: %s", from, span, x.violation)
			}
			losses += x.disksChecked
		}
	}
	t.Logf("%d changes, each the first that a full disk refuses, 1, 4 and 40 times: %d disks left by a loss of power", changes, losses)
}

// Each defect must be seen: of the disk, of a store that does not make sure of what it finds, and of a user that
// forgets the log before the copy is kept.
func TestPowerLossCheckCanFail(t *testing.T) {
	for _, planted := range []mutation{skipDirSync, skipSnapshotSync, skipLogSync} {
		d, x := newPowerDisk(), &explorer{}
		d.mutation = planted
		x.explore(d, [2]int{})
		if x.violation == "" {
			t.Errorf("%s: not seen", planted)
		}
		t.Log(planted, ": ", x.violation)
	}
	for _, planted := range []mutation{skipDirSync, skipLogSync} {
		x := &explorer{continuesAfterLoss: true, mutationWhileOpening: planted}
		x.explore(newPowerDisk(), [2]int{})
		if x.violation == "" {
			t.Errorf("while a store opens %s: not seen", planted)
		}
		t.Log("while a store opens ", planted, ": ", x.violation)
	}
	d, x := newPowerDisk(), &explorer{seen: map[string]bool{}}
	u := &storeDriver{disk: d, snapshots: &x.copies, idPrefix: "first-"}
	d.before = func() {
		for _, remaining := range d.afterPowerLoss() {
			x.checkReopen(remaining, u.allowedHistories(), fmt.Sprint("before change ", d.changes))
		}
	}
	if err := x.compactBeforeSnapshot(u); err != nil {
		x.fail("%v", err)
	}
	if x.violation == "" {
		t.Error("a log that is forgotten before its copy is kept: not seen")
	}
	t.Log("forgotten first: ", x.violation)
}

// compactBeforeSnapshot is the planted order: the log goes before its copy is kept.
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

// What a disk gives back while it refuses every sync does not count as saved until it takes one.
func TestWriteErrorOfOpenIsReported(t *testing.T) {
	d, copies := newPowerDisk(), []history{}
	u := &storeDriver{disk: d, snapshots: &copies, idPrefix: "first-"}
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
		t.Fatal(o, err)
	}
	for range 2 {
		if _, err := o.Store.Write(nil, false); err == nil {
			t.Fatal("it is said to be saved while the disk refuses")
		}
	}
	if _, err := o.Store.Write(nil, false); err != nil {
		t.Fatal(err)
	}
}
