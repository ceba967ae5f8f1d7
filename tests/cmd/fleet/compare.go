package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/placement"
	"petreltide/tests/simulator"
)

const (
	minSeeds  = 2
	seedsMost = 1000
	minSpan   = 5 * time.Second
)

// simulatedComparison is what the compare command was told.
type simulatedComparison struct {
	files                             []string
	seeds, faults, gateways, replicas int
	span                              time.Duration
	rate                              float64
}

func compareCommand() *cobra.Command {
	c := &simulatedComparison{}
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
			contest, err := c.contest(args[0])
			if err != nil {
				return err
			}
			figures, breaches := simulator.ComparePolicies(contest)
			simulator.Report(cmd.OutOrStdout(), contest, figures)
			if len(breaches) > 0 {
				return fault.New(fault.PolicyFailed, "", "%d rule(s) broken, first: %s", len(breaches), breaches[0])
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&c.files, "policy", nil, "policy program; give it twice or more, the first is held against")
	flags.IntVar(&c.seeds, "seeds", 8, "paired runs")
	flags.DurationVar(&c.span, "span", 60*time.Second, "simulated time under demand")
	flags.Float64Var(&c.rate, "rate", 60, "calls per second over the fleet")
	flags.IntVar(&c.faults, "faults", 4, "replicas lost or noticed and crowds in each run")
	flags.IntVar(&c.gateways, "desks", 4, "simulated desks")
	flags.IntVar(&c.replicas, "replicas", 9, "simulated replicas")
	return cmd
}

// contest checks what was told, and reads the declaration and the policies.
func (c *simulatedComparison) contest(declaration string) (simulator.PolicyComparison, error) {
	contest := simulator.PolicyComparison{DurationUs: c.span.Microseconds(), CallsPerSecond: c.rate, Faults: c.faults, Gateways: c.gateways, Replicas: c.replicas}
	raw, err := configuration.ReadFile(declaration)
	if err != nil {
		return contest, err
	}
	doc, bad := configuration.Parse(raw, placement.Compile)
	if bad != nil {
		return contest, bad
	}
	contest.Declaration = doc
	if len(c.files) < 2 {
		return contest, fault.New(fault.BadField, "policy", "name two policies or more")
	}
	if c.seeds < minSeeds || c.seeds > seedsMost || c.span < minSpan || c.rate <= 0 || c.gateways < 1 || c.replicas < 1 {
		return contest, fault.New(fault.BadField, "", "needs 2 to 1000 seeds, 5 s of span or more, a rate, desks and replicas above 0")
	}
	for i, file := range c.files {
		policy, err := readPolicy(file, i, contest.Policies)
		if err != nil {
			return contest, err
		}
		contest.Policies = append(contest.Policies, policy)
	}
	for i := 1; i <= c.seeds; i++ {
		contest.Seeds = append(contest.Seeds, int64(i))
	}
	return contest, nil
}

// readPolicy reads a program, named by its file, and by its place too where an earlier one has that name.
func readPolicy(file string, place int, earlier []configuration.Policy) (configuration.Policy, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return configuration.Policy{}, errors.Trace(err)
	}
	name := strings.TrimSuffix(filepath.Base(file), ".star")
	for _, p := range earlier {
		if p.Name == name {
			name = fmt.Sprintf("%s-%d", name, place+1)
		}
	}
	if bad := placement.Compile(name, string(source)); bad != nil {
		return configuration.Policy{}, bad
	}
	return configuration.Policy{Name: name, Source: string(source)}, nil
}
