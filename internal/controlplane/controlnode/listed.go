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

// declaredReplicas is this product's own interface to the platform's list and to replicas.
type declaredReplicas struct{ h *Host }

func (message *declaredReplicas) List(ctx context.Context) (*wire.ReplicaList, error) {
	list := &wire.ReplicaList{}
	return list, message.get(ctx, "http://"+message.h.settings.Platform+"/v1/replicas", list)
}

func (message *declaredReplicas) State(ctx context.Context, _, addr string) (*wire.ReplicaState, error) {
	state := &wire.ReplicaState{}
	return state, message.get(ctx, "http://"+addr+"/v1/state", state)
}

func (message *declaredReplicas) Order(ctx context.Context, addr string, order wire.Order) (wire.OrderState, error) {
	raw, err := json.Marshal(order)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/orders", io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return wire.OrderState{}, errors.Trace(err)
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	res, err := message.h.replicaClient.Do(req)
	if err != nil {
		return wire.OrderState{}, errors.Trace(err)
	}
	defer res.Body.Close()
	state := wire.OrderState{}
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil || res.StatusCode != http.StatusOK || json.Unmarshal(answer, &state) != nil || state.Number != order.Command.Number {
		return wire.OrderState{Number: order.Command.Number, State: wire.OrderFailed, Reason: res.Status}, nil
	}
	return state, nil
}

func (message *declaredReplicas) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := message.h.replicaClient.Do(req)
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

// deliverResult gives a result to every caller that waits for it.
func (h *Host) deliverResult(r wire.Result) {
	for _, waiter := range h.waiters[r.Outcome.ID] {
		select {
		case waiter <- r:
		default:
		}
	}
}

// removeWaiter takes one caller off those that wait for a change.
func (h *Host) removeWaiter(id string, waiter chan wire.Result) {
	left := slices.DeleteFunc(h.waiters[id], func(w chan wire.Result) bool { return w == waiter })
	if len(left) == 0 {
		delete(h.waiters, id)
		return
	}
	h.waiters[id] = left
}
