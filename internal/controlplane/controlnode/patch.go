package controlnode

import (
	"context"
	"net/http"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// patchDecision is what becomes of a patch at this control node.
type patchDecision int

const (
	// mergeLocally: what the patch builds on is in force.
	mergeLocally patchDecision = iota
	// baseNotInForce: the base may come into force yet, and the patch be taken by another control node then.
	baseNotInForce
	// deferToChain: the base has been passed. The patch can't be taken any more, but it may have been taken before,
	// and only the chain knows for sure.
	deferToChain
	// noDeclaration: no patch can build on the empty state.
	noDeclaration
)

// decidePatch judges a patch by the newest configuration there is.
func decidePatch(current CurrentConfig, base uint64) patchDecision {
	switch {
	case current.Revision < base:
		return baseNotInForce
	case current.Revision > base:
		return deferToChain
	case current.Declaration == nil:
		return noDeclaration
	}
	return mergeLocally
}

// patchBase is what a patch is judged by: this control node's own declaration where that is past the patch's base
// already, as revisions only rise, else the newest.
func (h *Host) patchBase(ctx context.Context, base uint64) (CurrentConfig, bool) {
	if local, ran := h.localConfig(ctx); ran && local.Revision > base {
		return local, true
	}
	return h.latestConfig(ctx)
}

func (h *Host) handlePatchConfig(w http.ResponseWriter, r *http.Request) {
	request, ok := h.readConfigRequest(w, r)
	if !ok {
		return
	}
	if prior, seen := h.priorOutcome(r.Context(), request.emptyChange()); seen {
		h.respondApplied(r.Context(), w, request.changeID, wire.Result{Outcome: prior, OnAllGateways: true})
		return
	}
	current, known := h.patchBase(r.Context(), request.base)
	if !known {
		writeFault(w, errConfigUnknown())
		return
	}
	switch decidePatch(current, request.base) {
	case baseNotInForce:
		writeFault(w, fault.New(fault.InDoubt, "base", "revision %d is not in force yet, only %d", request.base, current.Revision))
		return
	case noDeclaration:
		writeFault(w, fault.New(fault.StaleBase, "base", "there is no declaration yet"))
		return
	case deferToChain:
		h.submitAndRespond(w, r, request.declarationChange(current.Declaration))
		return
	}
	merged, bad := configuration.Merge(current.Declaration, request.body)
	if bad != nil {
		writeFault(w, bad)
		return
	}
	request.body = merged
	h.submitDeclaration(w, r, request)
}
