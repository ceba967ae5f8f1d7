package main

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"petreltide/internal/api/fault"
	"petreltide/internal/operator/replay"
	"petreltide/internal/process/rpc"
)

func replayCommand() *cobra.Command {
	var gateway string
	var speed float64
	cmd := &cobra.Command{
		Use:   "replay FILE.har --gateway IP:port",
		Short: "Send the calls recorded in a HAR file to a gateway and sum what became of them",
		Long: `Send every POST to /v1/calls that a HAR file holds to a gateway, at the pace at which they were
recorded or a factor of it, and sum the outcomes by kind. Idempotency keys are not sent again.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if speed <= 0 || gateway == "" {
				return fault.New(fault.BadField, "", "name a --gateway, and a --pace above 0")
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fault.New(fault.NotFound, "har", "%v", err)
			}
			calls, bad := replay.Read(raw)
			if bad != nil {
				return bad
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-16s %7s %7s %10s %10s  others\n", "kind", "calls", "ended", "first p50", "p95")
			for _, row := range replay.Play(cmd.Context(), rpc.Client(1000, ""), gateway, calls, speed) {
				codes := []string{}
				for code, n := range row.Codes {
					codes = append(codes, fmt.Sprintf("%s %d", code, n))
				}
				sort.Strings(codes)
				fmt.Fprintf(out, "%-16s %7d %7d %8.0fms %8.0fms  %s\n", row.Kind, row.Calls, row.Ended, row.FirstMs(0.5), row.FirstMs(0.95), strings.Join(codes, ", "))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&gateway, "gateway", "", "IP:port of the gateway")
	deprecateFlag(cmd, "desk", "gateway")
	cmd.Flags().Float64Var(&speed, "pace", 1, "2 is twice as fast as recorded")
	return cmd
}
