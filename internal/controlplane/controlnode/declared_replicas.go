package controlnode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// declaredReplicas is the ReplicaTransport of declared mode (see package controller). It calls petreltide's own HTTP API: the
// replica list at the polled address, and the state and the orders of each replica.
type declaredReplicas struct{ h *Host }

func (d *declaredReplicas) List(ctx context.Context) (*wire.ReplicaList, error) {
	list := &wire.ReplicaList{}
	return list, d.get(ctx, "http://"+d.h.settings.Platform+"/v1/replicas", list)
}

func (d *declaredReplicas) State(ctx context.Context, _, addr string) (*wire.ReplicaState, error) {
	state := &wire.ReplicaState{}
	return state, d.get(ctx, "http://"+addr+"/v1/state", state)
}

func (d *declaredReplicas) Order(ctx context.Context, addr string, order wire.Order) (wire.OrderState, error) {
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
	res, err := d.h.replicaClient.Do(req)
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

func (d *declaredReplicas) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := d.h.replicaClient.Do(req)
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
