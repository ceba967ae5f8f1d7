package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/fault"
	"petreltide/proofs/capacity"
)

// head is the commit of the folder that this runs in, where it is one.
func head() string {
	raw, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(raw))
}

func capacityCommand() *cobra.Command {
	plan := capacity.Plan{Size: capacity.Small, Axis: "one"}
	var out, page string
	var window float64
	var axes []string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what each role needs as the fleet grows",
		Long: `Run real offices and desks against hollow desks and hollow replicas, many in this one process, over real
connections with real messages. Prints a table and writes OUT/capacity.csv and plots. Without --axis one fleet of the
sizes given is measured; "--axis all" plays every axis, "--axis replicas,desks" only those, and keeps the rows that
OUT/capacity.csv has of the others. "capacity page" writes the tables of docs/CAPACITY.md anew from the CSV.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if bad := capacity.Writable(out); bad != nil {
				return bad
			}
			if !(window >= 1 && window <= 600) {
				return fault.New(fault.BadField, "window", "%v s is not within 1 and 600", window)
			}
			plan.Window, plan.Warm, plan.Ready = time.Duration(window*float64(time.Second)), 5*time.Second, 45*time.Second
			plans := []capacity.Plan{plan}
			if len(axes) > 0 {
				if len(axes) == 1 && axes[0] == "all" {
					axes = nil
				}
				chosen, bad := capacity.Select(axes)
				if bad != nil {
					return bad
				}
				plans = capacity.Plans(chosen, plan)
			}
			if bad := capacity.CheckFaults(plan.Faults); bad != nil {
				return bad
			}
			machine, err := capacity.ThisMachine()
			if err != nil {
				return err
			}
			for i := range plans {
				if bad := plans[i].Check(machine); bad != nil {
					return bad
				}
			}
			folder, err := os.MkdirTemp("", "petreltide-capacity-")
			if err != nil {
				return errors.Trace(err)
			}
			defer func() { _ = os.RemoveAll(folder) }()
			for i := range plans {
				plans[i].Folder = folder
			}
			file := filepath.Join(out, "capacity.csv")
			runs, err := capacity.KeptBut(file, plans)
			if err != nil {
				return err
			}
			err = capacity.Series(cmd.Context(), plans, cmd.ErrOrStderr(), func(r *capacity.Run) error {
				runs = append(runs, r)
				capacity.Print(cmd.OutOrStdout(), r)
				return capacity.SaveCSV(file, runs)
			})
			if err != nil {
				return err
			}
			return capacity.Plots(out, runs)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&plan.Petreltide, "petreltide", "bin/petreltide", "the program")
	flags.StringVar(&out, "out", "", "folder for the CSV and the plots")
	flags.StringSliceVar(&axes, "axis", nil, "all, or some of the axes; without it the one size given")
	flags.IntVar(&plan.Offices, "offices", plan.Offices, "offices")
	flags.IntVar(&plan.Desks, "desks", plan.Desks, "hollow desks")
	flags.IntVar(&plan.RealDesks, "real-desks", plan.RealDesks, "real desks beside them")
	flags.IntVar(&plan.Replicas, "replicas", plan.Replicas, "hollow replicas")
	flags.IntVar(&plan.Models, "models", plan.Models, "models")
	flags.IntVar(&plan.Adapters, "adapters", plan.Adapters, "adapters of all models together")
	flags.IntVar(&plan.Running, "running", plan.Running, "requests under way at each desk")
	flags.Float64Var(&plan.ChangesPerS, "changes", plan.ChangesPerS, "changes of the configuration a second")
	flags.Float64Var(&plan.LoadsPerS, "loads", plan.LoadsPerS, "loads of models a second that the store allows")
	flags.IntVar(&plan.HeartbeatMs, "heartbeat-ms", plan.HeartbeatMs, "time between a replica's heartbeats")
	flags.IntVar(&plan.Regions, "regions", 3, "regions that the zones lie in")
	flags.StringSliceVar(&plan.Faults, "faults", capacity.FaultNames(), "faults to cause after the measured window where everything grows together")
	flags.StringVar(&plan.Code, "code", head(), "the commit that is measured, as the CSV names it")
	flags.Float64Var(&window, "window", 10, "seconds measured")
	rewrite := &cobra.Command{
		Use:   "page",
		Short: "Write the page's tables and the plots anew from the CSV",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			changed, err := capacity.WritePage(page)
			if err != nil {
				return err
			}
			file := filepath.Join(filepath.Dir(page), capacity.CSVFile)
			runs, err := capacity.LoadCSV(file)
			if err == nil {
				err = capacity.Plots(filepath.Dir(file), runs)
			}
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d tables, changed: %v\n", page, len(capacity.TableNames()), changed)
			}
			return err
		},
	}
	rewrite.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	cmd.AddCommand(rewrite)
	return cmd
}
