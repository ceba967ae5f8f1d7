package controlnode

import (
	"context"

	"github.com/go-kit/log/level"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/placement"
)

// ReplicaTransport calls replicas, and the platform for the list of replicas, on behalf of the controller.
type ReplicaTransport interface {
	// List returns the platform's list of replicas; nil if replicas register by heartbeat instead.
	List(ctx context.Context) (*wire.ReplicaList, error)
	// State returns the state that the replica at addr reports.
	State(ctx context.Context, replica, addr string) (*wire.ReplicaState, error)
	// Order sends an order to the replica at addr and returns the state of its execution. An error means that it is not known
	// whether the replica received the order.
	Order(ctx context.Context, addr string, order wire.Order) (wire.OrderState, error)
}

// SetReplicaTransport replaces the transport to replicas; it must be called before Run.
func (h *Host) SetReplicaTransport(r ReplicaTransport) { h.replicas = r }

// runControllerEffect executes an effect of the controller outside the actor. Its result is posted as a ControllerInput.
func (h *Host) runControllerEffect(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.PollPlatform:
		h.actor.Spawn(h.pollPlatform)
	case controller.ReportRequest:
		h.actor.Spawn(func() { h.queryReplica(effect) })
	case controller.SendOrder:
		_ = level.Info(h.log).Log("msg", "order", "ticket", effect.Order.Command.Number, "step", string(effect.Order.Command.Action),
			"unit", effect.Order.Command.Unit, "replica", effect.Order.Command.Replica, "epoch", effect.Order.Epoch)
		h.actor.Spawn(func() { h.sendOrder(effect) })
	case controller.PolicyRun:
		h.actor.Spawn(func() {
			result := controller.PolicyResult{Number: effect.Number, Revision: effect.Revision}
			result.Live = placement.Run(effect.Live, effect.Fleet)
			for _, s := range effect.Shadows {
				result.Shadows = append(result.Shadows, placement.Run(s, effect.Fleet))
			}
			h.post(ControllerInput{Event: result})
		})
	}
}

func (h *Host) pollPlatform() {
	ctx, cancel := context.WithTimeout(h.actor.Ctx, replicaListTimeout)
	defer cancel()
	listing := controller.PlatformListing{}
	var err error
	if listing.List, err = h.replicas.List(ctx); err != nil {
		listing = controller.PlatformListing{Err: err.Error()}
	}
	h.post(ControllerInput{Event: listing})
}

func (h *Host) queryReplica(request controller.ReportRequest) {
	ctx, cancel := context.WithTimeout(h.actor.Ctx, replicaTimeout)
	defer cancel()
	report := controller.ReplicaReport{RequestedUs: request.RequestedUs, Replica: request.Replica, Addr: request.Addr}
	var err error
	if report.State, err = h.replicas.State(ctx, request.Replica, request.Addr); err != nil {
		report.State, report.Err = nil, err.Error()
	}
	h.post(ControllerInput{Event: report})
}

func (h *Host) sendOrder(order controller.SendOrder) {
	ctx, cancel := context.WithTimeout(h.actor.Ctx, replicaTimeout)
	defer cancel()
	state, err := h.replicas.Order(ctx, order.Addr, order.Order)
	_ = level.Info(h.log).Log("msg", "ordered", "ticket", order.Order.Command.Number, "state", state.State, "why", state.Reason, "err", err)
	if err != nil {
		state = wire.OrderState{Number: order.Order.Command.Number, State: wire.OrderInDoubt, Reason: err.Error()}
	}
	h.post(ControllerInput{Event: controller.OrderResult{Replica: order.Order.Command.Replica,
		Incarnation: order.Order.Command.Incarnation, Expected: order.Order.ExpectedOrders, State: state}})
}
