package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/operator/comparison"
)

// liveComparison is what the compare command was told.
type liveComparison struct {
	controlNodes *controlNodes
	opts         comparison.Options
	live         bool
	files        []string
}

func compareCommand() *cobra.Command {
	c := &liveComparison{controlNodes: &controlNodes{}}
	cmd := &cobra.Command{
		Use:   "compare --live --policy A --policy B",
		Short: "Swap two policies on the live fleet in turns and compare what callers got",
		Long: `Swap two policies on the live fleet in windows, in a seeded order balanced over pairs (AB or BA),
and say where the calls of the windows differ.

Each swap is an ordinary change, built on the last one this comparison made. After a settling gap
that is left out, a change that touches nothing but the revision begins the window; gateways count
each call under the revision that took it. A call that ends under a later revision is reported
apart. It stops when anybody else changes the configuration, or when a fault spoils a window: a
replica or gateway lost, come or marked as leaving, another controller (--go-on leaves the spoilt
pair out instead). The policy in force before is put back at the end and on interrupt; where that
fails, the command that does it is printed.

  petreltide compare --live --control-node 10.0.1.5:7100 --policy steady.star --policy chaser.star \
    --windows 12 --window 2m --settle 20s`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := c.read(); err != nil {
				return err
			}
			return c.compare(cmd)
		},
	}
	c.controlNodes.flag(cmd)
	flags := cmd.Flags()
	flags.BoolVar(&c.live, "live", false, "compare on the live fleet")
	flags.StringArrayVar(&c.files, "policy", nil, "policy program; given twice, the second is held against the first")
	flags.IntVar(&c.opts.Windows, "windows", 12, "windows in all, an even number")
	flags.DurationVar(&c.opts.Window, "window", 2*time.Minute, "length of a window")
	flags.DurationVar(&c.opts.Settle, "settle", 20*time.Second, "gap after a swap that is left out")
	flags.Int64Var(&c.opts.Seed, "seed", 1, "seed of the order of the windows")
	flags.BoolVar(&c.opts.GoOn, "go-on", false, "leave spoilt pairs out instead of stopping")
	return cmd
}

// read checks what was told and reads the two policies.
func (c *liveComparison) read() error {
	if !c.live {
		return fault.New(fault.BadField, "live", "this compares on the live fleet: say --live (the simulator's comparison is the proofs' command, fleet compare)")
	}
	if len(c.files) != 2 {
		return fault.New(fault.BadField, "policy", "name two policies")
	}
	if bad := c.opts.Check(); bad != nil {
		return bad
	}
	var bad *fault.Fault
	if c.opts.First, bad = readPolicy(c.files[0]); bad != nil {
		return bad
	}
	if c.opts.Second, bad = readPolicy(c.files[1]); bad != nil {
		return bad
	}
	if c.opts.Second.Name == c.opts.First.Name {
		c.opts.Second.Name += "-again"
	}
	return nil
}

// compare compares, and reports what there is even where it had to stop.
func (c *liveComparison) compare(cmd *cobra.Command) error {
	result, err := comparison.Hold(cmd.Context(), liveFleet{c.controlNodes}, c.opts, cmd.OutOrStdout())
	if len(result.Windows) > 0 {
		comparison.Report(cmd.OutOrStdout(), result)
	}
	if err != nil {
		return restoreHint(cmd, c.controlNodes, err)
	}
	if result.Stopped != nil {
		return result.Stopped
	}
	return nil
}

func readPolicy(file string) (configuration.Policy, *fault.Fault) {
	source, err := os.ReadFile(file)
	if err != nil {
		return configuration.Policy{}, fault.New(fault.NotFound, "policy", "%v", err)
	}
	p := configuration.Policy{Name: strings.TrimSuffix(filepath.Base(file), ".star"), Source: string(source)}
	return p, placement.Compile(p.Name, p.Source)
}

// restoreHint leaves the first policy in a file and prints the command that puts it back.
func restoreHint(cmd *cobra.Command, o *controlNodes, err error) error {
	var bad *comparison.Unrestored
	if !errors.As(err, &bad) {
		return err
	}
	raw, encodeErr := json.Marshal(map[string]any{"policy": bad.Policy})
	if encodeErr != nil {
		return errors.Trace(encodeErr)
	}
	file, createErr := os.CreateTemp("", "petreltide-policy-*.json")
	if createErr != nil {
		return errors.Trace(createErr)
	}
	defer file.Close()
	if _, writeErr := file.Write(raw); writeErr != nil {
		return errors.Trace(writeErr)
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "to put policy %s back:\n  petreltide apply --patch %s --control-node %s\n", bad.Policy.Name, file.Name(), strings.Join(o.addrs, ","))
	return err
}

// liveFleet reaches a fleet through its control nodes and gateways.
type liveFleet struct{ o *controlNodes }

func (l liveFleet) Config(ctx context.Context) (controlnode.CurrentConfig, error) {
	return current(ctx, l.o)
}

func (l liveFleet) Apply(ctx context.Context, base uint64, change string, doc *configuration.Declaration) (controlnode.ChangeAck, error) {
	applied := controlnode.ChangeAck{}
	raw, err := json.Marshal(doc)
	if err != nil {
		return applied, errors.Trace(err)
	}
	a, err := l.o.ask(ctx, http.MethodPut, fmt.Sprintf("/v1/config?base=%d&change=%s", base, url.QueryEscape(change)), raw)
	if err == nil {
		err = a.fault()
	}
	if err != nil {
		return applied, err
	}
	return applied, errors.Trace(json.Unmarshal(a.body, &applied))
}

func (l liveFleet) Pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (l liveFleet) status(ctx context.Context) (controlnode.Status, error) {
	st := controlnode.Status{}
	_, err := read(ctx, l.o, "/v1/status", &st)
	tail := st.View.Tail()
	if err != nil || tail.ID == st.ControlNode.ID || tail.Addr == "" {
		return st, err
	}
	st = controlnode.Status{}
	_, err = read(ctx, &controlNodes{addrs: []string{tail.Addr}}, "/v1/status", &st)
	return st, err
}

func (l liveFleet) Look(ctx context.Context) (comparison.Look, error) {
	look := comparison.Look{Replicas: map[string]string{}, Gateways: map[string]string{}}
	st, err := l.status(ctx)
	if err != nil {
		return look, err
	}
	if !st.TailReady {
		return look, fault.New(fault.NotServing, st.ControlNode.ID, "the tail has no lease now")
	}
	look.Revision, look.Loads, look.LoadedMb = st.Revision, st.Loads, st.LoadedMb
	look.Leader = fmt.Sprintf("%s under epoch %d", st.LeaseHolder, st.Epoch)
	for _, r := range st.Replicas {
		look.Replicas[r.ID] = fmt.Sprintf("%s (leaving %v, dark %v)", r.Incarnation, r.Draining, r.Unreachable)
	}
	for _, d := range st.Gateways {
		ds := gateway.Status{}
		if _, err := read(ctx, &controlNodes{addrs: []string{d.Addr}}, "/v1/status", &ds); err != nil {
			look.Gateways[d.Gateway] = "out of reach"
			continue
		}
		look.Gateways[d.Gateway] = ds.Incarnation
		look.Gauges = append(look.Gauges, ds.Gauges...)
	}
	return look, nil
}
