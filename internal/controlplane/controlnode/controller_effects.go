package controlnode

import (
	"context"

	"github.com/go-kit/log/level"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/placement"
)

// ReplicaTransport is how the controller reaches replicas and learns which there are.
type ReplicaTransport interface {
	// List is the platform's list; nil where replicas make themselves known.
	List(ctx context.Context) (*wire.ReplicaList, error)
	State(ctx context.Context, replica, addr string) (*wire.ReplicaState, error)
	Order(ctx context.Context, addr string, order wire.Order) (wire.OrderState, error)
}

// SetReplicaTransport replaces how replicas are reached, before Run.
func (h *Host) SetReplicaTransport(r ReplicaTransport) { h.replicas = r }

func (h *Host) controller(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.PollPlatform:
		h.act.Spawn(h.pollList)
	case controller.ReportRequest:
		h.act.Spawn(func() { h.askReplica(effect) })
	case controller.SendOrder:
		_ = level.Info(h.log).Log("msg", "order", "ticket", effect.Order.Command.Number, "step", string(effect.Order.Command.Action),
			"unit", effect.Order.Command.Unit, "replica", effect.Order.Command.Replica, "epoch", effect.Order.Epoch)
		h.act.Spawn(func() { h.order(effect) })
	case controller.PolicyRun:
		h.act.Spawn(func() {
			done := controller.PolicyResult{Number: effect.Number, Revision: effect.Revision}
			done.Live = placement.Run(effect.Live, effect.Fleet)
			for _, s := range effect.Shadows {
				done.Shadows = append(done.Shadows, placement.Run(s, effect.Fleet))
			}
			h.post(ControllerInput{Event: done})
		})
	}
}

func (h *Host) pollList() {
	ctx, done := context.WithTimeout(h.act.Ctx, platformTimeout)
	defer done()
	listed := controller.PlatformListing{}
	var err error
	if listed.List, err = h.replicas.List(ctx); err != nil {
		listed = controller.PlatformListing{Err: err.Error()}
	}
	h.post(ControllerInput{Event: listed})
}

func (h *Host) askReplica(a controller.ReportRequest) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaTimeout)
	defer done()
	told := controller.ReplicaReport{RequestedUs: a.RequestedUs, Replica: a.Replica, Addr: a.Addr}
	var err error
	if told.State, err = h.replicas.State(ctx, a.Replica, a.Addr); err != nil {
		told.State, told.Err = nil, err.Error()
	}
	h.post(ControllerInput{Event: told})
}

func (h *Host) order(order controller.SendOrder) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaTimeout)
	defer done()
	state, err := h.replicas.Order(ctx, order.Addr, order.Order)
	_ = level.Info(h.log).Log("msg", "ordered", "ticket", order.Order.Command.Number, "state", state.State, "why", state.Reason, "err", err)
	if err != nil {
		state = wire.OrderState{Number: order.Order.Command.Number, State: wire.OrderInDoubt, Reason: err.Error()}
	}
	h.post(ControllerInput{Event: controller.OrderResult{Replica: order.Order.Command.Replica, Incarnation: order.Order.Command.Incarnation, Expected: order.Order.ExpectedOrders, State: state}})
}
