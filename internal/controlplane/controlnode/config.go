package controlnode

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
)

// maxRequestBytes bounds what an operator may send, in bytes.
const maxRequestBytes = 4 << 20

// CurrentConfig is the declaration in force, with the revision that a change has to name as its base.
type CurrentConfig struct {
	Revision    uint64                     `json:"revision"`
	Index       uint64                     `json:"index"`
	Declaration *configuration.Declaration `json:"declaration"`
}

// Applied acknowledges a change. State is "everywhere", "ordered" for an order about members, or says that some
// gateways have not confirmed it yet.
type Applied struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"again,omitempty"`
	State    string `json:"state"`
}

// config is what this control node itself holds, which may be old.
func (h *Host) config(ctx context.Context) (CurrentConfig, bool) {
	return actor.Ask(ctx, h.act, func() CurrentConfig {
		s := h.core.Node.State()
		return CurrentConfig{Revision: s.Revision, Index: s.Index, Declaration: s.Doc}
	})
}

// configAt waits a little for a revision the operator already knows of.
func (h *Host) configAt(ctx context.Context, base uint64) CurrentConfig {
	for wait := 0; ; wait++ {
		now, ran := h.config(ctx)
		if !ran || now.Revision >= base || wait >= 20 {
			return now
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return now
		}
	}
}

func (h *Host) getConfig(w http.ResponseWriter, r *http.Request) {
	now, known := h.newestConfig(r.Context())
	if !known {
		writeFault(w, errConfigUnknown())
		return
	}
	writeJSON(w, http.StatusOK, now)
}

// newestConfig is what an operator's change is judged by before it goes to the chain; false where nobody can
// say what is in force.
func (h *Host) newestConfig(ctx context.Context) (CurrentConfig, bool) {
	newest, known := h.Newest(ctx)
	return CurrentConfig{Revision: newest.Revision, Index: newest.Index, Declaration: newest.Doc}, known
}

func errConfigUnknown() *fault.Fault {
	return fault.New(fault.NotServing, "", "this office cannot say what is in force: ask another")
}

func (h *Host) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, fault.New(fault.TooLarge, "", "%v", err)
	}
	return raw, nil
}

func baseRevision(r *http.Request) (uint64, bool, *fault.Fault) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return 0, false, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, fault.New(fault.BadField, "base", "%q is not a revision number", text)
	}
	return base, true, nil
}

func changeID(r *http.Request) (string, *fault.Fault) {
	id := r.URL.Query().Get("change")
	if id == "" {
		return "op-" + RandomID(8), nil
	}
	if len(id) > 128 {
		return "", fault.New(fault.BadField, "change", "longer than 128 bytes")
	}
	return "op-" + id, nil
}

type configRequest struct {
	body     []byte
	base     uint64
	changeID string
}

// readConfigRequest reads what a whole declaration and a patch have in common.
func (h *Host) readConfigRequest(w http.ResponseWriter, r *http.Request) (configRequest, bool) {
	raw, badBody := h.readBody(w, r)
	base, given, badBase := baseRevision(r)
	id, badID := changeID(r)
	if badBase == nil && !given {
		badBase = fault.New(fault.BadField, "base", "name the revision this is based on (0 for the first)")
	}
	for _, bad := range []*fault.Fault{badBody, badBase, badID} {
		if bad != nil {
			writeFault(w, bad)
			return configRequest{}, false
		}
	}
	return configRequest{raw, base, id}, true
}

func (h *Host) putConfig(w http.ResponseWriter, r *http.Request) {
	if a, ok := h.readConfigRequest(w, r); ok {
		h.submitDeclaration(w, r, a)
	}
}

func (h *Host) submitDeclaration(w http.ResponseWriter, r *http.Request, a configRequest) {
	doc, bad := configuration.Parse(a.body, placement.Compile)
	if bad != nil {
		writeFault(w, bad)
		return
	}
	h.submitAndRespond(w, r, statemachine.Change{ID: a.changeID, Config: &statemachine.ConfigChange{Base: a.base, Doc: doc}})
}

// patchStep is what becomes of a patch at this control node.
type patchStep int

const (
	// mergeHere: what the patch builds on is in force.
	mergeHere patchStep = iota
	// baseAhead: the base may come into force yet, and the patch be taken by another control node then.
	baseAhead
	// deferToChain: the base has been passed. The patch can't be taken any more, but it may have been taken before,
	// and only the chain knows for sure.
	deferToChain
	// nothingToPatch: no patch can build on the empty state.
	nothingToPatch
)

// nextPatchStep judges a patch by the newest configuration there is.
func nextPatchStep(now CurrentConfig, base uint64) patchStep {
	switch {
	case now.Revision < base:
		return baseAhead
	case now.Revision > base:
		return deferToChain
	case now.Declaration == nil:
		return nothingToPatch
	}
	return mergeHere
}

// patchBase is what a patch is judged by: this control node's own declaration where that is past the patch's base
// already, as revisions only rise, else the newest.
func (h *Host) patchBase(ctx context.Context, base uint64) (CurrentConfig, bool) {
	if own, ran := h.config(ctx); ran && own.Revision > base {
		return own, true
	}
	return h.newestConfig(ctx)
}

func (h *Host) patchConfig(w http.ResponseWriter, r *http.Request) {
	a, ok := h.readConfigRequest(w, r)
	if !ok {
		return
	}
	if first, seen := h.outcome(r.Context(), a.changeID); seen {
		h.respondApplied(r.Context(), w, a.changeID, wire.Result{Outcome: first, OnAllGateways: true})
		return
	}
	now, known := h.patchBase(r.Context(), a.base)
	if !known {
		writeFault(w, errConfigUnknown())
		return
	}
	switch nextPatchStep(now, a.base) {
	case baseAhead:
		writeFault(w, fault.New(fault.InDoubt, "base", "revision %d is not in force yet, only %d", a.base, now.Revision))
		return
	case nothingToPatch:
		writeFault(w, fault.New(fault.StaleBase, "base", "there is no declaration yet"))
		return
	case deferToChain:
		h.submitAndRespond(w, r, statemachine.Change{ID: a.changeID, Config: &statemachine.ConfigChange{Base: a.base, Doc: now.Declaration}})
		return
	}
	merged, bad := configuration.Merge(now.Declaration, a.body)
	if bad != nil {
		writeFault(w, bad)
		return
	}
	a.body = merged
	h.submitDeclaration(w, r, a)
}

func (h *Host) outcome(ctx context.Context, id string) (statemachine.Outcome, bool) {
	first, ran := actor.Ask(ctx, h.act, func() *statemachine.Outcome {
		out, seen := h.core.Outcome(id)
		if !seen {
			return nil
		}
		return &out
	})
	if !ran || first == nil {
		return statemachine.Outcome{}, false
	}
	return *first, true
}

func (h *Host) submitAndRespond(w http.ResponseWriter, r *http.Request, c statemachine.Change) {
	result, ok := h.Submit(r.Context(), c, changeTimeout)
	if ok {
		h.respondApplied(r.Context(), w, c.ID, result)
		return
	}
	if out, seen := h.outcome(r.Context(), c.ID); seen {
		out.Repeated = false
		h.respondApplied(r.Context(), w, c.ID, wire.Result{Outcome: out})
		return
	}
	doubt := fault.New(fault.InDoubt, "", "no answer from the chain in time; send the same change id %q again to learn what became of it", c.ID[3:])
	doubt.RetryMs = 2000
	writeFault(w, doubt)
}

// respondApplied waits a little until this control node shows what it answers: the tail answers before the control nodes ahead of
// it have heard that the change is committed.
func (h *Host) respondApplied(ctx context.Context, w http.ResponseWriter, id string, r wire.Result) {
	if r.Outcome.Fault != nil {
		writeFault(w, r.Outcome.Fault)
		return
	}
	h.configAt(ctx, r.Outcome.Revision)
	a := Applied{Change: id[3:], Revision: r.Outcome.Revision, Repeated: r.Outcome.Repeated, State: "everywhere"}
	status := http.StatusOK
	if r.Outcome.IsMembership {
		a.State = "ordered"
	} else if !r.OnAllGateways {
		a.State = string(fault.CommittedNotEverywhere)
		status = http.StatusAccepted
	}
	writeJSON(w, status, a)
}

// postZone is a read, a merge and a write; it loses to another operator's change at most a few
// times before it says so.
func (h *Host) postZone(w http.ResponseWriter, r *http.Request) {
	zone, act := r.PathValue("zone"), r.PathValue("act")
	id, bad := changeID(r)
	if bad == nil && act != "empty" && act != "restore" {
		bad = fault.New(fault.NotFound, "act", "%q: want empty or restore", act)
	}
	if bad != nil {
		writeFault(w, bad)
		return
	}
	for try := 0; ; try++ {
		now, known := h.newestConfig(r.Context())
		if !known {
			writeFault(w, errConfigUnknown())
			return
		}
		if now.Declaration == nil {
			writeFault(w, fault.New(fault.NoSuchZone, "zone", "no declaration yet"))
			return
		}
		if !now.Declaration.HasZone(zone) {
			writeFault(w, fault.New(fault.NoSuchZone, "zone", "%q is not declared", zone))
			return
		}
		doc := *now.Declaration
		doc.DrainedZones = nil
		for _, z := range now.Declaration.DrainedZones {
			if z != zone {
				doc.DrainedZones = append(doc.DrainedZones, z)
			}
		}
		if act == "empty" {
			doc.DrainedZones = append(doc.DrainedZones, zone)
		}
		c := statemachine.Change{ID: id, Config: &statemachine.ConfigChange{Base: now.Revision, Doc: &doc}}
		if try > 0 {
			c.ID = id + "-" + strconv.Itoa(try)
		}
		result, ok := h.Submit(r.Context(), c, changeTimeout)
		if ok && result.Outcome.Fault != nil && result.Outcome.Fault.Code == fault.StaleBase && try < 8 {
			continue
		}
		if !ok {
			if out, seen := h.outcome(r.Context(), c.ID); seen {
				h.respondApplied(r.Context(), w, c.ID, wire.Result{Outcome: out})
				return
			}
			writeFault(w, fault.New(fault.InDoubt, "", "no answer from the chain in time; ask status, or send the same change id again"))
			return
		}
		h.respondApplied(r.Context(), w, id, result)
		return
	}
}
