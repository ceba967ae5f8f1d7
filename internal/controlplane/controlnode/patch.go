package controlnode

import (
	"context"
	"net/http"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// patchDecision is how this control node processes a patch.
type patchDecision int

const (
	// mergeLocally means that the base of the patch is in force, and that the patch is merged into it here.
	mergeLocally patchDecision = iota
	// baseNotInForce means that the base is newer than the configuration in force. It may still come into force, and another
	// control node may accept the patch then.
	baseNotInForce
	// deferToChain means that the base has been superseded. The patch can no longer be applied, but it may have been applied
	// before, which only the chain can tell for sure.
	deferToChain
	// noDeclaration means that nothing has been declared, so that there is nothing to patch.
	noDeclaration
)

// decidePatch decides how to process a patch on base, given the latest configuration.
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

// patchBase returns the configuration to decide a patch by: this control node's own if its revision is already greater than the
// patch's base, as revisions only increase, and the latest otherwise.
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
		writeFault(w, configUnknownFault())
		return
	}
	switch decidePatch(current, request.base) {
	case baseNotInForce:
		writeFault(w, fault.New(fault.InDoubt, "base", "revision %d is not in force yet; the revision in force is %d", request.base,
			current.Revision))
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
