package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/placement"
)

type serveContext = context.Context

type controlNodes struct {
	addrs []string
}

func (c *controlNodes) flag(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.addrs, "control-node", []string{"127.0.0.1:7100"}, "IP:port of control nodes to try in turn")
	deprecateFlag(cmd, "office", "control-node")
}

type response struct {
	status int
	body   []byte
}

// ask tries each control node in turn; only a control node that could not be reached is passed over.
func (c *controlNodes) ask(ctx context.Context, method, path string, body []byte) (response, error) {
	var last error
	for _, addr := range c.addrs {
		a, err := askOne(ctx, method, "http://"+addr+path, body)
		if err == nil {
			return a, nil
		}
		last = err
	}
	return response{}, fault.New(fault.NotServing, "control-node", "no control node answered: %v", last)
}

func askOne(ctx context.Context, method, url string, body []byte) (response, error) {
	ctx, done := context.WithTimeout(ctx, 15*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, errors.Trace(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return response{res.StatusCode, raw}, errors.Trace(err)
}

func (a response) fault() error {
	if a.status < 300 {
		return nil
	}
	wrapped := struct {
		Error *fault.Fault `json:"error"`
	}{}
	if json.Unmarshal(a.body, &wrapped) == nil && wrapped.Error != nil {
		return wrapped.Error
	}
	return fault.New(fault.NotServing, "", "status %d: %s", a.status, a.body)
}

// parseFile reads a declaration and checks it as a control node would.
func parseFile(path string) (*configuration.Declaration, error) {
	raw, err := configuration.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc, bad := configuration.Parse(raw, placement.Compile)
	if bad != nil {
		return nil, bad
	}
	return doc, nil
}

func applyCommand() *cobra.Command {
	o := &controlNodes{}
	var base, change string
	var patch bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Send a whole declaration, or with --patch a merge patch",
		Long: `Send a declaration (YAML or JSON) and wait until every gateway works by it.

Without --base the change is based on the revision the control node has now; name it to be refused
when another operator was faster. Give the same --change again to learn what became of a change
whose answer was lost: it is never taken twice.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := configuration.ReadFile(args[0])
			if err != nil {
				return err
			}
			if base == "" {
				now, err := current(cmd.Context(), o)
				if err != nil {
					return err
				}
				base = fmt.Sprint(now.Revision)
			}
			method := http.MethodPut
			if patch {
				method = http.MethodPatch
			}
			a, err := o.ask(cmd.Context(), method, "/v1/config?base="+url.QueryEscape(base)+"&change="+url.QueryEscape(change), raw)
			return show(cmd, a, err)
		},
	}
	o.flag(cmd)
	cmd.Flags().StringVar(&base, "base", "", "revision this change is based on")
	cmd.Flags().StringVar(&change, "change", "", "change id, to send the same change again safely")
	cmd.Flags().BoolVar(&patch, "patch", false, "FILE is a JSON merge patch")
	return cmd
}

func show(cmd *cobra.Command, a response, err error) error {
	if err == nil {
		err = a.fault()
	}
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(a.body)
	return err
}

func current(ctx context.Context, o *controlNodes) (controlnode.CurrentConfig, error) {
	now := controlnode.CurrentConfig{}
	_, err := read(ctx, o, "/v1/config", &now)
	return now, err
}

// read asks for a page and decodes it.
func read(ctx context.Context, o *controlNodes, path string, into any) (response, error) {
	a, err := o.ask(ctx, http.MethodGet, path, nil)
	if err == nil {
		err = a.fault()
	}
	if err != nil {
		return a, err
	}
	return a, errors.Trace(json.Unmarshal(a.body, into))
}

func diffCommand() *cobra.Command {
	o := &controlNodes{}
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Check a declaration and show how it differs from the one in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := parseFile(args[0])
			if err != nil {
				return err
			}
			now, err := current(cmd.Context(), o)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "against revision %d\n", now.Revision)
			diff := cmp.Diff(now.Declaration, doc)
			if diff == "" {
				diff = "no difference\n"
			}
			_, err = io.WriteString(cmd.OutOrStdout(), diff)
			return err
		},
	}
	o.flag(cmd)
	return cmd
}

func zoneCommand() *cobra.Command {
	o := &controlNodes{}
	cmd := &cobra.Command{Use: "zone", Short: "Empty a zone of calls, or take that back"}
	for _, act := range []string{"empty", "restore"} {
		var change string
		sub := &cobra.Command{
			Use:  act + " ZONE",
			Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				a, err := o.ask(cmd.Context(), http.MethodPost, "/v1/zones/"+url.PathEscape(args[0])+"/"+act+"?change="+url.QueryEscape(change), nil)
				return show(cmd, a, err)
			},
		}
		sub.Short = map[string]string{"empty": "Send no new calls into a zone", "restore": "Send calls into a zone again"}[act]
		sub.Flags().StringVar(&change, "change", "", "change id, to send the same change again safely")
		o.flag(sub)
		cmd.AddCommand(sub)
	}
	return cmd
}

func statusCommand() *cobra.Command {
	o := &controlNodes{}
	var asJSON, gateways bool
	var gatewayAddr string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the view, the controller, gateways, replicas, pending tickets and the policy",
		Long: `Show what a control node knows: the view, the controller, gateways, replicas, pending tickets and the policy.

Where routes are in force it also shows them and their version, each replica's state by its heartbeats with
the time that it has left, what it holds and the order that stands there, and, from the control node that holds the
leadership, what the weight store still gives. With --gateways every gateway that reported there is asked for its
part of the further tries and its connections; with --gateway one gateway is asked and no control node.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if gatewayAddr != "" {
				return gatewayStatus(cmd, gatewayAddr, asJSON)
			}
			st := controlnode.Status{}
			a, err := read(cmd.Context(), o, "/v1/status", &st)
			if err != nil {
				return err
			}
			if asJSON {
				return show(cmd, a, nil)
			}
			printStatus(cmd.OutOrStdout(), st)
			if gateways {
				askGateways(cmd.Context(), cmd.OutOrStdout(), st)
			}
			return nil
		},
	}
	o.flag(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the whole status as JSON")
	cmd.Flags().BoolVar(&gateways, "gateways", false, "ask every gateway that reported to the leading control node, too")
	deprecateFlag(cmd, "desks", "gateways")
	cmd.Flags().StringVar(&gatewayAddr, "gateway", "", "IP:port of one gateway to ask instead of a control node")
	deprecateFlag(cmd, "desk", "gateway")
	return cmd
}
