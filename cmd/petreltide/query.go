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

	"petreltide/internal/api/fault"
)

const queryHelp = `An expression over the fleet's state, in the language policies are written in:

  status     what the control node says of the view, leadership, gateways, replicas and policy
  state      the replicated state itself: configuration, commands, grants, notices, keys
  config     the declaration in force

  holders(unit)     replicas that hold a model or adapter
  why(unit)         count wanted, demand, holders, pending tickets and refusals for a model
  replicas("dark")  replicas by their heartbeats, in one state (ready, draining, dark, gone, unheard) or all
  routes("h", "/p") routes in force for a host (all where left out) whose prefix begins a path
  rows(list, "a", "b")   just these fields of each row

  petreltide query 'holders("tiny-captions")'
  petreltide query '[r["id"] for r in status["replicas"] if r.get("leaving")]'`

func queryCommand() *cobra.Command {
	o := &controlNodes{}
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
fleet = status.get("fleet") or {}

def holders(unit):
    if fleet:
        return [r["id"] for r in fleet["replicas"] if unit in r["units"]]
    return [r["id"] for r in status["replicas"] if unit in r["holds"]]

def replicas(state=None):
    return [r for r in fleet.get("replicas", []) if state in (None, r["state"])]

def routes(host=None, path=None):
    return [r for r in fleet.get("routes", []) if host in (None, r["host"]) and (path == None or path.startswith(r["prefix"]))]

def why(unit):
    counts = [c for c in (status.get("counts") or []) if c["model"] == unit]
    duty = fleet.get("duty") or {}
    return {
        "count": counts[0] if counts else None,
        "demand": (duty.get("needs") or {}).get(unit),
        "store": duty.get("store"),
        "holders": holders(unit),
        "pending": [t for t in status["pending"] if t["unit"] == unit],
        "verdicts": [v for v in (status["policy"].get("verdicts") or []) if v["proposal"]["unit"] == unit],
    }

def rows(items, *fields):
    return [{f: i.get(f) for f in fields} for i in items]
`

// pages are what an expression may read; the ledger and the declaration only where it names them.
func pages(dialect *syntax.FileOptions, text string) (map[string]string, error) {
	expr, err := dialect.ParseExpr("query", text, 0)
	if err != nil {
		return nil, fault.New(fault.BadField, "query", "%v", err)
	}
	paths := map[string]string{"status": "/v1/status"}
	syntax.Walk(expr, func(n syntax.Node) bool {
		if id, ok := n.(*syntax.Ident); ok && (id.Name == "state" || id.Name == "config") {
			paths[id.Name] = "/v1/" + id.Name
		}
		return true
	})
	return paths, nil
}

func query(cmd *cobra.Command, o *controlNodes, text string) error {
	globals := starlark.StringDict{}
	thread := &starlark.Thread{Name: "query"}
	thread.SetMaxExecutionSteps(50_000_000)
	dialect := &syntax.FileOptions{Set: true}
	paths, err := pages(dialect, text)
	if err != nil {
		return err
	}
	for name, path := range paths {
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
