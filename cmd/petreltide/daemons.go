package main

import (
	"os"
	"slices"

	"github.com/spf13/cobra"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/logring"
)

func controlNodeCommand() *cobra.Command {
	set := settings.ControlNode{HandoverTimeoutMs: 3000}
	machine := location{&set.Name, &set.Listen, &set.Advertise, &set.Zone, &set.Seeds}
	var file string
	cmd := &cobra.Command{
		Use:   "control-node",
		Short: "Run a core machine",
		Long: `Run a core machine: one member of the chain that keeps the configuration, tickets,
notices and epochs. Give it a settings file, flags, or both; a flag wins over the file.

Settings file (YAML or JSON), with the same names as the flags:

  name: core-a
  listen: 10.0.1.5:7100
  zone: a
  seeds: [10.0.1.5:7100, 10.0.2.5:7100, 10.0.3.5:7100]
  data: /var/lib/petreltide
  platform: 10.0.9.1:8080
  founding: 3

founding is the number of empty control nodes that must meet before they begin a new chain. Leave it
out (0) for a control node that may only join a chain that exists, such as a replacement.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			laid := set
			if f := machine.read(cmd, file, &set); f != nil {
				return f
			}
			override(cmd, "data", &set.DataDir, laid.DataDir)
			override(cmd, "platform", &set.Platform, laid.Platform)
			override(cmd, "founding", &set.FoundingSize, laid.FoundingSize)
			return runControlNode(cmd, set)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "settings", "", "settings file (YAML or JSON)")
	machine.flags(cmd, "this control node's name, unique in the fleet; a replacement takes the lost one's name")
	flags.StringVar(&set.DataDir, "data", "", "data folder")
	flags.StringVar(&set.Platform, "platform", "", "IP:port of the platform's replica list")
	flags.IntVar(&set.FoundingSize, "founding", 0, "how many empty control nodes begin a new chain together; 0: only join one")
	return cmd
}

// runControlNode checks the settings and runs a control node until it is told to end.
func runControlNode(cmd *cobra.Command, set settings.ControlNode) error {
	if f := set.Check(); f != nil {
		return f
	}
	ring := logring.NewRing(set.DataDir, os.Stderr)
	host, err := controlnode.Open(set, ring)
	if err != nil {
		return err
	}
	return run(cmd, ring, host.Run)
}

func gatewayCommand() *cobra.Command {
	set := settings.Gateway{MaxQueue: 512, MaxBodyKB: 1024, DrainMs: 30_000}
	machine := location{&set.Name, &set.Listen, &set.Advertise, &set.Zone, &set.Seeds}
	var file string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a front machine",
		Long: `Run a front machine: it takes calls over HTTP, sends them to replicas under granted attempt
numbers, and streams the answers back. It keeps nothing on disk.

  petreltide gateway --name front-1 --listen 10.0.1.20:8000 --zone a \
    --seeds 10.0.1.5:7100,10.0.2.5:7100,10.0.3.5:7100

On SIGTERM it takes no new calls and gives those it has --drain-ms to end.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			laid := set
			if f := machine.read(cmd, file, &set); f != nil {
				return f
			}
			override(cmd, "backlog-max", &set.MaxQueue, laid.MaxQueue)
			override(cmd, "body-max-kb", &set.MaxBodyKB, laid.MaxBodyKB)
			override(cmd, "drain-ms", &set.DrainMs, laid.DrainMs)
			if f := set.Check(); f != nil {
				return f
			}
			ring := logring.NewRing("", os.Stderr)
			return run(cmd, ring, gateway.Open(set, ring).Run)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "settings", "", "settings file (YAML or JSON)")
	machine.flags(cmd, "this gateway's name, unique in the fleet")
	flags.IntVar(&set.MaxQueue, "backlog-max", set.MaxQueue, "most calls that may wait here")
	flags.IntVar(&set.MaxBodyKB, "body-max-kb", set.MaxBodyKB, "largest call body taken, in KiB")
	flags.Int64Var(&set.DrainMs, "drain-ms", set.DrainMs, "time for open calls to end after SIGTERM")
	return cmd
}

// location is what every process is told of where it is.
type location struct {
	name, listen, advertise, zone *string
	seeds                         *[]string
}

func (p location) flags(cmd *cobra.Command, unique string) {
	flags := cmd.Flags()
	flags.StringVar(p.name, "name", "", unique)
	flags.StringVar(p.listen, "listen", "", "IP:port to listen on")
	flags.StringVar(p.advertise, "advertise", "", "IP:port that others reach this process at, where it is not the one it listens on")
	flags.StringVar(p.zone, "zone", "", "zone this machine is in")
	flags.StringSliceVar(p.seeds, "seeds", nil, "up to three IP:port of other processes, for first contact only")
}

// read reads a settings file, and lays on it what the flags said of the place.
func (p location) read(cmd *cobra.Command, file string, into any) *fault.Fault {
	name, listen, advertise, zone, seeds := *p.name, *p.listen, *p.advertise, *p.zone, slices.Clone(*p.seeds)
	if f := settings.Read(file, into); f != nil {
		return f
	}
	override(cmd, "name", p.name, name)
	override(cmd, "listen", p.listen, listen)
	override(cmd, "advertise", p.advertise, advertise)
	override(cmd, "zone", p.zone, zone)
	override(cmd, "seeds", p.seeds, seeds)
	return nil
}

// override lets a flag that was given win over the file.
func override[T any](cmd *cobra.Command, flag string, into *T, value T) {
	if cmd.Flags().Changed(flag) {
		*into = value
	}
}

func run(cmd *cobra.Command, ring *logring.Ring, serve func(serveContext) error) error {
	defer func() {
		if r := recover(); r != nil {
			ring.Dump("panic")
			panic(r)
		}
	}()
	if err := serve(cmd.Context()); err != nil {
		return fault.New(fault.NotServing, cmd.Name(), "%v", err)
	}
	return nil
}
