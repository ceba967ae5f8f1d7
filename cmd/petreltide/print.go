package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// maxStepsShown is how many steps are named of a policy that parted from the live one.
const maxStepsShown = 3

// printStatus shows a control node's status for a person, a line a fact.
func printStatus(w io.Writer, st controlnode.Status) {
	printControlNode(w, st)
	if st.Fleet != nil {
		printFleet(w, st)
	}
	for _, r := range st.Outliers {
		fmt.Fprintf(w, "outlier   %s\n", r)
	}
	if st.Fleet == nil {
		printReplicas(w, st.Replicas)
	}
	for _, t := range st.Pending {
		fmt.Fprintf(w, "pending   command %d epoch %d: %s %s at %s\n", t.Number, t.Epoch, t.Action, t.Unit, t.Replica)
	}
	printPolicies(w, st)
	printQuota(w, st.Quota)
	for code, n := range st.FaultCounts {
		fmt.Fprintf(w, "fault     %s: %d\n", code, n)
	}
}

// printQuota shows what this control node counts of tenants with a limit.
func printQuota(w io.Writer, quota *controlnode.QuotaStatus) {
	if quota == nil {
		return
	}
	for _, t := range quota.Tenants {
		limit, tokens := "no limit", ""
		if t.RatePerSecond > 0 {
			limit = fmt.Sprintf("%g a second, burst %g", t.RatePerSecond, t.Burst)
			tokens = fmt.Sprintf(", reserve %d of %d used", t.ReserveUsed, t.Reserve)
			if quota.Counting {
				tokens = fmt.Sprintf(", %.1f tokens left", t.Tokens) + tokens
			}
		}
		fmt.Fprintf(w, "tenant    %s: %s%s; here in the last window %d granted, %d refused\n", t.Tenant, limit, tokens, t.Granted, t.Refused)
	}
}

// printControlNode shows the control node itself, what is committed, and its view of the others and of gateways.
func printControlNode(w io.Writer, st controlnode.Status) {
	order := []string{}
	for _, s := range st.View.Replicas {
		order = append(order, s.ID)
	}
	fmt.Fprintf(w, "node      %s (%s), zone %s\n", st.ControlNode.ID, st.Phase, st.ControlNode.Zone)
	fmt.Fprintf(w, "view      %d: %s\n", st.View.Number, strings.Join(order, " > "))
	if st.WaitReason != "" {
		fmt.Fprintf(w, "waits for %s\n", st.WaitReason)
	}
	fmt.Fprintf(w, "leader    %s under epoch %d\n", st.LeaseHolder, st.Epoch)
	if st.Fleet != nil {
		printLeadership(w, st.Fleet.Leadership)
	}
	fmt.Fprintf(w, "revision  %d, commit %d of %d\n", st.Revision, st.CommitIndex, st.LastIndex)
	printRollout(w, st.Rollout)
	if len(st.EmptiedZones) > 0 {
		fmt.Fprintf(w, "emptied   %s\n", strings.Join(st.EmptiedZones, ", "))
	}
	for _, p := range st.Peers {
		fmt.Fprintf(w, "peer      %s %s, last message %d ms ago\n", p.Member.ID, p.Phase, p.LastHelloAgoMs)
	}
	for _, d := range st.Gateways {
		fmt.Fprintf(w, "gateway   %s zone %s, acked %d, lease %d ms\n", d.Gateway, d.Zone, d.Acked, d.LeaseMs)
	}
}

// printReplicas shows the replicas that the platform lists.
func printReplicas(w io.Writer, replicas []statemachine.Replica) {
	for i := range replicas {
		r := &replicas[i]
		var loadedMB int64
		for _, mb := range r.Resident {
			loadedMB += mb
		}
		fmt.Fprintf(w, "replica   %s zone %s %s: %d held, %d of %d MB\n", r.ID, r.Zone, listedState(r), len(r.Resident), loadedMB, r.CapacityMB)
	}
}

// listedState says whether a replica that the platform lists takes calls.
func listedState(r *statemachine.Replica) string {
	switch {
	case r.Draining:
		return fmt.Sprintf("leaving (%d ms left when noticed)", r.RemainingMs)
	case r.Unreachable:
		return "dark"
	}
	return "ready"
}

// printPolicies shows the policy in force and its shadows.
func printPolicies(w io.Writer, st controlnode.Status) {
	if p := st.Policy; p.Name != "" {
		fmt.Fprintf(w, "policy    %s: %d runs, %d faulted; last verdicts: %s\n", p.Name, p.Runs, p.FaultCount, placement.Summary(p.Verdicts))
		if p.Fault != nil {
			fmt.Fprintf(w, "          last fault: %v\n", p.Fault)
		}
	}
	for _, s := range st.Shadows {
		fmt.Fprintf(w, "shadow    %s: %d runs, %d faulted", s.Name, s.Runs, s.FaultCount)
		if s.Difference != nil {
			fmt.Fprintf(w, "; parted from %s in %d of %d%s%s", st.Policy.Name, s.Difference.Runs-s.Difference.Same, s.Difference.Runs,
				topSteps("; it alone would", s.Difference.ShadowOnly), topSteps("; it would not", s.Difference.LiveOnly))
		}
		fmt.Fprintln(w)
	}
}

// topSteps names the three steps that came up most often.
func topSteps(intro string, steps map[string]uint64) string {
	names := slices.SortedFunc(maps.Keys(steps), func(a, b string) int {
		if steps[a] != steps[b] {
			return int(int64(steps[b]) - int64(steps[a]))
		}
		return strings.Compare(a, b)
	})
	text := ""
	for i, name := range names[:min(maxStepsShown, len(names))] {
		before := ","
		if i == 0 {
			before = intro
		}
		text += fmt.Sprintf("%s %s (%d)", before, name, steps[name])
	}
	return text
}
