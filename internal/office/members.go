package office

import (
	"net/http"

	"petreltide/internal/actor"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/wire"
)

// member takes an operator's order about one office. It is refused here where this office can see that
// it must not be carried out; what was taken waits until it is safe.
func (h *Host) member(w http.ResponseWriter, r *http.Request) {
	id, bad := changeOf(r)
	m := ledger.MemberChange{Act: ledger.MemberAct(r.PathValue("act")), Name: r.PathValue("name")}
	if bad == nil {
		var seen bool
		var first ledger.Outcome
		if first, seen = h.seen(r.Context(), id); seen {
			h.reply(r.Context(), w, id, wire.Result{Outcome: first, Everywhere: true})
			return
		}
		evenAlive := r.URL.Query().Get("even-alive") == "true"
		type fit struct {
			change ledger.MemberChange
			bad    *fault.Fault
		}
		asked := m
		got, ran := actor.Ask(r.Context(), h.act, func() fit {
			f := fit{change: asked}
			f.bad = h.core.Node.FitMember(&f.change, evenAlive)
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
	h.change(w, r, ledger.Change{ID: id, Member: &m})
}
