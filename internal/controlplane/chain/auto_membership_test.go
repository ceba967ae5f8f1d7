package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// yard is a chain whose control nodes take each other in by themselves: links that delay and cut, disks that take
// their time, machines that die, lose their disks or are replaced at another address.
type yard struct {
	t            *testing.T
	r            *rand.Rand
	nowUs        int64
	spots        []*spot
	mail         []message
	cuts         map[[2]string]bool
	seeds        []string
	views        map[uint64]View
	acked        map[uint64]string
	most         uint64
	incarnations int
	writes       int
	broken       string
	founder      []string
	copies       int
	paced        bool
	// idle: nobody writes.
	idle bool
	// loose links bring messages twice, late and out of their order.
	loose bool
	// slowestUs is the longest time from a successor's start until it had taken over.
	slowestUs int64
}

type spot struct {
	me    Member
	node  *Node
	disk  []Record
	saves []synced
	slow  bool
	gone  bool
	// frozen: its process stands still. What is sent to it waits.
	frozen bool
	opts   Options
	// phaseUs is by how much its ticks come before those of the others.
	phaseUs int64
	// bornUs is since when its disk has lasted.
	bornUs int64
}

type synced struct {
	atUs int64
	save Persist
}

type message struct {
	atUs     int64
	from, to string
	msg      Msg
}

func newYard(t *testing.T, seed int64, controlNodes, founders int) *yard {
	y := &yard{t: t, r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, cuts: map[[2]string]bool{}, views: map[uint64]View{}, acked: map[uint64]string{}, copies: 2}
	for i := range controlNodes {
		y.spots = append(y.spots, &spot{me: Member{ID: fmt.Sprintf("n%d-0", i), Name: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}})
	}
	for _, s := range y.spots[:founders] {
		y.founder = append(y.founder, s.me.Addr)
	}
	y.seeds = y.founder
	return y
}

func (y *yard) start(s *spot, first bool) {
	y.incarnations++
	s.opts = Options{Self: s.me, Incarnation: fmt.Sprintf("%s/%d", s.me.ID, y.incarnations), AutoMembership: true, MinReplicas: y.copies, MaxRetainedEntries: 30}
	if y.paced {
		s.opts = paced(s.opts)
	}
	if first {
		s.opts.BootstrapAddrs, s.opts.FirstStart = y.founder, true
	}
	if len(s.disk) == 0 {
		s.bornUs = y.nowUs
	}
	node, err := NewNode(s.opts, s.disk, y.nowUs)
	if err != nil {
		y.t.Fatal(err)
	}
	s.node, s.saves = node, nil
	y.step(s, AddrsLearned{Addrs: y.seeds})
}

func (y *yard) stop(s *spot) {
	s.node, s.saves, s.slow, s.frozen = nil, nil, false, false
	y.mail = slices.DeleteFunc(y.mail, func(l message) bool { return l.to == s.me.Addr })
}

// wipe takes a disk: the control node comes back under its name as another identity.
func (y *yard) wipe(s *spot) {
	y.stop(s)
	y.incarnations++
	s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, y.incarnations)
	y.start(s, false)
}

// replace takes a machine away for good; an empty one comes at another address under another name.
func (y *yard) replace(s *spot) {
	y.stop(s)
	s.gone = true
	y.incarnations++
	name := fmt.Sprint("n", 10+y.incarnations)
	fresh := &spot{me: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	y.spots = append(y.spots, fresh)
	y.seeds = nil
	for _, o := range y.spots {
		if !o.gone && o != fresh && len(y.seeds) < 3 {
			y.seeds = append(y.seeds, o.me.Addr)
		}
	}
	y.start(fresh, false)
}

func (y *yard) at(addr string) *spot {
	for _, s := range y.spots {
		if s.me.Addr == addr && !s.gone {
			return s
		}
	}
	return nil
}

func (y *yard) step(s *spot, ev Event) {
	if s.node == nil {
		return
	}
	for _, e := range s.node.Step(y.nowUs, ev) {
		switch e := e.(type) {
		case Send:
			if to := y.at(e.Addr); to != nil && to.node != nil && to != s && !y.cut(s.me.Addr, to.me.Addr) {
				y.post(s.me.Addr, to.me.Addr, e.Msg)
			}
		case Persist:
			us := y.nowUs + y.r.Int63n(8*clock.Ms)
			if n := len(s.saves); n > 0 {
				us = max(us, s.saves[n-1].atUs)
			}
			s.saves = append(s.saves, synced{us, e})
		case Applied:
			y.applied(s, e)
		case ViewInstalled:
			y.viewed(e.View)
		}
	}
}

func (y *yard) cut(a, b string) bool { return y.cuts[[2]string{a, b}] || y.cuts[[2]string{b, a}] }

// post keeps the order of messages between two control nodes.
func (y *yard) post(from, to string, m Msg) {
	us := y.nowUs + 1 + y.r.Int63n(6*clock.Ms)
	for i := len(y.mail) - 1; i >= 0; i-- {
		if y.mail[i].from == from && y.mail[i].to == to {
			us = max(us, y.mail[i].atUs)
			break
		}
	}
	if !y.loose {
		y.mail = append(y.mail, message{us, from, to, m})
		return
	}
	us = y.nowUs + 1 + y.r.Int63n(20*clock.Ms)
	if y.r.Intn(30) == 0 {
		us += y.r.Int63n(lateMostUs)
	}
	y.mail = append(y.mail, message{us, from, to, m})
	if y.r.Intn(10) == 0 {
		y.mail = append(y.mail, message{us + y.r.Int63n(lateMostUs), from, to, m})
	}
}

// lateMostUs is how late a message comes at most: whoever sends it gives it up after a second.
const lateMostUs = clock.Sec

// viewed: a number stands for one view, which the voters of the one before decide alone; from one to the next
// at most one vote comes and one goes.
func (y *yard) viewed(v View) {
	if before, seen := y.views[v.Number]; seen {
		if fmt.Sprint(before) != fmt.Sprint(v) {
			y.broken = fmt.Sprintf("view %d was decided twice: %v and %v", v.Number, before, v)
		}
		return
	}
	y.views[v.Number] = v
	if prior, seen := y.views[v.Number-1]; seen {
		came, went := 0, 0
		for _, m := range v.Voters {
			if !prior.IsVoter(m.ID) {
				came++
			}
		}
		for _, m := range prior.Voters {
			if !v.IsVoter(m.ID) {
				went++
			}
		}
		if came > 1 || went > 1 || len(v.Voters) < min(len(y.founder), minVoters) {
			y.broken = fmt.Sprintf("from view %d to %d %d votes came and %d went: %v and %v", prior.Number, v.Number, came, went, prior.Voters, v.Voters)
		}
	}
}

func (y *yard) applied(s *spot, a Applied) {
	id := a.Entry.Change.ID
	if before, seen := y.acked[a.Entry.Index]; seen && before != id {
		y.broken = fmt.Sprintf("%s applies %s at %d, where %s was acknowledged", s.me.ID, id, a.Entry.Index, before)
	}
	if s.node.IsTail() && s.node.AcceptsWrites() {
		y.acked[a.Entry.Index], y.most = id, max(y.most, a.Entry.Index)
	}
}

const yardStepUs = 5 * clock.Ms

func (y *yard) pass(us int64) {
	for endUs := y.nowUs + us; y.nowUs < endUs; {
		y.nowUs += yardStepUs
		due := []message{}
		y.mail = slices.DeleteFunc(y.mail, func(l message) bool {
			if to := y.at(l.to); l.atUs <= y.nowUs && (to == nil || !to.frozen) {
				due = append(due, l)
				return true
			}
			return false
		})
		for _, l := range due {
			if to := y.at(l.to); to != nil && !y.cut(l.from, l.to) {
				y.step(to, MessageReceived{Msg: &l.msg})
			}
		}
		for _, s := range y.spots {
			if s.frozen {
				continue
			}
			for len(s.saves) > 0 && s.saves[0].atUs <= y.nowUs && !s.slow {
				done := s.saves[0].save
				s.saves = s.saves[1:]
				if done.Compact {
					s.disk = nil
				}
				if done.Snapshot != nil {
					s.disk = append(slices.Clip(s.disk), Record{Snapshot: done.Snapshot})
				}
				s.disk = append(slices.Clip(s.disk), done.Records...)
				y.step(s, Persisted{Seq: done.Seq})
			}
			if (y.nowUs+s.phaseUs)%(25*clock.Ms) == 0 {
				y.step(s, Tick{})
			}
		}
		if y.nowUs%(50*clock.Ms) == 0 && !y.idle {
			y.write()
		}
		y.judge()
	}
}

func (y *yard) write() {
	y.writes++
	for _, s := range y.spots {
		if s.node != nil && s.node.IsHead() && !s.frozen {
			doc := &configuration.Declaration{Name: fmt.Sprint("w", y.writes)}
			y.step(s, ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint(doc.Name, s.me.ID), Config: &statemachine.ConfigChange{Doc: doc}}})
		}
	}
}

func (y *yard) judge() {
	open := []string{}
	for _, s := range y.spots {
		if s.node != nil {
			y.most = max(y.most, s.node.durableIndex())
		}
	}
	for _, s := range y.spots {
		if s.node != nil && s.node.TailReady(y.nowUs) {
			open = append(open, s.me.ID)
			if s.node.CommitIndex() < y.most {
				y.broken = fmt.Sprintf("%s is open at %d, %d was acknowledged", s.me.ID, s.node.CommitIndex(), y.most)
			}
		}
	}
	if len(open) > 1 {
		y.broken = fmt.Sprintf("two open tails: %v", open)
	}
	if y.broken != "" {
		y.t.Fatalf("at %d ms: %s", y.nowUs/1000, y.broken)
	}
}

func (y *yard) living() []*spot {
	all := []*spot{}
	for _, s := range y.spots {
		if !s.gone {
			all = append(all, s)
		}
	}
	return all
}

// settled: every control node that is there has a seat in one view and acknowledges; votes are theirs.
func (y *yard) settled() string {
	var view View
	for _, s := range y.living() {
		if s.node == nil || !s.node.serving() || !s.node.caughtUp {
			return fmt.Sprintf("%s has no seat: %v", s.me.ID, s.node != nil)
		}
		if view.Number > 0 && s.node.view.Number != view.Number {
			return fmt.Sprintf("%s is in view %d, others in %d", s.me.ID, s.node.view.Number, view.Number)
		}
		view = s.node.view
	}
	if len(view.Replicas) != len(y.living()) {
		return fmt.Sprintf("%d seats for %d offices", len(view.Replicas), len(y.living()))
	}
	for _, s := range y.living() {
		if !view.IsVoter(s.me.ID) {
			return fmt.Sprintf("%s has no vote in %v", s.me.ID, view.Voters)
		}
	}
	if len(view.Voters) != len(y.living()) {
		return fmt.Sprintf("%d votes for %d offices: %v", len(view.Voters), len(y.living()), view.Voters)
	}
	return ""
}

func (y *yard) settles(withinUs int64, what string) {
	y.t.Helper()
	for endUs := y.nowUs + withinUs; y.nowUs < endUs; y.pass(100 * clock.Ms) {
		if y.settled() == "" {
			before := y.most
			if y.pass(500 * clock.Ms); y.most > before {
				return
			}
		}
	}
	y.t.Fatalf("%s: after %d s %s, %d acknowledged", what, withinUs/clock.Sec, y.settled(), y.most)
}

func TestFoundingByAddresses(t *testing.T) {
	for _, c := range []struct {
		name                   string
		controlNodes, founders int
		startUs                func(i int) int64
		laterUs                int64
	}{
		{"three", 3, 3, func(int) int64 { return 0 }, 0},
		{"three, one after the other", 3, 3, func(i int) int64 { return int64(i) * 300 * clock.Ms }, 0},
		{"five, three of them seeds", 5, 3, func(int) int64 { return 0 }, 0},
		{"five, the seeds come last", 5, 3, func(i int) int64 { return int64(5-i) * 250 * clock.Ms }, 0},
		{"nine, three of them seeds", 9, 3, func(i int) int64 { return int64(i%4) * 90 * clock.Ms }, 0},
		{"two", 2, 2, func(int) int64 { return 0 }, 0},
		{"three, one much later", 3, 3, func(i int) int64 { return int64(i/2) * 6 * clock.Sec }, 6 * clock.Sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(0); seed < 4; seed++ {
				y := newYard(t, seed, c.controlNodes, c.founders)
				for us := int64(0); us <= 7*clock.Sec; us += 10 * clock.Ms {
					for i, s := range y.spots {
						if s.node == nil && us >= c.startUs(i) {
							y.start(s, true)
						}
					}
					if y.pass(10 * clock.Ms); us < c.laterUs && len(y.views) > 0 {
						t.Fatal("founded without a founder")
					}
				}
				y.settles(30*clock.Sec, "founding")
				if v := y.views[1]; len(v.Voters) != c.founders {
					t.Errorf("founded by %v", v.Voters)
				}
				if last := y.spots[0].node.view; last.ExtraVoters != 0 {
					t.Errorf("votes of a first start count as extra: %v", last)
				}
			}
		})
	}
}

func grown(t *testing.T, seed int64, controlNodes, founders int) *yard {
	y := newYard(t, seed, controlNodes, founders)
	for _, s := range y.spots {
		y.start(s, true)
	}
	y.settles(30*clock.Sec, "founding")
	return y
}

func TestANewcomerTakesTheVoteOfOneThatIsGone(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		y := grown(t, seed, 3+2*int(seed%2), 3)
		for n := range 4 {
			live := y.living()
			lost := live[y.r.Intn(len(live))]
			votes := len(live[0].node.view.Voters)
			if n%2 == 0 {
				y.replace(lost)
			} else {
				y.wipe(lost)
			}
			y.settles(40*clock.Sec, "a newcomer")
			if now := y.living()[0].node.view; len(now.Voters) != votes || now.ExtraVoters != 0 {
				t.Fatalf("seed %d: %d votes became %v, extra %d", seed, votes, now.Voters, now.ExtraVoters)
			}
		}
	}
}

// One that comes before the one it replaces has gone gets a vote of its own, and the vote of the silent one goes.
func TestAVoteTooManyIsDropped(t *testing.T) {
	for seed := int64(0); seed < 4; seed++ {
		y := grown(t, seed, 3, 3)
		leaves := y.spots[int(seed)%3]
		fresh := &spot{me: Member{ID: "new-0", Name: "new", Addr: "anew"}}
		y.spots = append(y.spots, fresh)
		y.start(fresh, false)
		y.settles(40*clock.Sec, "one more")
		if v := fresh.node.view; len(v.Voters) != 4 || v.ExtraVoters != 1 {
			t.Fatalf("seed %d: %v, extra %d", seed, v.Voters, v.ExtraVoters)
		}
		y.stop(leaves)
		leaves.gone = true
		y.settles(40*clock.Sec, "one less")
		if v := fresh.node.view; len(v.Voters) != 3 || v.ExtraVoters != 0 || v.IsVoter(leaves.me.ID) {
			t.Fatalf("seed %d: %v, extra %d", seed, v.Voters, v.ExtraVoters)
		}
	}
}

// A newcomer may take the vote of a control node that is only cut off, as it cannot know; that one then takes the vote of
// the one that is gone. No vote stays with nobody.
func TestNoVoteStaysWithOneThatIsGone(t *testing.T) {
	for seed := int64(0); seed < 6; seed++ {
		y := grown(t, seed, 5, 3)
		y.cuts[[2]string{"a1", "a0"}], y.cuts[[2]string{"a1", "a2"}], y.cuts[[2]string{"a1", "a3"}], y.cuts[[2]string{"a1", "a4"}] = true, true, true, true
		y.pass(3 * clock.Sec)
		y.replace(y.spots[2])
		y.cuts[[2]string{"a1", y.spots[5].me.Addr}] = true
		y.pass(6 * clock.Sec)
		clear(y.cuts)
		y.settles(40*clock.Sec, "one cut off, one replaced")
	}
}

// Long histories of machines that die, freeze their disks, are cut off, wiped and replaced, never more of them lost
// for good at once than may be: one chain, nothing acknowledged is lost, and in the end all are in it.
func TestSeededControlNodesThatTakeEachOtherIn(t *testing.T) {
	seeds := int64(60)
	if raced {
		seeds = 6
	}
	for seed := int64(0); seed < seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			controlNodes := []int{3, 3, 5}[seed%3]
			y := grown(t, seed, controlNodes, 3)
			first := len(y.views)
			for range 14 {
				live := y.living()
				s := live[y.r.Intn(len(live))]
				switch y.r.Intn(8) {
				case 0:
					y.stop(s)
					y.pass(y.r.Int63n(3 * clock.Sec))
					y.start(s, false)
				case 1:
					for _, o := range live {
						y.stop(o)
					}
					y.pass(y.r.Int63n(clock.Sec))
					for _, o := range live {
						y.start(o, false)
						y.pass(y.r.Int63n(200 * clock.Ms))
					}
				case 2:
					s.slow = true
					y.pass(y.r.Int63n(4 * clock.Sec))
					s.slow = false
				case 3, 4:
					for _, a := range live {
						for _, b := range live {
							if a != b && y.r.Intn(3) == 0 {
								y.cuts[[2]string{a.me.Addr, b.me.Addr}] = true
							}
						}
					}
					y.pass(y.r.Int63n(6 * clock.Sec))
					if y.r.Intn(2) == 0 {
						y.stop(s)
						y.pass(y.r.Int63n(2 * clock.Sec))
						y.start(s, false)
					}
					clear(y.cuts)
				case 5:
					y.settles(60*clock.Sec, "before a wipe")
					y.wipe(s)
				case 6:
					y.settles(60*clock.Sec, "before a replacement")
					y.replace(s)
				case 7:
					y.settles(60*clock.Sec, "before a wipe and a cut")
					y.wipe(s)
					o := live[y.r.Intn(len(live))]
					y.cuts[[2]string{o.me.Addr, live[0].me.Addr}] = true
					y.pass(y.r.Int63n(4 * clock.Sec))
					clear(y.cuts)
				}
				y.pass(y.r.Int63n(2 * clock.Sec))
			}
			y.settles(60*clock.Sec, "in the end")
			if len(y.views) < first+3 || y.most < 100 {
				t.Errorf("%d views, %d acknowledged: it proves little", len(y.views), y.most)
			}
		})
	}
}
