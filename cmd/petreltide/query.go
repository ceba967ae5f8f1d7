package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	starlarkjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"petreltide/internal/fault"
)

const queryHelp = `An expression over the fleet's state, in the language policies are written in:

  status     what the office says of the view, duty, desks, replicas and policy
  state      the ledger itself: configuration, tickets, grants, notices, keys
  config     the declaration in force

  holders(unit)     replicas that hold a model or adapter
  why(unit)         count wanted, holders, pending tickets and refusals for a model
  rows(list, "a", "b")   just these fields of each row

  petreltide query 'holders("tiny-captions")'
  petreltide query '[r["id"] for r in status["replicas"] if r.get("leaving")]'`

func queryCommand() *cobra.Command {
	o := &offices{}
	cmd := &cobra.Command{
		Use:   "query [EXPRESSION]",
		Short: "A shell for queries on the fleet's state; one-shot with an expression",
		Long:  queryHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return query(cmd, o, args[0])
			}
			in := bufio.NewScanner(cmd.InOrStdin())
			fmt.Fprintln(cmd.ErrOrStderr(), "petreltide query: an expression a line, help, or quit")
			for fmt.Fprint(cmd.ErrOrStderr(), "> "); in.Scan(); fmt.Fprint(cmd.ErrOrStderr(), "> ") {
				switch line := strings.TrimSpace(in.Text()); line {
				case "":
				case "quit", "exit":
					return nil
				case "help":
					fmt.Fprintln(cmd.OutOrStdout(), queryHelp)
				default:
					if err := query(cmd, o, line); err != nil {
						fmt.Fprintln(cmd.ErrOrStderr(), err)
					}
				}
			}
			return errors.Trace(in.Err())
		},
	}
	o.flag(cmd)
	return cmd
}

const queryPrelude = `
def holders(unit):
    return [r["id"] for r in status["replicas"] if unit in r["holds"]]

def why(unit):
    counts = [c for c in (status.get("counts") or []) if c["model"] == unit]
    return {
        "count": counts[0] if counts else None,
        "holders": holders(unit),
        "pending": [t for t in status["pending"] if t["unit"] == unit],
        "verdicts": [v for v in (status["policy"].get("verdicts") or []) if v["proposal"]["unit"] == unit],
    }

def rows(items, *fields):
    return [{f: i.get(f) for f in fields} for i in items]
`

func query(cmd *cobra.Command, o *offices, text string) error {
	globals := starlark.StringDict{}
	thread := &starlark.Thread{Name: "query"}
	thread.SetMaxExecutionSteps(50_000_000)
	for name, path := range map[string]string{"status": "/v1/status", "state": "/v1/state", "config": "/v1/config"} {
		a, err := o.ask(cmd.Context(), http.MethodGet, path, nil)
		if err == nil {
			err = a.fault()
		}
		if err != nil {
			return err
		}
		value, err := starlark.Call(thread, starlarkjson.Module.Members["decode"], starlark.Tuple{starlark.String(a.body)}, nil)
		if err != nil {
			return errors.Trace(err)
		}
		globals[name] = value
	}
	dialect := &syntax.FileOptions{Set: true}
	helpers, err := starlark.ExecFileOptions(dialect, thread, "query", queryPrelude, globals)
	if err != nil {
		return errors.Trace(err)
	}
	for name, v := range helpers {
		globals[name] = v
	}
	value, err := starlark.EvalOptions(dialect, thread, "query", text, globals)
	if err != nil {
		return fault.New(fault.BadField, "query", "%v", err)
	}
	encoded, err := starlark.Call(thread, starlarkjson.Module.Members["encode"], starlark.Tuple{value}, nil)
	if err != nil {
		return fault.New(fault.BadField, "query", "%v", err)
	}
	return pretty(cmd.OutOrStdout(), string(encoded.(starlark.String)))
}

func pretty(w io.Writer, text string) error {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return errors.Trace(err)
	}
	if list, ok := v.([]any); ok && len(list) > 0 {
		for _, item := range list {
			if _, deep := item.(map[string]any); !deep {
				return indented(w, v)
			}
		}
		for _, item := range list {
			raw, err := json.Marshal(item)
			if err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintln(w, string(raw))
		}
		return nil
	}
	return indented(w, v)
}

func indented(w io.Writer, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(w, string(raw))
	return err
}
