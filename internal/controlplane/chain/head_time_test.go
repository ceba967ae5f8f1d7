package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// membersByPosition returns the members of a chain of three in chain order.
func membersByPosition(tc *testCluster) (all [3]*testMember) {
	for _, s := range tc.members {
		all[s.node.position()] = s
	}
	return all
}

// holdAcks withholds the Acks from one control node to another for a while, and returns them.
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

// Confirmations that were delayed in the network while a control node was partitioned do not make it up to date, in whatever order
// they arrive.
func TestDelayedHeadTimeConfirmationDoesNotCount(t *testing.T) {
	for seed := range int64(10) {
		for position := range 2 {
			tc := newFleetTimedCluster(t, seed, 3)
			tc.advance(clock.Sec)
			all := membersByPosition(tc)
			isolated, next := all[position], all[position+1]
			if !isolated.node.IsUpToDate(tc.nowUs) {
				t.Fatalf("seed %d: the member at position %d is not up to date while connected", seed, position)
			}
			held := tc.holdAcks(next, isolated, 400*clock.Ms)
			for _, s := range all {
				tc.cutBetween([]*testMember{isolated}, []*testMember{s})
			}
			tc.advance(3 * clock.Sec)
			if isolated.node.IsUpToDate(tc.nowUs) || len(held) < 2 {
				t.Fatalf("seed %d: got IsUpToDate %v at position %d while partitioned and %d messages held, want false and at least 2", seed, isolated.node.IsUpToDate(tc.nowUs), position, len(held))
			}
			for _, l := range held {
				tc.step(isolated, MessageReceived{Msg: &l.msg})
				if isolated.node.IsUpToDate(tc.nowUs) {
					t.Fatalf("seed %d: a confirmation from %d ms ago makes the member at position %d up to date", seed, (tc.nowUs-l.atUs)/clock.Ms, position)
				}
			}
			tc.cutLinks = map[[2]string]bool{}
			tc.requireSettled(20*clock.Sec, "reconnected")
			tc.advance(clock.Sec)
			for _, s := range tc.members {
				if !s.node.IsUpToDate(tc.nowUs) {
					t.Errorf("seed %d: %s is not up to date after it reconnected", seed, s.member.ID)
				}
			}
		}
	}
}

// Time stamps that were never sent are ignored: neither a confirmation nor a lease may have a time stamp from the future.
func TestHeadTimesFromTheFutureAreIgnored(t *testing.T) {
	for _, us := range []int64{clock.Sec, 1 << 60, 1<<63 - 1} {
		tc := newFleetTimedCluster(t, 1, 3)
		all := membersByPosition(tc)
		for position := range 2 {
			n, next := all[position].node, all[position+1]
			n.confirmedHeadTimeUs, n.confirmedUs = 0, 0
			tc.step(all[position], MessageReceived{Msg: &Msg{From: next.member, Incarnation: next.opts.Incarnation, Ack: &Ack{View: n.view.Number, SyncedIndex: n.LastIndex(), ConfirmedHeadTimeUs: tc.nowUs + us}}})
			if n.confirmedHeadTimeUs != 0 || n.IsUpToDate(tc.nowUs) || n.IsHeadConfirmed(tc.nowUs) {
				t.Errorf("a confirmation from %d us in the future is accepted at position %d", us, position)
			}
		}
		tail := all[2].node
		tail.leaseGrants, tail.leaseUntilUs = map[string]int64{}, 0
		for _, s := range all {
			tc.step(all[2], MessageReceived{Msg: &Msg{From: s.member, Incarnation: s.opts.Incarnation, Lease: &Lease{View: tail.view.Number, SentUs: tc.nowUs + us, Granted: true}}})
		}
		if tail.IsTailReady(tc.nowUs) {
			t.Errorf("a lease with a request time %d us in the future is accepted", us)
		}
	}
}
