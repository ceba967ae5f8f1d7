package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/api/configuration"
	"petreltide/tests/fleet"
	"petreltide/tests/modelserver"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "fleet", Short: "Run the real processes with stand-ins around them", SilenceUsage: true}
	root.AddCommand(modelServerCommand(), runCommand(), soakCommand(), measureCommand(), compareCommand(), platformCommand(), capacityCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func modelServerCommand() *cobra.Command {
	o := modelserver.Options{}
	var listen, store, journal string
	cmd := &cobra.Command{
		Use:   "model-server",
		Short: "A stand-in model replica",
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Trace(err)
			}
			o.LoadUs = func(sizeMb int64) int64 { return 60_000 + sizeMb*100 }
			o.Fetch = store != ""
			if journal != "" {
				file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
				if err != nil {
					return errors.Trace(err)
				}
				o.Journal = func(line modelserver.Line) {
					raw, err := json.Marshal(line)
					if err != nil {
						panic(err)
					}
					if _, err := file.Write(append(raw, '\n')); err != nil {
						panic(err)
					}
				}
			}
			return modelserver.NewHost(modelserver.NewCore(o), store).Serve(cmd.Context(), l)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.ID, "id", "", "replica id")
	flags.StringVar(&o.Incarnation, "inc", "", "incarnation")
	flags.StringVar(&o.Zone, "zone", "", "zone")
	flags.StringVar(&listen, "listen", "", "IP:port")
	flags.Int64Var(&o.RoomMb, "room", 81920, "room in MB")
	flags.IntVar(&o.Slots, "slots", 16, "attempts at once")
	flags.Int64Var(&o.FirstUs, "first-us", 20_000, "time to a first piece with a warm prefix")
	flags.Int64Var(&o.PartUs, "part-us", 15_000, "time more for each cold prefix part")
	flags.Int64Var(&o.PieceUs, "piece-us", 8_000, "time between pieces")
	flags.StringVar(&store, "store", "", "IP:port of the weight store")
	flags.StringVar(&journal, "journal", "", "file that notes every run and order")
	return cmd
}

func declaration(path string) (*configuration.Declaration, string, error) {
	raw, err := configuration.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	d, bad := configuration.Decode(raw)
	if bad != nil {
		return nil, "", bad
	}
	return d, string(raw), nil
}

type setting struct {
	deployment, examples, binary, folder string
	relays                               bool
	seed                                 int64
}

func (s *setting) flags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&s.deployment, "deployment", "vasilev", "vasilev or kaardilind")
	flags.StringVar(&s.examples, "examples", "examples", "folder of example declarations")
	flags.StringVar(&s.binary, "petreltide", "bin/petreltide", "the program")
	flags.StringVar(&s.folder, "folder", "", "where data and logs go; default: a temporary folder")
}

func (s *setting) open() (*fleet.Fleet, *configuration.Declaration, string, error) {
	doc, raw, err := declaration(filepath.Join(s.examples, s.deployment+".yaml"))
	if err != nil {
		return nil, nil, "", err
	}
	if s.folder == "" {
		if s.folder, err = os.MkdirTemp("", "petreltide-fleet-"); err != nil {
			return nil, nil, "", errors.Trace(err)
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, "", errors.Trace(err)
	}
	plan := fleet.PlanFor(s.deployment, doc)
	plan.Petreltide, plan.Self, plan.Folder, plan.Relays, plan.Seed = s.binary, self, s.folder, s.relays, s.seed
	f, err := fleet.New(plan)
	return f, doc, raw, err
}

func measureCommand() *cobra.Command {
	var s setting
	var only []string
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure added latency, rate, fail-over, notices and changes in one run",
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, doc, raw, err := s.open()
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(s.folder) }()
			defer f.Stop()
			return fleet.Measure(cmd.Context(), f, doc, raw, only, cmd.OutOrStdout())
		},
	}
	s.flags(cmd)
	cmd.Flags().StringSliceVar(&only, "only", nil, "just these: added, rate, notice, change, failover, or bounds, which is long")
	return cmd
}

// day plays a plan and keeps the folder, with every process's log ring, where something went wrong.
func (s *setting) day(cmd *cobra.Command, keep bool, plan fleet.DayPlan) error {
	f, doc, raw, err := s.open()
	if err != nil {
		return err
	}
	defer f.Stop()
	out := cmd.OutOrStdout()
	breaches, err := fleet.Day(cmd.Context(), f, doc, raw, plan, out)
	for _, b := range breaches {
		fmt.Fprintf(out, "BROKEN %s\n", b)
	}
	if err == nil && len(breaches) > 0 {
		err = errors.Errorf("%d rule(s) broken, first: %s", len(breaches), breaches[0].Rule)
	}
	fmt.Fprintf(out, "faults caused: %v\n", f.Caused)
	if err != nil || keep {
		f.SaveLogs(cmd.Context())
		fmt.Fprintf(out, "folder kept: %s\n", s.folder)
		return err
	}
	fmt.Fprintln(out, "no rule broken")
	return os.RemoveAll(s.folder)
}

func soakCommand() *cobra.Command {
	var s setting
	var rate, minutes float64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Draw faults from a seed under demand, through relays, for as long as said",
		Long: `Draw faults from a seed under demand, through relays, and check every rule. Disk faults need a
program built for them:

  go build -tags diskfaults -o bin/petreltide-faulty ./cmd/petreltide
  bin/fleet soak --petreltide bin/petreltide-faulty --deployment kaardilind --seed 3 --minutes 20`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.relays = true
			return s.day(cmd, false, fleet.DayPlan{PerSecond: rate, Span: 3 * time.Second, Seed: s.seed, Soak: time.Duration(minutes * float64(time.Minute))})
		},
	}
	s.flags(cmd)
	cmd.Flags().Int64Var(&s.seed, "seed", 1, "seed of demand and faults")
	cmd.Flags().Float64Var(&minutes, "minutes", 10, "how long faults are caused")
	cmd.Flags().Float64Var(&rate, "rate", 60, "calls per second")
	return cmd
}

func runCommand() *cobra.Command {
	var s setting
	var faults string
	var rate float64
	var seconds int
	var keep bool
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Bring up a deployment, send demand, and check the rules",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.day(cmd, keep, fleet.DayPlan{
				PerSecond: rate, Span: time.Duration(seconds) * time.Second, Seed: s.seed, Faults: strings.Fields(strings.ReplaceAll(faults, ",", " ")),
			})
		},
	}
	s.flags(cmd)
	cmd.Flags().BoolVar(&s.relays, "relays", false, "let every pipe run through a relay of the harness, as cuts need it")
	flags := cmd.Flags()
	flags.StringVar(&faults, "faults", "", "faults to cause in turn: "+strings.Join(fleet.FaultNames(), ", "))
	flags.Float64Var(&rate, "rate", 60, "calls per second")
	flags.IntVar(&seconds, "seconds", 20, "time under demand")
	flags.Int64Var(&s.seed, "seed", 1, "seed of the demand and of whom faults befall")
	flags.BoolVar(&keep, "keep", false, "keep the folder")
	return cmd
}
