package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// byPlace are the members of a chain of three in the order of their seats.
func byPlace(y *testCluster) (all [3]*testMember) {
	for _, s := range y.members {
		all[s.node.position()] = s
	}
	return all
}

// holdAcks takes away what one control node tells another's chain, for as long as it is asked to, and returns it.
func (tc *testCluster) holdAcks(from, to *testMember, us int64) (held []message) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l message) bool {
			if l.from == from.me.Addr && l.to == to.me.Addr && l.msg.Ack != nil {
				held = append(held, l)
				return true
			}
			return false
		})
		tc.advance(yardStepUs)
	}
	return held
}

// Echoes that lay in a link while a control node was cut off say nothing of now, in whatever order they come.
func TestDelayedHeadTimeConfirmationDoesNotCount(t *testing.T) {
	for seed := range int64(10) {
		for place := range 2 {
			y := newPacedTestCluster(t, seed, 3)
			y.advance(clock.Sec)
			all := byPlace(y)
			struck, next := all[place], all[place+1]
			if !struck.node.IsUpToDate(y.nowUs) {
				t.Fatalf("seed %d: in contact, place %d is not current", seed, place)
			}
			held := y.holdAcks(next, struck, 400*clock.Ms)
			for _, s := range all {
				y.apart([]*testMember{struck}, []*testMember{s})
			}
			y.advance(3 * clock.Sec)
			if struck.node.IsUpToDate(y.nowUs) || len(held) < 2 {
				t.Fatalf("seed %d: cut off, place %d is current; %d messages are held", seed, place, len(held))
			}
			for _, l := range held {
				y.step(struck, MessageReceived{Msg: &l.msg})
				if struck.node.IsUpToDate(y.nowUs) {
					t.Fatalf("seed %d: an echo of %d ms ago makes place %d current", seed, (y.nowUs-l.atUs)/clock.Ms, place)
				}
			}
			y.cuts = map[[2]string]bool{}
			y.requireSettled(20*clock.Sec, "back in contact")
			y.advance(clock.Sec)
			for _, s := range y.members {
				if !s.node.IsUpToDate(y.nowUs) {
					t.Errorf("seed %d: back in contact, %s is not current", seed, s.me.ID)
				}
			}
		}
	}
}

// Time stamps of what was never sent count for nothing: neither an echo nor a lease can come from the future.
func TestHeadTimesFromTheFutureAreIgnored(t *testing.T) {
	for _, us := range []int64{clock.Sec, 1 << 60, 1<<63 - 1} {
		y := newPacedTestCluster(t, 1, 3)
		all := byPlace(y)
		for place := range 2 {
			n, next := all[place].node, all[place+1]
			n.confirmedHeadTimeUs, n.confirmedUs = 0, 0
			y.step(all[place], MessageReceived{Msg: &Msg{From: next.me, Incarnation: next.opts.Incarnation, Ack: &Ack{View: n.view.Number, SyncedIndex: n.LastIndex(), ConfirmedHeadTimeUs: y.nowUs + us}}})
			if n.confirmedHeadTimeUs != 0 || n.IsUpToDate(y.nowUs) || n.IsHeadConfirmed(y.nowUs) {
				t.Errorf("an echo of %d from now is taken at place %d", us, place)
			}
		}
		tail := all[2].node
		tail.leaseGrants, tail.leaseUntilUs = map[string]int64{}, 0
		for _, s := range all {
			y.step(all[2], MessageReceived{Msg: &Msg{From: s.me, Incarnation: s.opts.Incarnation, Lease: &Lease{View: tail.view.Number, SentUs: y.nowUs + us, Granted: true}}})
		}
		if tail.IsTailReady(y.nowUs) {
			t.Errorf("a lease asked for %d from now is taken", us)
		}
	}
}
