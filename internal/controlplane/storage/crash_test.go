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
type user struct {
	disk   *powerDisk
	store  *Store
	saved  history
	trying []func(history) history
	// copies are the histories that copies stand for, by the view in which they are marked.
	copies *[]history
	writer string
}

// allowed lists the histories that may come back now.
func (u *user) allowed() []string {
	all := []history{u.saved}
	for _, try := range u.trying {
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
func (u *user) attempt(then func(history) history, try func() error) error {
	u.trying = append(u.trying, then)
	for range 200 {
		err := try()
		var bad *fault.Fault
		switch {
		case err == nil:
			u.saved = then(slices.Clone(u.saved))
			u.trying = u.trying[:len(u.trying)-1]
			return nil
		case errors.As(err, &bad):
			return err
		}
	}
	return errors.New("the disk takes bytes again, and the store does not")
}

func unchanged(h history) history { return h }

// write adds so many entries as one save.
func (u *user) write(fresh bool, count int) (from uint64, err error) {
	records, ids := []chain.Record{}, history{}
	for i := range count {
		index := uint64(len(u.saved) + i + 1)
		r := entry(index)
		r.Entry.Change.ID = fmt.Sprint(u.writer, index)
		records, ids = append(records, r), append(ids, r.Entry.Change.ID)
	}
	err = u.attempt(func(h history) history { return append(h, ids...) }, func() (err error) {
		from, err = u.store.Write(records, fresh)
		return err
	})
	return from, err
}

func (u *user) copyOf(h history) chain.Snapshot {
	*u.copies = append(*u.copies, slices.Clone(h))
	return chain.Snapshot{Index: uint64(len(h)), View: uint64(len(*u.copies)), State: statemachine.NewState()}
}

// compact begins the log anew on a copy, while another save is written between two changes of the disk that
// keeping the copy takes.
func (u *user) compact(between int) error {
	c := u.copyOf(u.saved)
	from, err := u.write(true, 1)
	if err != nil {
		return err
	}
	outer, changes := u.disk.before, 0
	u.disk.before = func() {
		if outer != nil {
			outer()
		}
		if changes++; changes == between {
			inner := u.disk.before
			u.disk.before = outer
			_, err = u.write(false, 2)
			u.disk.before = inner
		}
	}
	kept := u.attempt(unchanged, func() error { return u.store.SaveSnapshot(c, from) })
	u.disk.before = outer
	if kept != nil || err != nil {
		return errors.Join(kept, err)
	}
	if _, err := u.write(false, 1); err != nil {
		return err
	}
	return u.attempt(unchanged, func() error { return u.store.Compact(from) })
}

// adopt takes a peer's copy in the place of a history that ends otherwise.
func (u *user) adopt() error {
	theirs := append(slices.Clone(u.saved[:len(u.saved)-1]), "partner's", "partner's too")
	c := u.copyOf(theirs)
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
	return u.attempt(func(history) history { return theirs }, func() error { return u.store.SaveSnapshot(c, from) })
}

const smallSegment = 250

// enter opens the folder. Once it is open and the disk takes bytes, what was found counts as saved.
func (u *user) enter(want []string) error {
	o, err := openFiles(u.disk, "/data", mine)
	if err != nil {
		return err
	}
	found, err := u.told(o.Records)
	if err != nil {
		return err
	}
	if !slices.Contains(want, found.String()) {
		return fmt.Errorf("found %q, want one of %q", found, want)
	}
	u.store = o.Store
	u.store.log.maxSegmentBytes = smallSegment
	if o.WriteErr != nil {
		if err := u.attempt(unchanged, func() error { _, err := u.store.Write(nil, false); return err }); err != nil {
			return err
		}
	}
	u.saved, u.trying = found, nil
	return nil
}

// told is the history that records tell to a member that starts from them. What of the log is still there before a
// copy may begin anywhere; behind the last copy nothing is missing.
func (u *user) told(records []chain.Record) (history, error) {
	h, gap := history{}, uint64(0)
	for _, r := range records {
		switch {
		case r.Snapshot != nil:
			h, gap = slices.Clone((*u.copies)[r.Snapshot.View-1]), 0
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
	copies []history
	seen   map[string]bool
	losses int
	kills  int
	deep   bool
	// whileOpening plants a lie in the disk as long as a store with a log is opened.
	whileOpening lie
	wrong        string
}

func (x *explorer) fail(format string, args ...any) {
	if x.wrong == "" {
		x.wrong = fmt.Sprintf(format, args...)
	}
}

// reopened checks what a disk gives back to a process that only opens it.
func (x *explorer) reopened(d *powerDisk, want []string, when string) {
	key := fmt.Sprint(d.mark(), want)
	if x.seen[key] || x.wrong != "" {
		return
	}
	x.seen[key] = true
	x.losses++
	u := &user{disk: d.settled(), copies: &x.copies}
	if err := u.enter(want); err != nil {
		x.fail("%s: %v", when, err)
	}
}

// continued starts another process on a disk, lets it write, compact and forget, and takes its power before each
// change: also while it opens.
func (x *explorer) continued(d *powerDisk, want []string, when string) {
	key := fmt.Sprint("on", d.mark(), len(d.pending), want)
	if x.seen[key] || x.wrong != "" {
		return
	}
	x.seen[key] = true
	u := &user{disk: d, copies: &x.copies, writer: "second-"}
	allowed := func() []string { return want }
	d.before = func() {
		if x.wrong != "" {
			return
		}
		for _, left := range d.afterPowerLoss() {
			x.reopened(left, allowed(), when+", then power lost before change "+fmt.Sprint(d.changes))
		}
	}
	if d.holdsLog() {
		d.lie = x.whileOpening
	}
	if err := u.enter(want); err != nil {
		x.fail("%s: %v", when, err)
		return
	}
	d.lie = noLie
	allowed = u.allowed
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
func (x *explorer) life(u *user, betweens [2]int) error {
	write := func(count int) func() error {
		return func() error { _, err := u.write(false, count); return err }
	}
	for _, step := range []func() error{
		func() error { return u.enter([]string{""}) },
		write(1), write(2), write(1), write(3),
		func() error { return u.compact(betweens[0]) },
		write(2), write(1), u.adopt, write(1), write(2),
		func() error { return u.compact(betweens[1]) },
		write(1),
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// explore lives a life on a disk and looks at all that each moment may leave.
func (x *explorer) explore(d *powerDisk, betweens [2]int) (changes int) {
	x.seen = map[string]bool{}
	u := &user{disk: d, copies: &x.copies, writer: "first-"}
	d.before = func() {
		if x.wrong != "" {
			return
		}
		when := fmt.Sprint("before change ", d.changes)
		for _, left := range d.afterPowerLoss() {
			x.reopened(left, u.allowed(), when+" power lost")
			if x.deep {
				x.continued(left.settled(), u.allowed(), when+" power lost")
			}
		}
		if x.deep {
			x.kills++
			x.continued(d.copied(), u.allowed(), when+" killed")
		}
	}
	if err := x.life(u, betweens); err != nil {
		x.fail("%v", err)
	}
	d.before()
	return d.changes
}

// Power is lost, or the process killed and its successor's power lost, before every change of the disk that a
// store makes; every name and every write that no sync covered is kept or lost by itself. All that was reported
// as saved comes back, in order and once, and at most what was under way besides.
func TestPowerLossAtEveryStep(t *testing.T) {
	betweens := [][2]int{{0, 0}, {1, 2}, {2, 3}, {3, 4}, {4, 5}, {5, 1}}
	if raced {
		betweens = betweens[:1]
	}
	for _, between := range betweens {
		t.Run(fmt.Sprint(between), func(t *testing.T) {
			t.Parallel()
			x := &explorer{deep: true}
			changes := x.explore(newPowerDisk(), between)
			if x.wrong != "" {
				t.Fatal(x.wrong)
			}
			if changes < 60 || x.losses < 500 {
				t.Fatalf("%d changes, %d disks: too few to prove anything", changes, x.losses)
			}
			t.Logf("%d changes of the disk, %d kills, %d disks left by a loss of power", changes, x.kills, x.losses)
		})
	}
}

// The same while the disk is full for a while, from every change on.
func TestPowerLossWhileDiskIsFull(t *testing.T) {
	plain := &explorer{}
	changes := plain.explore(newPowerDisk(), [2]int{})
	if plain.wrong != "" {
		t.Fatal(plain.wrong)
	}
	losses := 0
	for _, span := range []int{1, 4, 40} {
		for from := 1; from <= changes; from++ {
			d, x := newPowerDisk(), &explorer{}
			d.fullFrom, d.fullSpan = from, span
			if x.explore(d, [2]int{}); x.wrong != "" {
				t.Fatalf("full from change %d on, %d times: %s", from, span, x.wrong)
			}
			losses += x.losses
		}
	}
	t.Logf("%d changes, each the first that a full disk refuses, 1, 4 and 40 times: %d disks left by a loss of power", changes, losses)
}

// Each defect must be seen: of the disk, of a store that does not make sure of what it finds, and of a user that
// forgets the log before the copy is kept.
func TestPowerLossCheckCanFail(t *testing.T) {
	for _, planted := range []lie{foldersAreUnsynced, copiesAreUnsynced, logIsUnsynced} {
		d, x := newPowerDisk(), &explorer{}
		d.lie = planted
		x.explore(d, [2]int{})
		if x.wrong == "" {
			t.Errorf("%s: not seen", planted)
		}
		t.Log(planted, ": ", x.wrong)
	}
	for _, planted := range []lie{foldersAreUnsynced, logIsUnsynced} {
		x := &explorer{deep: true, whileOpening: planted}
		x.explore(newPowerDisk(), [2]int{})
		if x.wrong == "" {
			t.Errorf("while a store opens %s: not seen", planted)
		}
		t.Log("while a store opens ", planted, ": ", x.wrong)
	}
	d, x := newPowerDisk(), &explorer{seen: map[string]bool{}}
	u := &user{disk: d, copies: &x.copies, writer: "first-"}
	d.before = func() {
		for _, left := range d.afterPowerLoss() {
			x.reopened(left, u.allowed(), fmt.Sprint("before change ", d.changes))
		}
	}
	if err := x.forgetsFirst(u); err != nil {
		x.fail("%v", err)
	}
	if x.wrong == "" {
		t.Error("a log that is forgotten before its copy is kept: not seen")
	}
	t.Log("forgotten first: ", x.wrong)
}

// forgetsFirst is the planted order: the log goes before its copy is kept.
func (x *explorer) forgetsFirst(u *user) error {
	if err := u.enter([]string{""}); err != nil {
		return err
	}
	if _, err := u.write(false, 3); err != nil {
		return err
	}
	c := u.copyOf(u.saved)
	from, err := u.write(true, 1)
	if err != nil {
		return err
	}
	if err := u.attempt(unchanged, func() error { return u.store.Compact(from) }); err != nil {
		return err
	}
	return u.attempt(unchanged, func() error { return u.store.SaveSnapshot(c, from) })
}

// What a disk gives back while it refuses every sync does not count as saved until it takes one.
func TestWriteErrorOfOpenIsReported(t *testing.T) {
	d, copies := newPowerDisk(), []history{}
	u := &user{disk: d, copies: &copies, writer: "first-"}
	if err := u.enter([]string{""}); err != nil {
		t.Fatal(err)
	}
	if _, err := u.write(false, 1); err != nil {
		t.Fatal(err)
	}
	killed := d.copied()
	killed.fullFrom, killed.fullSpan = 1, 3
	o, err := openFiles(killed, "/data", mine)
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
