// Command experiment plays variants of the program on the same days of the users' bench, and prints by how much each
// differs from the first.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"petreltide/tests/experiment"
)

// options are the flags.
type options struct {
	bench, repo, out, why string
	sites, days, variants []string
	seeds                 []int64
	jobs                  int
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Play variants of the program on the same days and compare what they earn",
		Args:  cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.bench, "bench", "", "the users' bench, a program")
	flags.StringVar(&o.repo, "repo", ".", "the repository; what is committed there is played")
	flags.StringVar(&o.out, "out", "", "a folder for clones, reports and results.csv; a new one in the temporary folder if left out")
	flags.StringVar(&o.why, "why", "experiment", "why it is played, for the journal")
	flags.StringSliceVar(&o.sites, "site", nil, "site files")
	flags.StringSliceVar(&o.days, "day", nil, "names of days, or files of days")
	flags.Int64SliceVar(&o.seeds, "seed", []int64{0}, "seeds; 0 is a day's own")
	flags.StringArrayVar(&o.variants, "variant", nil, "NAME=MECHANISM,...: the program with these mechanisms off; others are compared with the first")
	flags.IntVar(&o.jobs, "jobs", 2, "days that are played at once")
	for _, name := range []string{"bench", "site", "day", "variant"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	if cmd.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}

func (o options) plan() (experiment.Plan, error) {
	plan := experiment.Plan{Jobs: o.jobs}
	for _, text := range o.variants {
		v, bad := experiment.ParseVariant(text)
		if bad != nil {
			return plan, bad
		}
		plan.Variants = append(plan.Variants, v)
	}
	for _, site := range o.sites {
		path, err := filepath.Abs(site)
		if err != nil {
			return plan, err
		}
		for _, day := range o.days {
			for _, seed := range o.seeds {
				plan.Days = append(plan.Days, experiment.Day{Site: path, Name: day, Seed: seed})
			}
		}
	}
	return plan, nil
}

func (o options) run(ctx context.Context) error {
	plan, err := o.plan()
	if err != nil {
		return err
	}
	bench, err := o.player()
	if err != nil {
		return err
	}
	results, errs := experiment.Run(ctx, plan, bench)
	file, err := os.Create(filepath.Join(bench.Folder, "results.csv"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := experiment.WriteCSV(file, results); err != nil {
		return err
	}
	for _, err := range errs {
		fmt.Println("not played:", err)
	}
	for _, d := range experiment.Compare(plan, results) {
		fmt.Println(d)
	}
	fmt.Println("results in", file.Name())
	return nil
}

// player is the bench, with its folder made.
func (o options) player() (*experiment.Bench, error) {
	program, err := filepath.Abs(o.bench)
	if err != nil {
		return nil, err
	}
	repo, err := filepath.Abs(o.repo)
	if err != nil {
		return nil, err
	}
	folder := o.out
	if folder == "" {
		folder, err = os.MkdirTemp("", "experiment-")
	} else if folder, err = filepath.Abs(folder); err == nil {
		err = os.MkdirAll(folder, 0o755)
	}
	if err != nil {
		return nil, err
	}
	return &experiment.Bench{Program: program, Repo: repo, Folder: folder, Why: o.why}, nil
}
