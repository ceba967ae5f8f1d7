package controlnode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// listed is this product's own interface to the platform's list and to replicas.
type listed struct{ h *Host }

func (l *listed) List(ctx context.Context) (*wire.ReplicaList, error) {
	list := &wire.ReplicaList{}
	return list, l.get(ctx, "http://"+l.h.set.Platform+"/v1/replicas", list)
}

func (l *listed) State(ctx context.Context, _, addr string) (*wire.ReplicaState, error) {
	state := &wire.ReplicaState{}
	return state, l.get(ctx, "http://"+addr+"/v1/state", state)
}

func (l *listed) Order(ctx context.Context, addr string, o wire.Order) (wire.OrderState, error) {
	raw, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/orders", io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return wire.OrderState{}, errors.Trace(err)
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	res, err := l.h.web.Do(req)
	if err != nil {
		return wire.OrderState{}, errors.Trace(err)
	}
	defer res.Body.Close()
	state := wire.OrderState{}
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil || res.StatusCode != http.StatusOK || json.Unmarshal(answer, &state) != nil || state.Number != o.Command.Number {
		return wire.OrderState{Number: o.Command.Number, State: wire.OrderFailed, Reason: res.Status}, nil
	}
	return state, nil
}

func (l *listed) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := l.h.web.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fault.New(fault.ReplicaFailed, url, "status %d", res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(raw, into))
}

// answer gives a result to every caller that waits for it.
func (h *Host) answer(r wire.Result) {
	for _, waiter := range h.waiters[r.Outcome.ID] {
		select {
		case waiter <- r:
		default:
		}
	}
}

// stopWaiting takes one caller off those that wait for a change.
func (h *Host) stopWaiting(id string, waiter chan wire.Result) {
	left := slices.DeleteFunc(h.waiters[id], func(w chan wire.Result) bool { return w == waiter })
	if len(left) == 0 {
		delete(h.waiters, id)
		return
	}
	h.waiters[id] = left
}
