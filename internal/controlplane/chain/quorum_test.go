package chain

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// maxTestedVoters is the number of voters up to which all pairs of quorums are compared.
const maxTestedVoters = 6

// votersNamed returns n voters.
func votersNamed(n int) []Member {
	voters := []Member{}
	for i := range n {
		voters = append(voters, Member{ID: fmt.Sprint("v", i)})
	}
	return voters
}

// subsetsOf returns all sets of voters, as sets of IDs.
func subsetsOf(voters []Member) []map[string]bool {
	all := []map[string]bool{}
	for bits := range 1 << len(voters) {
		set := map[string]bool{}
		for i, v := range voters {
			if bits&(1<<i) != 0 {
				set[v.ID] = true
			}
		}
		all = append(all, set)
	}
	return all
}

func decides(v View, set map[string]bool) bool {
	return v.IsQuorum(func(id string) bool { return set[id] })
}

// intersect reports whether two sets have a member in common.
func intersect(a, b map[string]bool) bool {
	for id := range a {
		if b[id] {
			return true
		}
	}
	return false
}

// Any two sets of voters that may decide on the next view intersect, with each voter as the tie-breaker and with none, and each
// intersects every set that may grant a lease.
func TestQuorumsOfAViewIntersect(t *testing.T) {
	for n := 1; n <= maxTestedVoters; n++ {
		for breaker := -1; breaker < n; breaker++ {
			view := View{Number: 1, Voters: votersNamed(n)}
			if breaker >= 0 {
				view.TieBreaker = view.Voters[breaker].ID
			}
			sets := subsetsOf(view.Voters)
			for _, a := range sets {
				for _, b := range sets {
					if decides(view, a) && (decides(view, b) || len(b) >= view.LeaseQuorumSize()) && !intersect(a, b) {
						t.Fatalf("%d voters, tie-breaker %q: %v and %v are quorums without a common voter", n, view.TieBreaker, a, b)
					}
				}
			}
		}
	}
}

// nextViews returns the views that may follow by one voter added, removed or replaced, each with every tie-breaker and with none, and
// with the tail of the view or another.
func nextViews(view View) []View {
	changes := [][]Member{view.Voters}
	fresh := Member{ID: "fresh"}
	changes = append(changes, append(slices.Clone(view.Voters), fresh))
	for i := range view.Voters {
		changes = append(changes, slices.Delete(slices.Clone(view.Voters), i, i+1))
		replaced := slices.Clone(view.Voters)
		replaced[i] = fresh
		changes = append(changes, replaced)
	}
	all := []View{}
	for _, voters := range changes {
		for breaker := -1; breaker < len(voters); breaker++ {
			for _, tail := range []string{"v0", "fresh"} {
				next := View{Number: view.Number + 1, Voters: voters, Replicas: []Replica{{Member: Member{ID: tail}, Incarnation: "1"}}}
				if breaker >= 0 {
					next.TieBreaker = voters[breaker].ID
				}
				all = append(all, next)
			}
		}
	}
	return all
}

// Where a next view does not end the lease of the tail, no set of its voters can decide on another tail without a voter that has
// granted that lease, or the tail itself: it has installed that view, and waits for the end of its own lease before it votes.
func TestLeaseThatOutlivesAViewMeetsQuorumsOfTheNext(t *testing.T) {
	carried := 0
	for n := 2; n <= maxTestedVoters-1; n++ {
		for breaker := -1; breaker < n; breaker++ {
			for _, tail := range []string{"v0", "fresh"} {
				view := View{Number: 1, Voters: votersNamed(n), Replicas: []Replica{{Member: Member{ID: tail}, Incarnation: "1"}}}
				if breaker >= 0 {
					view.TieBreaker = view.Voters[breaker].ID
				}
				node := &Node{view: view}
				for _, next := range nextViews(view) {
					if node.endsTailLease(next) || len(next.Voters) == 0 {
						continue
					}
					carried++
					for _, grants := range subsetsOf(view.Voters) {
						for _, deciding := range subsetsOf(next.Voters) {
							if len(grants) >= view.LeaseQuorumSize() && decides(next, deciding) && !intersect(grants, deciding) && !deciding[tail] {
								t.Fatalf("voters %v (tie-breaker %q), then %v (%q), tail %s: lease of %v and decision of %v", view.Voters, view.TieBreaker, next.Voters, next.TieBreaker, tail, grants, deciding)
							}
						}
					}
				}
			}
		}
	}
	if carried < 100 {
		t.Errorf("got %d views that keep the lease, want 100 for a meaningful test", carried)
	}
}

// A tie-breaker is set only where all voters count it: builds before it was added need a majority.
func TestTieBreakerNeedsSupportOfAllVoters(t *testing.T) {
	view := View{Number: 1, Voters: votersNamed(3)}
	next := View{Number: 2, Voters: votersNamed(4)}
	for _, c := range []struct {
		older string
		want  string
	}{{"", "v3"}, {"v1", ""}, {"v3", ""}} {
		n := &Node{opts: Options{Self: view.Voters[0]}, view: view, peers: map[string]*peer{}}
		for _, v := range next.Voters[1:] {
			n.peers[v.ID] = &peer{hello: Hello{SupportsTieBreaker: v.ID != c.older}}
		}
		if got := n.tieBreakerOf(next); got != c.want {
			t.Errorf("older build %q: got tie-breaker %q, want %q", c.older, got, c.want)
		}
		if got := n.tieBreakerOf(View{Number: 2, Voters: votersNamed(5)}); got != "" {
			t.Errorf("five voters: got tie-breaker %q, want none", got)
		}
	}
}

// uncoveredLosses returns the losses of machines that are tolerated in a view and leave no quorum. Where the view has an extra voter,
// any one voter but the tie-breaker may have been removed without a word, as the one that the extra voter succeeds; in addition up to
// maxLosses others may lose their disks and come back.
func uncoveredLosses(view View, maxLosses int) []string {
	uncovered := []string{}
	silent := []string{""}
	for _, v := range view.Voters {
		if view.ExtraVoters > 0 && view.TieBreaker != "" && v.ID != view.TieBreaker {
			silent = append(silent, v.ID)
		}
	}
	for _, removed := range silent {
		for _, lost := range subsetsOf(view.Voters) {
			if len(lost) == 0 || len(lost) > maxLosses || lost[removed] || len(view.Voters) < 2*maxLosses+1 {
				continue
			}
			votes, evidence := map[string]vote{}, lossEvidence{tieBreakerLost: lost[view.TieBreaker]}
			for _, v := range view.Voters {
				switch {
				case lost[v.ID]:
					evidence.lost = append(evidence.lost, v.ID)
				case v.ID != removed:
					votes[v.ID] = vote{}
				}
			}
			if n := (&Node{view: view}); !n.isDecidedBy(&proposal{evidence: evidence}, votes) {
				uncovered = append(uncovered, fmt.Sprintf("%q removed, disks of %v lost", removed, lost))
			}
		}
	}
	return uncovered
}

// Guards against a view whose tolerated losses leave no quorum (review/5): with one voter too many and each tie-breaker, for one and two
// losses.
func TestToleratedLossesLeaveAQuorum(t *testing.T) {
	for maxLosses := 1; maxLosses <= 2; maxLosses++ {
		voters := votersNamed(2*maxLosses + 2)
		for _, breaker := range voters {
			view := View{Number: 1, Voters: voters, ExtraVoters: 1, TieBreaker: breaker.ID}
			if uncovered := uncoveredLosses(view, maxLosses); len(uncovered) > 0 {
				t.Errorf("%d voters, tie-breaker %s: these losses leave no quorum: %v", len(voters), breaker.ID, uncovered)
			}
		}
		if uncovered := uncoveredLosses(View{Number: 1, Voters: voters[1:]}, maxLosses); len(uncovered) > 0 {
			t.Errorf("%d voters: these losses leave no quorum: %v", len(voters)-1, uncovered)
		}
	}
}

// decidesWith reports whether a set of voters may decide, with what is known of lost disks and none of them having heard another voter, or
// all of them having heard all.
func decidesWith(view View, set map[string]bool, isolated bool, evidence lossEvidence) bool {
	votes := map[string]vote{}
	for id := range set {
		votes[id] = vote{}
		if !isolated {
			for _, v := range view.Voters {
				votes[id] = vote{heard: append(votes[id].heard, v.ID)}
			}
		}
	}
	n := &Node{view: view}
	return n.isDecidedBy(&proposal{evidence: evidence}, votes)
}

// Two sets of voters without a common voter never decide both. A voter that has lost its disk before one set decided gives no vote to the
// other, and the tie-breaker counts as lost only where it has not decided in isolation before.
func TestDisjointSetsOfVotersNeverDecideBoth(t *testing.T) {
	pairs := 0
	for n := 1; n <= maxTestedVoters; n++ {
		for breaker := -1; breaker < n; breaker++ {
			view := View{Number: 1, Voters: votersNamed(n)}
			if breaker >= 0 {
				view.TieBreaker = view.Voters[breaker].ID
			}
			sets := subsetsOf(view.Voters)
			for _, first := range sets {
				for _, second := range sets {
					for _, lost := range sets {
						if intersect(first, second) || intersect(second, lost) {
							continue
						}
						pairs++
						// The first set has voted with no loss known, in isolation or not; then the disks in lost are lost, and the second set votes.
						firstDecided := decidesWith(view, first, true, lossEvidence{})
						evidence := lossEvidence{lost: slices.Sorted(maps.Keys(lost)), tieBreakerLost: lost[view.TieBreaker] && !firstDecided}
						if firstDecided && decidesWith(view, second, false, evidence) {
							t.Fatalf("%d voters, tie-breaker %q: %v has decided in isolation, then %v decides with %v lost", n, view.TieBreaker, first, second, lost)
						}
						if !intersect(first, lost) && decidesWith(view, first, false, evidence) && decidesWith(view, second, false, evidence) {
							t.Fatalf("%d voters, tie-breaker %q: %v and %v decide, with %v lost", n, view.TieBreaker, first, second, lost)
						}
					}
				}
			}
		}
	}
	if pairs < 1000 {
		t.Errorf("got %d pairs, want 1000 for a meaningful test", pairs)
	}
}
