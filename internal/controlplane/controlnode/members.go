package controlnode

import (
	"net/http"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
)

// checkMember finds the identity that an order is about, or why it must not be taken. Only a control node whose view
// and state are the chain's of now may refuse it.
func (c *Core) checkMember(nowUs int64, m *statemachine.MembershipChange, evenAlive bool) *fault.Fault {
	if !c.Node.UpToDate(nowUs) {
		return fault.New(fault.NotServing, "", "this office has no word of the chain: ask another")
	}
	return c.Node.ResolveMemberChange(m, evenAlive)
}

// postMember takes an operator's order about one control node. It is refused here where this control node can see that
// it must not be carried out; what was taken waits until it is safe.
func (h *Host) postMember(w http.ResponseWriter, r *http.Request) {
	id, bad := changeID(r)
	m := statemachine.MembershipChange{Action: statemachine.MembershipAction(r.PathValue("act")), Name: r.PathValue("name")}
	if bad == nil {
		var seen bool
		var first statemachine.Outcome
		if first, seen = h.outcome(r.Context(), id); seen {
			h.respondApplied(r.Context(), w, id, wire.Result{Outcome: first, OnAllGateways: true})
			return
		}
		evenAlive := r.URL.Query().Get("even-alive") == "true"
		type fit struct {
			change statemachine.MembershipChange
			bad    *fault.Fault
		}
		asked := m
		got, ran := actor.Ask(r.Context(), h.act, func() fit {
			f := fit{change: asked}
			f.bad = h.core.checkMember(h.core.Node.NowUs(), &f.change, evenAlive)
			return f
		})
		m, bad = got.change, got.bad
		if !ran {
			bad = fault.New(fault.NotServing, "", "stopping")
		}
	}
	if bad != nil {
		writeFault(w, bad)
		return
	}
	h.submitAndRespond(w, r, statemachine.Change{ID: id, Membership: &m})
}
