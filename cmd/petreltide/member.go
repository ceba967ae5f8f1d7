package main

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"petreltide/internal/controlplane/controlnode"
)

func memberCommand() *cobra.Command {
	o := &controlNodes{}
	cmd := &cobra.Command{
		Use:   "member",
		Short: "See, add, replace and remove control nodes",
		Long: `See who holds votes and copies, and order changes of members. One order stands at a time; it is kept
in the chain, outlives whoever took it, and waits until it can be carried out safely. The same
--change sent again is never taken twice.

  petreltide member list
  petreltide member add core-4        then start an empty control-node --name core-4 --founding 0
  petreltide member replace core-2    of a lost control node: start an empty one under its name, no order needed
  petreltide member replace core-2 --even-alive
  petreltide member remove core-4
  petreltide member cancel`,
	}
	cmd.AddCommand(
		memberListCommand(o),
		memberOrderCommand(o, "add", "Take in one more control node"),
		memberOrderCommand(o, "replace", "Let an empty control node of the same name take another's place"),
		memberOrderCommand(o, "remove", "Take a control node's vote and seat"),
		memberOrderCommand(o, "cancel", "Take back the order that waits"),
	)
	return cmd
}

func memberListCommand(o *controlNodes) *cobra.Command {
	cmd := &cobra.Command{
		Use: "list", Short: "Who holds votes, seats and copies, and what a change waits for", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st := controlnode.Status{}
			if _, err := read(cmd.Context(), o, "/v1/status", &st); err != nil {
				return err
			}
			printMembers(cmd, st)
			return nil
		},
	}
	o.flag(cmd)
	return cmd
}

// memberOrderCommand orders one change of members; cancel is the only one that names no control node.
func memberOrderCommand(o *controlNodes, act, about string) *cobra.Command {
	var change string
	var evenAlive bool
	cmd := &cobra.Command{Use: act + " NAME", Short: about, Args: cobra.ExactArgs(1)}
	if act == "cancel" {
		cmd.Use, cmd.Args = act, cobra.NoArgs
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		path := "/v1/members/" + url.PathEscape(append(args, "-")[0]) + "/" + act + "?change=" + url.QueryEscape(change)
		if evenAlive {
			path += "&even-alive=true"
		}
		a, err := o.ask(cmd.Context(), http.MethodPost, path, nil)
		return show(cmd, a, err)
	}
	o.flag(cmd)
	cmd.Flags().StringVar(&change, "change", "", "change id, to send the same order again safely")
	if act == "replace" {
		cmd.Flags().BoolVar(&evenAlive, "even-alive", false, "also if the control node is alive and has its seat")
	}
	return cmd
}

// printMembers shows who holds votes, seats and copies, and the order about members that stands.
func printMembers(cmd *cobra.Command, st controlnode.Status) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "view %d, seen by %s\n", st.View.Number, st.ControlNode.ID)
	states := map[string]string{st.ControlNode.ID: fmt.Sprintf("%s, log up to %d", st.Phase, st.LastIndex)}
	for _, p := range st.Peers {
		states[p.Member.ID] = fmt.Sprintf("%s, log up to %d, heard %d ms ago", p.Phase, p.LastIndex, p.LastHelloAgoMs)
	}
	for _, v := range st.View.Voters {
		position := "no seat"
		for i, s := range st.View.Replicas {
			if s.ID == v.ID {
				position = fmt.Sprintf("seat %d of %d", i+1, len(st.View.Replicas))
			}
		}
		state := states[v.ID]
		if state == "" {
			state = "not heard"
		}
		fmt.Fprintf(out, "vote   %-10s %-22s %s, zone %s, %s: %s\n", v.Name, v.ID, v.Addr, v.Zone, position, state)
		delete(states, v.ID)
	}
	for _, p := range st.Peers {
		if _, left := states[p.Member.ID]; left {
			fmt.Fprintf(out, "other  %-10s %-22s %s: %s\n", p.Member.Name, p.Member.ID, p.Member.Addr, states[p.Member.ID])
		}
	}
	if st.MembershipChange != nil {
		waits := st.MembershipChangeWaitReason
		if waits == "" {
			waits = "nothing: it is being written off"
		}
		fmt.Fprintf(out, "order  %s %s %s waits for %s\n", st.MembershipChange.Action, st.MembershipChange.Name, st.MembershipChange.ID, waits)
	}
}
