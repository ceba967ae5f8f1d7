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

	"petreltide/internal/api/fault"
	"petreltide/tests/capacity"
)

// head is the commit of the folder that this runs in, where it is one.
func head() string {
	raw, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(raw))
}

const (
	minWindowS = 1.0
	maxWindowS = 600.0
	warmSpan   = 5 * time.Second
	readySpan  = 45 * time.Second
	csvName    = "capacity.csv"
)

// capacityRun is what the capacity command was told.
type capacityRun struct {
	plan    capacity.Plan
	out     string
	windowS float64
	axes    []string
}

func capacityCommand() *cobra.Command {
	c := &capacityRun{plan: capacity.Plan{Size: capacity.Small, Axis: "one"}}
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what each role needs as the fleet grows",
		Long: `Run real control nodes and gateways against hollow gateways and hollow replicas, many in this one process, over real
connections with real messages. Prints a table and writes OUT/capacity.csv and plots. Without --axis one fleet of the
sizes given is measured; "--axis all" plays every axis, "--axis replicas,desks" only those, and keeps the rows that
OUT/capacity.csv has of the others. "capacity page" writes the tables of docs/CAPACITY.md anew from the CSV.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plans, err := c.plans()
			if err != nil {
				return err
			}
			return c.measure(cmd, plans)
		},
	}
	c.flags(cmd)
	cmd.AddCommand(capacityPageCommand())
	return cmd
}

func (c *capacityRun) flags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&c.plan.Petreltide, "petreltide", "bin/petreltide", "the program")
	flags.StringVar(&c.out, "out", "", "folder for the CSV and the plots")
	flags.StringSliceVar(&c.axes, "axis", nil, "all, or some of the axes; without it the one size given")
	flags.IntVar(&c.plan.ControlNodes, "offices", c.plan.ControlNodes, "offices")
	flags.IntVar(&c.plan.Gateways, "desks", c.plan.Gateways, "hollow desks")
	flags.IntVar(&c.plan.RealGateways, "real-desks", c.plan.RealGateways, "real desks beside them")
	flags.IntVar(&c.plan.Replicas, "replicas", c.plan.Replicas, "hollow replicas")
	flags.IntVar(&c.plan.Models, "models", c.plan.Models, "models")
	flags.IntVar(&c.plan.Adapters, "adapters", c.plan.Adapters, "adapters of all models together")
	flags.IntVar(&c.plan.Running, "running", c.plan.Running, "requests under way at each desk")
	flags.Float64Var(&c.plan.ChangesPerS, "changes", c.plan.ChangesPerS, "changes of the configuration a second")
	flags.Float64Var(&c.plan.LoadsPerS, "loads", c.plan.LoadsPerS, "loads of models a second that the store allows")
	flags.IntVar(&c.plan.HeartbeatMs, "heartbeat-ms", c.plan.HeartbeatMs, "time between a replica's heartbeats")
	flags.IntVar(&c.plan.Regions, "regions", 3, "regions that the zones lie in")
	flags.StringSliceVar(&c.plan.Faults, "faults", capacity.FaultNames(), "faults to cause after the measured window where everything grows together")
	flags.StringVar(&c.plan.Code, "code", head(), "the commit that is measured, as the CSV names it")
	flags.Float64Var(&c.windowS, "window", 10, "seconds measured")
}

// plans checks what was told, and gives the fleets to measure; all of them must fit this machine.
func (c *capacityRun) plans() ([]capacity.Plan, error) {
	if bad := capacity.Writable(c.out); bad != nil {
		return nil, bad
	}
	if !(c.windowS >= minWindowS && c.windowS <= maxWindowS) {
		return nil, fault.New(fault.BadField, "window", "%v s is not within %v and %v", c.windowS, minWindowS, maxWindowS)
	}
	c.plan.Window, c.plan.Warm, c.plan.Ready = time.Duration(c.windowS*float64(time.Second)), warmSpan, readySpan
	plans, bad := c.alongAxes()
	if bad != nil {
		return nil, bad
	}
	if bad := capacity.CheckFaults(c.plan.Faults); bad != nil {
		return nil, bad
	}
	machine, err := capacity.ThisMachine()
	if err != nil {
		return nil, err
	}
	for i := range plans {
		if bad := plans[i].Check(machine); bad != nil {
			return nil, bad
		}
	}
	return plans, nil
}

// alongAxes gives the plans of the axes that were named, or the one plan where none was.
func (c *capacityRun) alongAxes() ([]capacity.Plan, *fault.Fault) {
	if len(c.axes) == 0 {
		return []capacity.Plan{c.plan}, nil
	}
	axes := c.axes
	if len(axes) == 1 && axes[0] == "all" {
		axes = nil
	}
	chosen, bad := capacity.Select(axes)
	if bad != nil {
		return nil, bad
	}
	return capacity.Plans(chosen, c.plan), nil
}

// measure plays the plans and saves the CSV after each, then the plots.
func (c *capacityRun) measure(cmd *cobra.Command, plans []capacity.Plan) error {
	folder, err := os.MkdirTemp("", "petreltide-capacity-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	for i := range plans {
		plans[i].Folder = folder
	}
	file := filepath.Join(c.out, csvName)
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
	return capacity.Plots(c.out, runs)
}

func capacityPageCommand() *cobra.Command {
	var page string
	cmd := &cobra.Command{
		Use:   "page",
		Short: "Write the page's tables and the plots anew from the CSV",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return rewritePage(cmd, page)
		},
	}
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	return cmd
}

// rewritePage writes a page's tables and plots anew from the CSV beside it.
func rewritePage(cmd *cobra.Command, page string) error {
	changed, err := capacity.WritePage(page)
	if err != nil {
		return err
	}
	file := filepath.Join(filepath.Dir(page), capacity.CSVFile)
	runs, err := capacity.LoadCSV(file)
	if err != nil {
		return err
	}
	if err := capacity.Plots(filepath.Dir(file), runs); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: %d tables, changed: %v\n", page, len(capacity.TableNames()), changed)
	return nil
}
