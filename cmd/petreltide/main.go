package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"petreltide/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "petreltide:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "petreltide",
		Short:         "Route calls to model replicas, place models on them, and compare placement policies",
		Long:          "petreltide is one program; the role is a subcommand.\n\n  control-node   a core machine: chain of shared state, controller, operators' interface\n  gateway        a front machine: takes calls and streams answers\n\nThe other subcommands are the operators'. They talk to any control node.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(controlNodeCommand(), gatewayCommand(), applyCommand(), diffCommand(), zoneCommand(), statusCommand(), queryCommand(), compareCommand(), replayCommand(), memberCommand(), platform.Command())
	cmd.AddCommand(deprecatedCommand(controlNodeCommand(), "office"), deprecatedCommand(gatewayCommand(), "desk"))
	return cmd
}
