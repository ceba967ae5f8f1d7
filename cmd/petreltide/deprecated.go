package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// deprecatedCommand makes cmd answer to a name of earlier releases: it does the same, stands in no help text, and says
// on standard error which name to use.
func deprecatedCommand(cmd *cobra.Command, old string) *cobra.Command {
	cmd.Deprecated = fmt.Sprintf("use %q", cmd.Name())
	cmd.Use, cmd.Hidden = old, true
	return cmd
}

// deprecateFlag lets a flag's name of earlier releases set the same value as the flag of today. The old name stands in
// no help text, and its use is answered on standard error with today's name.
func deprecateFlag(cmd *cobra.Command, old, name string) {
	alias := *cmd.Flags().Lookup(name)
	alias.Name, alias.Hidden, alias.Deprecated = old, true, "use --"+name
	cmd.Flags().AddFlag(&alias)
}
