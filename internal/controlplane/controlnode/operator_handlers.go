package controlnode

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
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
	"petreltide/internal/process/randomid"
)

func (h *Host) handleGetStatus(w http.ResponseWriter, r *http.Request) {
	raw, ran := actor.Ask(r.Context(), h.actor, func() []byte {
		raw, _ := json.Marshal(h.core.Status(h.core.Node.NowUs()))
		return raw
	})
	if !ran {
		writeFault(w, fault.New(fault.NotServing, "", "stopping"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(raw, '\n'))
}

func (h *Host) handleGetState(w http.ResponseWriter, r *http.Request) {
	snapshot, ran := actor.Ask(r.Context(), h.actor, func() *statemachine.State { return h.core.Node.State().Snapshot() })
	if !ran {
		writeFault(w, fault.New(fault.NotServing, "", "stopping"))
		return
	}
	raw := snapshot.WithoutSource().Encode()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(raw, '\n'))
}

// maxRequestBytes bounds the body of an operator's request, in bytes.
const maxRequestBytes = 4 << 20

// CurrentConfig is the declaration in force, with the revision that the next change has to name as its base. Declaration is nil
// if none has been declared.
type CurrentConfig struct {
	Revision    uint64                     `json:"revision"`
	Index       uint64                     `json:"index"`
	Declaration *configuration.Declaration `json:"declaration"`
}

// ChangeAck acknowledges a change. State is "everywhere" once all gateways have confirmed the change, "ordered" for a
// membership change, and the code fault.CommittedNotEverywhere if some gateways have not confirmed it yet.
type ChangeAck struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
	Repeated bool   `json:"again,omitempty"`
	State    string `json:"state"`
}

// localConfig returns the configuration that this control node holds itself, which may be out of date.
func (h *Host) localConfig(ctx context.Context) (CurrentConfig, bool) {
	return actor.Ask(ctx, h.actor, func() CurrentConfig {
		s := h.core.Node.State()
		return CurrentConfig{Revision: s.Revision, Index: s.Index, Declaration: s.Doc}
	})
}

// waitForRevision waits, for about one second at most, until this control node holds the revision base, which the operator
// already knows of. It returns the configuration that it holds then.
func (h *Host) waitForRevision(ctx context.Context, base uint64) CurrentConfig {
	for attempt := 0; ; attempt++ {
		current, ran := h.localConfig(ctx)
		if !ran || current.Revision >= base || attempt >= 20 {
			return current
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return current
		}
	}
}

func (h *Host) handleGetConfig(w http.ResponseWriter, r *http.Request) {
	current, known := h.latestConfig(r.Context())
	if !known {
		writeFault(w, configUnknownFault())
		return
	}
	writeJSON(w, http.StatusOK, current)
}

// latestConfig returns the configuration against which an operator's change is validated before it is submitted. It reports
// false if the configuration in force cannot be determined.
func (h *Host) latestConfig(ctx context.Context) (CurrentConfig, bool) {
	latest, known := h.LatestState(ctx)
	return CurrentConfig{Revision: latest.Revision, Index: latest.Index, Declaration: latest.Declaration}, known
}

// configUnknownFault is the fault for requests that need the configuration in force when it cannot be determined.
func configUnknownFault() *fault.Fault {
	return fault.New(fault.NotServing, "", "this control node cannot determine the configuration in force; ask another one")
}

func (h *Host) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, fault.New(fault.TooLarge, "", "%v", err)
	}
	return raw, nil
}

// baseRevision returns the revision that a request names as its base, and whether it names one.
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

// changeID returns the change ID that a request names, or a random one if it names none, with the prefix of operators' changes.
func changeID(r *http.Request) (string, *fault.Fault) {
	id := r.URL.Query().Get("change")
	if id == "" {
		return "op-" + randomid.New(8), nil
	}
	if len(id) > 128 {
		return "", fault.New(fault.BadField, "change", "longer than 128 bytes")
	}
	return "op-" + id, nil
}

// requestDigest returns a digest of everything that a request asks for. It distinguishes different requests that are sent with
// the same change ID.
func requestDigest(r *http.Request, body []byte) string {
	hash := sha256.New()
	query := r.URL.Query()
	for _, part := range []string{r.Method, r.URL.Path, query.Get("base"), query.Get("even-alive")} {
		_, _ = fmt.Fprintf(hash, "%d:%s,", len(part), part)
	}
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// configRequest is a complete declaration, or a patch, as an operator sent it.
type configRequest struct {
	body []byte
	// base is the revision that the request is based on.
	base     uint64
	changeID string
	digest   string
}

// emptyChange returns the change with the ID and the digest of the request, but without a declaration.
func (r configRequest) emptyChange() statemachine.Change {
	return statemachine.Change{ID: r.changeID, Digest: r.digest}
}

// declarationChange returns the change that puts doc in force.
func (r configRequest) declarationChange(doc *configuration.Declaration) statemachine.Change {
	c := r.emptyChange()
	c.Config = &statemachine.ConfigChange{Base: r.base, Doc: doc}
	return c
}

// readConfigRequest reads the body, the base revision and the change ID of a declaration or patch. On an error it writes the
// response and reports false.
func (h *Host) readConfigRequest(w http.ResponseWriter, r *http.Request) (configRequest, bool) {
	raw, badBody := h.readBody(w, r)
	base, given, badBase := baseRevision(r)
	id, badID := changeID(r)
	if badBase == nil && !given {
		badBase = fault.New(fault.BadField, "base", "missing; give the revision that this change is based on (0 for the first)")
	}
	for _, bad := range []*fault.Fault{badBody, badBase, badID} {
		if bad != nil {
			writeFault(w, bad)
			return configRequest{}, false
		}
	}
	return configRequest{body: raw, base: base, changeID: id, digest: requestDigest(r, raw)}, true
}

func (h *Host) handlePutConfig(w http.ResponseWriter, r *http.Request) {
	if request, ok := h.readConfigRequest(w, r); ok {
		h.submitDeclaration(w, r, request)
	}
}

func (h *Host) submitDeclaration(w http.ResponseWriter, r *http.Request, request configRequest) {
	doc, bad := configuration.Parse(request.body, placement.Compile)
	if bad != nil {
		writeFault(w, bad)
		return
	}
	h.submitAndRespond(w, r, request.declarationChange(doc))
}

// submitAndRespond submits a change and writes the response. If there is no result in time, the response is the recorded outcome
// of the change or, if there is none, a fault that says that the outcome is in doubt.
func (h *Host) submitAndRespond(w http.ResponseWriter, r *http.Request, c statemachine.Change) {
	result, ok := h.Submit(r.Context(), c, changeTimeout)
	if ok {
		h.respondApplied(r.Context(), w, c.ID, result)
		return
	}
	if out, seen := h.priorOutcome(r.Context(), c); seen {
		out.Repeated = false
		h.respondApplied(r.Context(), w, c.ID, wire.Result{Outcome: out})
		return
	}
	inDoubt := fault.New(fault.InDoubt, "", "no response from the chain in time; send the same change id %q again to learn the outcome", c.ID[3:])
	inDoubt.RetryMs = 2000
	writeFault(w, inDoubt)
}

// respondApplied writes the response to a change that has an outcome. It first waits for a moment until this control node holds
// the revision of the outcome: the tail answers before the control nodes ahead of it in the chain have learned that the change
// is committed.
func (h *Host) respondApplied(ctx context.Context, w http.ResponseWriter, id string, r wire.Result) {
	if r.Outcome.Fault != nil {
		writeFault(w, r.Outcome.Fault)
		return
	}
	h.waitForRevision(ctx, r.Outcome.Revision)
	ack := ChangeAck{Change: id[3:], Revision: r.Outcome.Revision, Repeated: r.Outcome.Repeated, State: "everywhere"}
	status := http.StatusOK
	if r.Outcome.IsMembership {
		ack.State = "ordered"
	} else if !r.OnAllGateways {
		ack.State = string(fault.CommittedNotEverywhere)
		status = http.StatusAccepted
	}
	writeJSON(w, status, ack)
}

// handleMemberAction submits an operator's membership change for one control node. It rejects a change that this control node
// can tell is not allowed; an accepted change takes effect once that is safe.
func (h *Host) handleMemberAction(w http.ResponseWriter, r *http.Request) {
	id, bad := changeID(r)
	c := statemachine.Change{ID: id, Digest: requestDigest(r, nil)}
	m := statemachine.MembershipChange{Action: statemachine.MembershipAction(r.PathValue("act")), Name: r.PathValue("name")}
	if bad == nil {
		var seen bool
		var prior statemachine.Outcome
		if prior, seen = h.priorOutcome(r.Context(), c); seen {
			h.respondApplied(r.Context(), w, id, wire.Result{Outcome: prior, OnAllGateways: true})
			return
		}
		evenAlive := r.URL.Query().Get("even-alive") == "true"
		type validation struct {
			change statemachine.MembershipChange
			fault  *fault.Fault
		}
		requested := m
		got, ran := actor.Ask(r.Context(), h.actor, func() validation {
			result := validation{change: requested}
			result.fault = h.core.checkMember(h.core.Node.NowUs(), &result.change, evenAlive)
			return result
		})
		m, bad = got.change, got.fault
		if !ran {
			bad = fault.New(fault.NotServing, "", "stopping")
		}
	}
	if bad != nil {
		writeFault(w, bad)
		return
	}
	c.Membership = &m
	h.submitAndRespond(w, r, c)
}
