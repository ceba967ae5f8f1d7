package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/rpc"
	"petreltide/tests/callers"
	"petreltide/tests/modelserver"
	"petreltide/tests/rules"
)

// Measure prints the figures kept in docs/measurements.md, all from one run on one machine.
func Measure(ctx context.Context, f *Fleet, doc *configuration.Declaration, raw string, only []string, out io.Writer) error {
	if err := Begin(ctx, f, raw); err != nil {
		return err
	}
	for _, step := range []struct {
		name string
		run  func(context.Context, *Fleet, *configuration.Declaration, io.Writer) error
	}{{"added", measureAdded}, {"rate", measureRate}, {"notice", measureNotice}, {"change", measureOldWay}, {"failover", measureFailover}, {"bounds", measureBounds}} {
		if (len(only) == 0 && step.name == "bounds") || (len(only) > 0 && !slices.Contains(only, step.name)) {
			continue
		}
		if err := step.run(ctx, f, doc, out); err != nil {
			return errors.Annotate(err, step.name)
		}
	}
	return nil
}

type leaderOf struct{ id, incarnation, addr string }

func (f *Fleet) holder(ctx context.Context, model string) (leaderOf, error) {
	head, ok := f.Head(ctx)
	if !ok {
		return leaderOf{}, errors.New("nobody is on duty")
	}
	for _, r := range head.Replicas {
		if _, held := r.Resident[model]; held && !r.Draining && !r.Unreachable {
			return leaderOf{r.ID, r.Incarnation, r.Addr}, nil
		}
	}
	return leaderOf{}, errors.Errorf("nobody holds %s", model)
}

func direct(client *http.Client, h leaderOf, model, prompt string, n int) error {
	raw, err := json.Marshal(wire.Attempt{ID: fmt.Sprintf("%s/%s/direct-%d", h.id, h.incarnation, n), Incarnation: h.incarnation, Model: model, Prompt: prompt, NextChunk: 1, MaxOutput: 1})
	if err != nil {
		return errors.Trace(err)
	}
	res, err := client.Post("http://"+h.addr+"/v1/legs", "application/json", strings.NewReader(string(raw)))
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return errors.Trace(err)
}

func measureAdded(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	model := doc.Models[0].Name
	h, err := f.holder(ctx, model)
	if err != nil {
		return err
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kept := rpc.Client(500, "")
	addr := f.Addrs("gateway")[0]
	var straight, through []float64
	for n := 0; n < 300 && ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("added-%d", n)
		began := NowUs()
		if err := direct(fresh, h, model, prompt, n); err != nil {
			return err
		}
		straight = append(straight, float64(NowUs()-began)/1000)
		t := callers.Send(ctx, kept, addr, gateway.CallRequest{Kind: doc.Kinds[0].Name, Model: model, Prompt: prompt, MaxOutput: 1}, "", rules.ClientAttempt{Tag: prompt})
		if !t.Complete {
			return errors.Errorf("a call ended with %s", t.Code)
		}
		through = append(through, float64(t.EndUs-t.StartUs)/1000)
	}
	d50, t50, d95, t95 := Percentile(straight, 50), Percentile(through, 50), Percentile(straight, 95), Percentile(through, 95)
	fmt.Fprintf(out, "one piece, straight to the stand-in: p50 %.2f ms, p95 %.2f ms\n", d50, d95)
	fmt.Fprintf(out, "one piece, through a desk:           p50 %.2f ms, p95 %.2f ms; ratio p50 %.3f, p95 %.3f; added p50 %.2f ms\n", t50, t95, t50/d50, t95/d95, t50-d50)
	return nil
}

func measureRate(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	client := rpc.Client(500, "")
	client.Transport.(*http.Transport).MaxIdleConnsPerHost = 256
	addr := f.Addrs("gateway")[0]
	ctx, done := context.WithTimeout(ctx, 8*time.Second)
	defer done()
	var ended, other atomic.Int64
	var group sync.WaitGroup
	var fromUs atomic.Int64
	fromUs.Store(NowUs() + 3_000_000)
	for w := 0; w < 64; w++ {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ctx.Err() == nil; n++ {
				m := doc.Models[(w+n)%8]
				prompt := fmt.Sprintf("rate-%d-%d", w, n)
				t := callers.Send(ctx, client, addr, gateway.CallRequest{Kind: doc.Kinds[0].Name, Model: m.Name, Prompt: prompt, MaxOutput: 1}, "", rules.ClientAttempt{Tag: prompt})
				if t.EndUs < fromUs.Load() {
					continue
				}
				if t.Complete {
					ended.Add(1)
				} else if ctx.Err() == nil {
					other.Add(1)
				}
			}
		}()
	}
	group.Wait()
	fmt.Fprintf(out, "one desk, 64 callers in a loop, answers of one piece after %d ms: %.0f calls/s ended, %d others\n", f.Plan.FirstUs/1000, float64(ended.Load())/5, other.Load())
	return nil
}

func (f *Fleet) under(ctx context.Context, doc *configuration.Declaration, perSecond float64, act func() error) error {
	loaded, stop := context.WithCancel(ctx)
	over := make(chan struct{})
	go func() {
		f.Run(loaded, Demand{Doc: doc, PerSecond: perSecond, Seed: NowUs(), Label: fmt.Sprintf("m%d", NowUs())})
		close(over)
	}()
	pause(ctx, time.Second)
	err := act()
	stop()
	<-over
	return err
}

func (f *Fleet) lastRun(match func(modelserver.Run) bool) (int64, error) {
	seen, err := f.Seen()
	if err != nil {
		return 0, err
	}
	lastUs := int64(0)
	for _, r := range seen.Runs {
		if match(r) {
			lastUs = max(lastUs, r.StartUs)
		}
	}
	return lastUs, nil
}

func measureNotice(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	var spans []float64
	for i := 0; i < 5; i++ {
		name := f.Names("replica")[i%9]
		zone := f.Proc(name).Zone
		err := f.under(ctx, doc, 120, func() error {
			f.Notice(name, 3000)
			listedUs := NowUs()
			pause(ctx, 3*time.Second)
			lastUs, err := f.lastRun(func(r modelserver.Run) bool { return r.Replica == name })
			spans = append(spans, float64(lastUs-listedUs)/1000)
			return err
		})
		if err != nil {
			return err
		}
		f.Take(name)
		if err := f.AddReplica(name, zone); err != nil {
			return err
		}
		pause(ctx, 4*time.Second)
	}
	fmt.Fprintf(out, "listed as leaving to the last attempt sent there, 5 times: p50 %.0f ms, most %.0f ms (may take 3000)\n", Percentile(spans, 50), Percentile(spans, 100))
	return nil
}

// measureOldWay measures how long a change takes to be acknowledged, and how long attempts are still served the old way.
func measureOldWay(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	var spans, responses []float64
	model := doc.Models[1].Name
	fewer := without(doc, model)
	for i := 0; i < 5; i++ {
		err := f.under(ctx, doc, 120, func() error {
			startedUs := NowUs()
			ackUs, err := f.put(ctx, fewer)
			if err != nil {
				return err
			}
			responses = append(responses, float64(ackUs-startedUs)/1000)
			pause(ctx, 2*time.Second)
			lastUs, err := f.lastRun(func(r modelserver.Run) bool { return r.Model == model })
			spans = append(spans, float64(lastUs-ackUs)/1000)
			return err
		})
		if err != nil {
			return err
		}
		if _, err := f.put(ctx, doc); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "a change's answer, 8 desks acknowledging, 5 times: p50 %.0f ms, most %.0f ms\n", Percentile(responses, 50), Percentile(responses, 100))
	fmt.Fprintf(out, "acknowledged to the last attempt served the old way: p50 %.1f ms, most %.1f ms (negative: before the answer; may take 2000)\n", Percentile(spans, 50), Percentile(spans, 100))
	return nil
}

// without is a declaration without one model and its adapters.
func without(doc *configuration.Declaration, model string) *configuration.Declaration {
	fewer := *doc
	fewer.Adapters, fewer.Models = []configuration.Adapter{}, nil
	for _, a := range doc.Adapters {
		if a.Model != model {
			fewer.Adapters = append(fewer.Adapters, a)
		}
	}
	for _, m := range doc.Models {
		if m.Name != model {
			fewer.Models = append(fewer.Models, m)
		}
	}
	return &fewer
}

// put sends a declaration on the newest revision, again where another change was faster, and gives the time of its
// acknowledgement.
func (f *Fleet) put(ctx context.Context, doc *configuration.Declaration) (ackUs int64, err error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Trace(err)
	}
	var now struct {
		Revision uint64 `json:"revision"`
	}
	for {
		r, err := f.AskAny(ctx, http.MethodGet, "/v1/config", "")
		if err != nil || json.Unmarshal(r.Body, &now) != nil {
			return 0, errors.Errorf("%v %s", err, r.Body)
		}
		r, err = f.AskAny(ctx, http.MethodPut, fmt.Sprintf("/v1/config?base=%d", now.Revision), string(raw))
		if err != nil {
			return 0, errors.Trace(err)
		}
		if r.Status == http.StatusOK {
			return NowUs(), nil
		}
		if r.Status != http.StatusConflict {
			return 0, errors.Errorf("status %d: %s", r.Status, r.Body)
		}
	}
}

// chainReplica is a place in the chain of control nodes; the last is -1.
type chainReplica struct {
	name  string
	place int
}

// measureFailover kills a control node in each seat, a replica and a gateway, and measures how long each is missed.
func measureFailover(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	for _, seat := range []chainReplica{{"head (and controller)", 0}, {"middle", 1}, {"tail", -1}} {
		if err := measureReplica(ctx, f, doc, seat, out); err != nil {
			return err
		}
	}
	if err := measureUnreachableReplica(ctx, f, doc, out); err != nil {
		return err
	}
	return measureGatewayAgain(ctx, f, doc, out)
}

// measureReplica kills the control node in one seat three times, and measures how long it is until a change is taken.
func measureReplica(ctx context.Context, f *Fleet, doc *configuration.Declaration, seat chainReplica, out io.Writer) error {
	var spans, gaps []float64
	for i := 0; i < 3; i++ {
		name := f.seat(ctx, seat.place)
		if name == "" {
			return errors.New("no open tail")
		}
		var killedUs int64
		err := f.under(ctx, doc, 60, func() error {
			f.Kill(name)
			killedUs = NowUs()
			doneUs, err := f.confirmChange(ctx)
			spans = append(spans, float64(doneUs-killedUs)/1000)
			return err
		})
		if err != nil {
			return err
		}
		gaps = append(gaps, f.longestGap(killedUs))
		if err := f.Again(name); err != nil {
			return err
		}
		if err := f.Until(ctx, "the office has its seat again", func() bool {
			tail, ok := f.Tail(ctx)
			return ok && len(tail.View.Replicas) == f.Plan.ControlNodes && f.Settled(ctx)
		}); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%s killed, to the next acknowledged change, 3 times: p50 %.0f ms, most %.0f ms; longest span without a call ended: %.0f ms\n",
		seat.name, Percentile(spans, 50), Percentile(spans, 100), Percentile(gaps, 100))
	return nil
}

// confirmChange sends a change that alters nothing, and gives the time of its acknowledgement.
func (f *Fleet) confirmChange(ctx context.Context) (ackUs int64, err error) {
	zone := f.Plan.Zones[0]
	r, err := f.AskAny(ctx, http.MethodPost, "/v1/zones/"+zone+"/restore", "")
	if err != nil || r.Status != http.StatusOK {
		return 0, errors.Errorf("%v %s", err, r.Body)
	}
	return NowUs(), nil
}

// measureUnreachableReplica kills a replica and measures how long it is until the ledger says so.
func measureUnreachableReplica(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	name := f.Names("replica")[2]
	zone := f.Proc(name).Zone
	err := f.under(ctx, doc, 60, func() error {
		f.Kill(name)
		killedUs := NowUs()
		if err := f.Until(ctx, "the replica is dark", func() bool {
			head, ok := f.Head(ctx)
			for _, r := range head.Replicas {
				if ok && r.ID == name {
					return r.Unreachable
				}
			}
			return ok
		}); err != nil {
			return err
		}
		fmt.Fprintf(out, "replica killed without notice, to dark in the ledger: %d ms\n", (NowUs()-killedUs)/1000)
		return nil
	})
	if err != nil {
		return err
	}
	f.Take(name)
	return f.AddReplica(name, zone)
}

// measureGatewayAgain kills a gateway, starts it again and measures how long it is until it answers.
func measureGatewayAgain(ctx context.Context, f *Fleet, doc *configuration.Declaration, out io.Writer) error {
	name := f.Names("gateway")[1]
	f.Kill(name)
	if err := f.Again(name); err != nil {
		return err
	}
	startedUs := NowUs()
	client := rpc.Client(200, "")
	for {
		t := callers.Send(ctx, client, f.Proc(name).Addr, gateway.CallRequest{Kind: doc.Kinds[0].Name, Model: doc.Models[0].Name, Prompt: fmt.Sprintf("again-%d", NowUs()), MaxOutput: 1}, "", rules.ClientAttempt{})
		if t.Complete {
			break
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause(ctx, 20*time.Millisecond)
	}
	fmt.Fprintf(out, "desk killed and started again, to its first answer: %d ms\n", (NowUs()-startedUs)/1000)
	return nil
}

// longestGap is the longest span after a moment in which no call of the fleet ended well.
func (f *Fleet) longestGap(fromUs int64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := []float64{float64(fromUs)}
	for _, t := range f.Told {
		if t.Complete && t.EndUs >= fromUs {
			ends = append(ends, float64(t.EndUs))
		}
	}
	sort.Float64s(ends)
	most := 0.0
	for i := 1; i < len(ends); i++ {
		most = max(most, ends[i]-ends[i-1])
	}
	return most / 1000
}
