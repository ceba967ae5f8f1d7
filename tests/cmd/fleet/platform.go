package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/tests/platform/fleet"
)

// platformCommand plays a day of real processes on the users' platform.
func platformCommand() *cobra.Command {
	plan := fleet.Plan{ControlNodes: 3, Gateways: 3, Cards: 4, Logs: 2}
	var faults string
	var seconds int
	var keep bool
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run `petreltide platform` with stand-in replicas, clients and operators, and judge the rules",
		RunE: func(cmd *cobra.Command, _ []string) error {
			folder, err := os.MkdirTemp("", "petreltide-platform-")
			if err != nil {
				return errors.Trace(err)
			}
			plan.Folder, plan.Span = folder, time.Duration(seconds)*time.Second
			plan.Faults = strings.Fields(strings.ReplaceAll(faults, ",", " "))
			f, err := fleet.New(plan)
			if err != nil {
				return err
			}
			defer f.Stop()
			out := cmd.OutOrStdout()
			breaches, _, err := f.Play(cmd.Context(), out)
			for _, b := range breaches {
				fmt.Fprintf(out, "BROKEN %s\n", b)
			}
			if err == nil && len(breaches) > 0 {
				err = errors.Errorf("%d breach(es), first: %s", len(breaches), breaches[0].Rule)
			}
			if err != nil || keep {
				fmt.Fprintf(out, "folder kept: %s\n", folder)
				return err
			}
			fmt.Fprintln(out, "no rule broken")
			return os.RemoveAll(folder)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&plan.Petreltide, "petreltide", "bin/petreltide", "the program")
	flags.StringVar(&faults, "faults", "", "faults to cause in turn: "+strings.Join(fleet.FaultNames(), ", "))
	flags.Float64Var(&plan.PerSecond, "rate", 40, "requests per second")
	flags.IntVar(&seconds, "seconds", 15, "time under demand")
	flags.Int64Var(&plan.Seed, "seed", 1, "seed of the demand and of whom faults befall")
	flags.BoolVar(&plan.Tenants, "tenants", false, "declare tenants with keys and limits")
	flags.BoolVar(&plan.Closing, "closing", false, "end with everything killed right after a change was acknowledged")
	flags.BoolVar(&keep, "keep", false, "keep the folder")
	flags.BoolVar(&plan.Aloud, "aloud", false, "let the processes write every line of their logs")
	return cmd
}
