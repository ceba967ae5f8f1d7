package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/rpc"
)

// claimer claims keys at one control node after another and times each claim.
type claimer struct {
	f      *Fleet
	client *http.Client
	n      atomic.Int64
	mu     sync.Mutex
	ms     []float64
	full   int
	failed int
}

func (c *claimer) claim(ctx context.Context) {
	n := c.n.Add(1)
	controlNodes := c.f.Addrs("control-node")
	change := statemachine.Change{ID: fmt.Sprintf("bound-%d", n), Key: &statemachine.KeyChange{
		Key: fmt.Sprintf("family-%032d", n), Gateway: "front-1", GatewayIncarnation: "bounds", Call: fmt.Sprintf("front-1-%016d", n)}}
	began := NowUs()
	short, done := context.WithTimeout(ctx, 5*time.Second)
	res, err := rpc.NewCaller[statemachine.Change, wire.Result](c.client, controlNodes[int(n)%len(controlNodes)], rpc.SubmitPath).Call(short, &change)
	done()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.failed++
	case res.Outcome.Fault != nil:
		c.full++
	default:
		c.ms = append(c.ms, float64(NowUs()-began)/1000)
	}
}

func (c *claimer) run(ctx context.Context, workers int, more func() bool) {
	var group sync.WaitGroup
	for w := 0; w < workers; w++ {
		group.Add(1)
		go func() {
			defer group.Done()
			for ctx.Err() == nil && more() {
				c.claim(ctx)
			}
		}()
	}
	group.Wait()
}

func (c *claimer) say(out io.Writer, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(out, "%s: %d claims, p50 %.1f ms, p99 %.1f ms, most %.0f ms; %d refused as full, %d without an answer\n",
		what, len(c.ms), Percentile(c.ms, 50), Percentile(c.ms, 99), Percentile(c.ms, 100), c.full, c.failed)
	c.ms, c.full, c.failed = nil, 0, 0
}

// leases looks at every gateway's lease until it is told to stop, and returns the shortest seen and how
// often there was none.
func (f *Fleet) leases(ctx context.Context) (minMs int64, none, looks int) {
	minMs = 1 << 40
	for ctx.Err() == nil {
		for _, addr := range f.Addrs("gateway") {
			r, err := f.Ask(ctx, addr, http.MethodGet, "/v1/status", "")
			st := gateway.Status{}
			if err != nil || json.Unmarshal(r.Body, &st) != nil {
				continue
			}
			looks++
			minMs = min(minMs, st.Work.LeaseMs)
			if st.Work.LeaseMs == 0 {
				none++
			}
		}
		pause(ctx, 20*time.Millisecond)
	}
	return minMs, none, looks
}

// measureBounds fills the table of keys, goes on claiming beside a member that joins empty, and
// watches the gateways' leases all the while.
func measureBounds(ctx context.Context, f *Fleet, _ *configuration.Declaration, out io.Writer) error {
	c := &claimer{f: f, client: rpc.Client(500, "")}
	watched := func(what string, act func() error) error {
		looking, stop := context.WithCancel(ctx)
		var minMs int64
		var none, looks int
		over := make(chan struct{})
		go func() {
			minMs, none, looks = f.leases(looking)
			close(over)
		}()
		err := act()
		stop()
		<-over
		c.say(out, what)
		fmt.Fprintf(out, "%s: shortest lease seen %d ms, none in %d of %d looks\n", what, minMs, none, looks)
		return err
	}
	if err := watched("filling 200,000 keys", func() error {
		c.run(ctx, 128, func() bool { return c.n.Load() < statemachine.MaxKeys })
		return nil
	}); err != nil {
		return err
	}
	name := f.Names("control-node")[1]
	return watched("a member joins empty at that size", func() error {
		joined := make(chan error, 1)
		go func() {
			startedUs := NowUs()
			err := f.replaceControlNode(ctx, name)
			if err == nil {
				err = f.whole(ctx)
			}
			fmt.Fprintf(out, "the member that joined was whole after %d ms\n", (NowUs()-startedUs)/1000)
			joined <- err
		}()
		claiming, stop := context.WithCancel(ctx)
		over := make(chan struct{})
		go func() {
			c.run(claiming, 8, func() bool { return true })
			close(over)
		}()
		err := <-joined
		stop()
		<-over
		return errors.Trace(err)
	})
}
