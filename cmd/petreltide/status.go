package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/gateway"
)

const routesShown = 20

func printLeadership(w io.Writer, n *controller.LeaderStatus) {
	if n == nil {
		return
	}
	wait := "orders may go out"
	if n.OrderDelayMs > 0 {
		wait = fmt.Sprintf("orders wait %d ms more for the one before", n.OrderDelayMs)
	}
	fmt.Fprintf(w, "orders    holder %s, fence %d: %s, %d stand\n", n.Leader, n.Epoch, wait, len(n.Orders))
	for _, u := range n.Unreported {
		fmt.Fprintf(w, "unknown   %s: its report has not come for %d ms; it gets no orders\n", u.Replica, u.MissingMs)
	}
	for _, s := range n.Store {
		fmt.Fprintf(w, "store     %s: %d loads may begin now, %d of %d run, %d began within %d ms\n", s.Service, s.LoadsLeft, s.RunningLoads, s.MaxConcurrentLoads, s.RecentLoads, s.WindowMs)
	}
}

func printRollout(w io.Writer, r *controller.RolloutStatus) {
	switch {
	case r == nil:
	case len(r.Behind) > 0:
		fmt.Fprintf(w, "rollout   revision %d for %d ms; %d gateways are behind: %s\n", r.Revision, r.AgeMs, len(r.Behind), strings.Join(r.Behind, ", "))
	case r.CompletedAfterMs < 0:
		fmt.Fprintf(w, "rollout   revision %d for %d ms; no gateway has reported\n", r.Revision, r.AgeMs)
	default:
		fmt.Fprintf(w, "rollout   revision %d for %d ms; all gateways had it after %d ms\n", r.Revision, r.AgeMs, r.CompletedAfterMs)
	}
}

func printFleet(w io.Writer, st controlnode.Status) {
	f := st.Fleet
	fmt.Fprintf(w, "version   %d: %d routes, %d services\n", f.Version, len(f.Routes), len(f.Services))
	for i, r := range f.Routes {
		if i == routesShown {
			fmt.Fprintf(w, "route     and %d more\n", len(f.Routes)-routesShown)
			break
		}
		to := []string{}
		for _, s := range r.Split {
			if len(r.Split) == 1 {
				to = append(to, s.Service)
			} else {
				to = append(to, fmt.Sprintf("%s %d", s.Service, s.Weight))
			}
		}
		resumable := ""
		if r.Resumable {
			resumable = ", resumable"
		}
		fmt.Fprintf(w, "route     %s %s%s → %s: %s%s, %d ms, priority %d, %d attempts\n",
			r.Name, r.Host, r.Prefix, strings.Join(to, " + "), r.RetryClass, resumable, r.TimeoutMs, r.Priority, r.MaxAttempts)
	}
	for _, s := range f.Services {
		fmt.Fprintf(w, "service   %s: %d replicas", s.Name, s.Replicas)
		if s.Models > 0 {
			fmt.Fprintf(w, ", %d models", s.Models)
		}
		if s.MaxConnections > 0 {
			fmt.Fprintf(w, ", %d connections each", s.MaxConnections)
		}
		fmt.Fprintln(w)
	}
	if len(st.Gateways) == 0 {
		for _, d := range st.Demand {
			fmt.Fprintf(w, "gateway   %s zone %s at %s, reported %d ms ago, revision %d\n", d.Gateway, d.Zone, d.Addr, d.LastReportAgoMs, d.Revision)
		}
	}
	fmt.Fprintf(w, "gateways  %d live: %s\n", len(f.Gateways), strings.Join(f.Gateways, ", "))
	for _, r := range f.Replicas {
		fmt.Fprintln(w, replicaText(r))
	}
}

func replicaText(r controlnode.ReplicaStatus) string {
	text := fmt.Sprintf("replica   %s %s zone %s %s", r.ID, r.Service, r.Zone, r.State)
	if r.RemainingMs != nil {
		text += fmt.Sprintf(", %d ms left", *r.RemainingMs)
	}
	if r.Stage != "" {
		text += ", " + r.Stage
	}
	if r.HeartbeatAgeMs >= 0 {
		text += fmt.Sprintf(", last heartbeat %d ms ago", r.HeartbeatAgeMs)
	}
	if r.CapacityMb > 0 {
		text += fmt.Sprintf(": %d held, %d of %d MB", len(r.Units), r.ReservedMb, r.CapacityMb)
	}
	if r.Order != nil {
		text += fmt.Sprintf("; command %d: %s %s", r.Order.Number, r.Order.Action, r.Order.Unit)
	}
	return text
}

// gatewayStatus asks one gateway, at the address of its own port.
func gatewayStatus(cmd *cobra.Command, addr string, asJSON bool) error {
	a, err := askOne(cmd.Context(), http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil || asJSON {
		return show(cmd, a, err)
	}
	st, err := gatewayOf(a)
	if err == nil {
		printGateway(cmd.OutOrStdout(), st)
	}
	return err
}

func gatewayOf(a response) (gateway.Status, error) {
	st := gateway.Status{}
	if err := a.fault(); err != nil {
		return st, err
	}
	return st, errors.Trace(json.Unmarshal(a.body, &st))
}

func askGateways(ctx context.Context, w io.Writer, st controlnode.Status) {
	if len(st.Demand) == 0 {
		fmt.Fprintln(w, "no gateway reported to this control node: ask the leader")
	}
	for _, d := range st.Demand {
		a, err := askOne(ctx, http.MethodGet, "http://"+d.Addr+"/v1/status", nil)
		var of gateway.Status
		if err == nil {
			of, err = gatewayOf(a)
		}
		if err != nil {
			fmt.Fprintf(w, "work      %s gave no answer: %v\n", d.Gateway, err)
			continue
		}
		printGateway(w, of)
	}
}

func printGateway(w io.Writer, st gateway.Status) {
	open := 0
	for _, c := range st.Connections {
		open += c.Open
	}
	fmt.Fprintf(w, "work      %s zone %s: revision %d, %d calls, %d wait, %d connections to %d replicas\n",
		st.Gateway, st.Zone, st.Work.Revision, st.Work.Calls, st.Work.Waiting, open, len(st.Connections))
	for _, b := range st.Work.Budgets {
		fmt.Fprintf(w, "tries     %s at %s: %d of %d further ones sent for %d calls, a share among %d gateways\n", b.Service, st.Gateway, b.Retries, b.MaxRetries, b.Calls, b.Gateways)
	}
	if st.Quota != nil {
		for _, t := range st.Quota.Tenants {
			fmt.Fprintf(w, "tenant    %s at %s: %d admitted, %d over its limit, %d without an answer\n", t.Tenant, st.Gateway, t.Admitted, t.OverLimit, t.Unanswered)
		}
	}
	for _, replica := range slices.Sorted(maps.Keys(st.Connections)) {
		if c := st.Connections[replica]; c.Open >= c.Max {
			fmt.Fprintf(w, "full      %s has all its %d connections to %s open\n", st.Gateway, c.Max, replica)
		}
	}
}
