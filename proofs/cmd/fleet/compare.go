package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/fault"
	"petreltide/internal/placement"
	"petreltide/internal/standing"
	"petreltide/proofs/sim"
)

func compareCommand() *cobra.Command {
	var files []string
	var seeds, faults, desks, replicas int
	var span time.Duration
	var rate float64
	cmd := &cobra.Command{
		Use:   "compare DECLARATION",
		Short: "Play policies against each other on the same simulated demand and faults",
		Long: `Play two or more policies in the simulator, each on the same calls and the same faults, seed
by seed, over the models, adapters and kinds of a declaration. The first policy is what the others
are held against. A difference is said only where the interval of the paired differences leaves
zero out; of twenty figures of two equal policies about one may still be named by chance.

  fleet compare examples/vasilev.yaml --policy examples/policies/steady.star \
    --policy examples/policies/chaser.star --seeds 8`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := standing.ReadFile(args[0])
			if err != nil {
				return err
			}
			doc, bad := standing.Parse(raw, placement.Compile)
			if bad != nil {
				return bad
			}
			if len(files) < 2 {
				return fault.New(fault.BadField, "policy", "name two policies or more")
			}
			if seeds < 2 || seeds > 1000 || span < 5*time.Second || rate <= 0 || desks < 1 || replicas < 1 {
				return fault.New(fault.BadField, "", "needs 2 to 1000 seeds, 5 s of span or more, a rate, desks and replicas above 0")
			}
			contest := sim.Contest{Doc: doc, SpanUs: span.Microseconds(), PerSec: rate, Faults: faults, Desks: desks, Replicas: replicas}
			for i, file := range files {
				source, err := os.ReadFile(file)
				if err != nil {
					return errors.Trace(err)
				}
				name := strings.TrimSuffix(filepath.Base(file), ".star")
				for _, p := range contest.Policies {
					if p.Name == name {
						name = fmt.Sprintf("%s-%d", name, i+1)
					}
				}
				if bad := placement.Compile(name, string(source)); bad != nil {
					return bad
				}
				contest.Policies = append(contest.Policies, standing.Policy{Name: name, Source: string(source)})
			}
			for i := 1; i <= seeds; i++ {
				contest.Seeds = append(contest.Seeds, int64(i))
			}
			figures, breaches := sim.Hold(contest)
			sim.Report(cmd.OutOrStdout(), contest, figures)
			if len(breaches) > 0 {
				return fault.New(fault.PolicyFailed, "", "%d rule(s) broken, first: %s", len(breaches), breaches[0])
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&files, "policy", nil, "policy program; give it twice or more, the first is held against")
	flags.IntVar(&seeds, "seeds", 8, "paired runs")
	flags.DurationVar(&span, "span", 60*time.Second, "simulated time under demand")
	flags.Float64Var(&rate, "rate", 60, "calls per second over the fleet")
	flags.IntVar(&faults, "faults", 4, "replicas lost or noticed and crowds in each run")
	flags.IntVar(&desks, "desks", 4, "simulated desks")
	flags.IntVar(&replicas, "replicas", 9, "simulated replicas")
	return cmd
}
