package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// membersByPosition are the members of a chain of three in the order of their seats.
func membersByPosition(tc *testCluster) (all [3]*testMember) {
	for _, s := range tc.members {
		all[s.node.position()] = s
	}
	return all
}

// holdAcks takes away what one control node tells another's chain, for as long as it is asked to, and returns it.
func (tc *testCluster) holdAcks(from, to *testMember, us int64) (held []inFlightMessage) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.inFlight = slices.DeleteFunc(tc.inFlight, func(l inFlightMessage) bool {
			if l.from == from.member.Addr && l.to == to.member.Addr && l.msg.Ack != nil {
				held = append(held, l)
				return true
			}
			return false
		})
		tc.advance(stepUs)
	}
	return held
}

// Echoes that lay in a link while a control node was cut off say nothing of now, in whatever order they come.
func TestDelayedHeadTimeConfirmationDoesNotCount(t *testing.T) {
	for seed := range int64(10) {
		for position := range 2 {
			tc := newFleetTimedCluster(t, seed, 3)
			tc.advance(clock.Sec)
			all := membersByPosition(tc)
			isolated, next := all[position], all[position+1]
			if !isolated.node.IsUpToDate(tc.nowUs) {
				t.Fatalf("seed %d: in contact, place %d is not current", seed, position)
			}
			held := tc.holdAcks(next, isolated, 400*clock.Ms)
			for _, s := range all {
				tc.cutBetween([]*testMember{isolated}, []*testMember{s})
			}
			tc.advance(3 * clock.Sec)
			if isolated.node.IsUpToDate(tc.nowUs) || len(held) < 2 {
				t.Fatalf("seed %d: cut off, place %d is current; %d messages are held", seed, position, len(held))
			}
			for _, l := range held {
				tc.step(isolated, MessageReceived{Msg: &l.msg})
				if isolated.node.IsUpToDate(tc.nowUs) {
					t.Fatalf("seed %d: an echo of %d ms ago makes place %d current", seed, (tc.nowUs-l.atUs)/clock.Ms, position)
				}
			}
			tc.cutLinks = map[[2]string]bool{}
			tc.requireSettled(20*clock.Sec, "back in contact")
			tc.advance(clock.Sec)
			for _, s := range tc.members {
				if !s.node.IsUpToDate(tc.nowUs) {
					t.Errorf("seed %d: back in contact, %s is not current", seed, s.member.ID)
				}
			}
		}
	}
}

// Time stamps of what was never sent count for nothing: neither an echo nor a lease can come from the future.
func TestHeadTimesFromTheFutureAreIgnored(t *testing.T) {
	for _, us := range []int64{clock.Sec, 1 << 60, 1<<63 - 1} {
		tc := newFleetTimedCluster(t, 1, 3)
		all := membersByPosition(tc)
		for position := range 2 {
			n, next := all[position].node, all[position+1]
			n.confirmedHeadTimeUs, n.confirmedUs = 0, 0
			tc.step(all[position], MessageReceived{Msg: &Msg{From: next.member, Incarnation: next.opts.Incarnation, Ack: &Ack{View: n.view.Number, SyncedIndex: n.LastIndex(), ConfirmedHeadTimeUs: tc.nowUs + us}}})
			if n.confirmedHeadTimeUs != 0 || n.IsUpToDate(tc.nowUs) || n.IsHeadConfirmed(tc.nowUs) {
				t.Errorf("an echo of %d from now is taken at place %d", us, position)
			}
		}
		tail := all[2].node
		tail.leaseGrants, tail.leaseUntilUs = map[string]int64{}, 0
		for _, s := range all {
			tc.step(all[2], MessageReceived{Msg: &Msg{From: s.member, Incarnation: s.opts.Incarnation, Lease: &Lease{View: tail.view.Number, SentUs: tc.nowUs + us, Granted: true}}})
		}
		if tail.IsTailReady(tc.nowUs) {
			t.Errorf("a lease asked for %d from now is taken", us)
		}
	}
}
