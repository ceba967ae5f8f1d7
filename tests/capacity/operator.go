package capacity

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"petreltide/tests/capacity/platform"
)

// operator sends configurations in the platform's words, one after the other.
type operator struct {
	controlNodes []string
	client       *http.Client
	by           counter
	world        *world
	version      uint64
	revision     atomic.Uint64
	turn         int
}

// change is one configuration that was acknowledged.
type change struct {
	revision uint64
	bytes    int
	sent     time.Time
	acked    time.Time
}

func newOperator(w *world, controlNodes []string) *operator {
	o := &operator{controlNodes: controlNodes, world: w}
	o.client = &http.Client{Transport: &http.Transport{DialContext: dialFrom(w.own.Host(0, 250), &o.by)}}
	return o
}

const (
	routes      = 24
	silentMost  = time.Second
	silentPerKb = 10 * time.Millisecond
)

func (o *operator) replace(ctx context.Context) (change, error) {
	z := o.world.size
	engine := platform.Engine{Service: serviceName, Slots: 96, RoomMb: roomMb, LoadsPerS: z.LoadsPerS}
	for i, name := range o.world.modelNames {
		engine.Models = append(engine.Models, platform.Model{Name: name, Mb: modelMb, Load: loadSpan, Adapters: o.world.adaptersOf(i), AdapterMb: 40})
	}
	return o.send(ctx, platform.ReplacePath, platform.Whole(engine, routes, o.version+1))
}

// edit changes one route, as most of a day's changes do.
func (o *operator) edit(ctx context.Context) (change, error) {
	n := int(o.version)
	return o.send(ctx, platform.UpdatePath, platform.Edit(serviceName, n%routes, 10_000+n, o.version+1))
}

// send repeats an order unchanged at the next control node until it gets a clear answer.
func (o *operator) send(ctx context.Context, path string, raw []byte) (change, error) {
	c := change{bytes: len(raw), sent: time.Now()}
	for span := 50 * time.Millisecond; ; span = min(span*2, 500*time.Millisecond) {
		o.turn++
		status, text, err := o.post(ctx, o.controlNodes[o.turn%len(o.controlNodes)], path, raw)
		switch {
		case err == nil && status == http.StatusOK:
			o.version++
			c.acked, c.revision = time.Now(), o.revision.Add(1)
			return c, nil
		case err == nil && status/100 == 4:
			return c, errors.Errorf("%s was refused: %d %.300s", path, status, text)
		case ctx.Err() != nil:
			return c, errors.Annotatef(ctx.Err(), "%s: no clear answer (last: %d %.100s %v)", path, status, text, err)
		}
		pause(ctx, span)
	}
}

func (o *operator) post(ctx context.Context, controlNode, path string, raw []byte) (int, string, error) {
	ctx, done := context.WithTimeout(ctx, silentMost+time.Duration(len(raw)/1024)*silentPerKb)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controlNode+path, bytes.NewReader(raw))
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(platform.BasedOn, strconv.FormatUint(o.version, 10))
	res, err := o.client.Do(req)
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	return res.StatusCode, string(text), errors.Trace(err)
}
