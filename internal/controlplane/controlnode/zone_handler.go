package controlnode

import (
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// handleZoneAction drains or restores a zone: it reads the latest declaration, changes its drained zones and submits the
// result. If a concurrent change makes the base stale, it retries a few times before it returns that fault.
func (h *Host) handleZoneAction(w http.ResponseWriter, r *http.Request) {
	zone, action := r.PathValue("zone"), r.PathValue("act")
	id, bad := changeID(r)
	digest := requestDigest(r, nil)
	if bad == nil && action != "empty" && action != "restore" {
		bad = fault.New(fault.NotFound, "act", "%q: want empty or restore", action)
	}
	if bad != nil {
		writeFault(w, bad)
		return
	}
	for attempt := 0; ; attempt++ {
		current, known := h.latestConfig(r.Context())
		if !known {
			writeFault(w, configUnknownFault())
			return
		}
		if current.Declaration == nil {
			writeFault(w, fault.New(fault.NoSuchZone, "zone", "no declaration yet"))
			return
		}
		if !current.Declaration.HasZone(zone) {
			writeFault(w, fault.New(fault.NoSuchZone, "zone", "%q is not declared", zone))
			return
		}
		doc := *current.Declaration
		doc.DrainedZones = nil
		for _, z := range current.Declaration.DrainedZones {
			if z != zone {
				doc.DrainedZones = append(doc.DrainedZones, z)
			}
		}
		if action == "empty" {
			doc.DrainedZones = append(doc.DrainedZones, zone)
		}
		c := statemachine.Change{ID: id, Digest: digest, Config: &statemachine.ConfigChange{Base: current.Revision, Doc: &doc}}
		if attempt > 0 {
			c.ID = id + "-" + strconv.Itoa(attempt)
		}
		result, ok := h.Submit(r.Context(), c, changeTimeout)
		if ok && result.Outcome.Fault != nil && result.Outcome.Fault.Code == fault.StaleBase && attempt < 8 {
			continue
		}
		if !ok {
			if out, seen := h.priorOutcome(r.Context(), c); seen {
				h.respondApplied(r.Context(), w, c.ID, wire.Result{Outcome: out})
				return
			}
			writeFault(w, fault.New(fault.InDoubt, "", "no response from the chain in time; check the status, or send the same change id again"))
			return
		}
		h.respondApplied(r.Context(), w, id, result)
		return
	}
}
