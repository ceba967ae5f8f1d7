package scheduling

import (
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// maxTrackedClientRetries is the maximum number of refused calls for one unit that count as demand while a retry by their clients
// is expected.
const maxTrackedClientRetries = 1024

// rejectUnloadable refuses queued calls whose model cannot be loaded, and their prompt read, before their clients leave. A client
// that is told so at once can use its time elsewhere. A call is refused only if the shortest times observed do not suffice;
// otherwise it waits, until a later event shows that they no longer do.
func (d *Decider) rejectUnloadable() {
	if !d.routed() || d.opts.Disable.Has(feature.EarlyRefusal) {
		return
	}
	hasDemand := map[string]bool{}
	for _, c := range d.waitingCalls() {
		if c.Routed == nil || c.Model == "" || !d.nowhereLoaded(c) {
			continue
		}
		demand := d.loadEstimates.demandFor(c.Routed.Service, c.Model)
		if demand.sinceUs == 0 {
			demand.sinceUs = d.nowUs
		}
		hasDemand[c.modelKey()] = true
		if expectedMs, unloadable := d.isUnloadable(c); unloadable {
			d.rejectUntilLoaded(c, demand, expectedMs)
		}
	}
	d.dropDemandExcept(hasDemand)
}

// isUnloadable reports whether the client of a call leaves before its model, which no replica has, can be loaded and its prompt read,
// and after how long (ms) the model is expected to be loaded. Calls that may have run are not refused, because their clients cannot be
// told that nothing was executed.
func (d *Decider) isUnloadable(c *Call) (expectedMs float64, unloadable bool) {
	if c.mayHaveRun || c.Delivered > 0 {
		return 0, false
	}
	expectedMs, leastMs := d.untilLoadedMs(c)
	leastUs := int64((leastMs + d.leastPrefillMs(c)) * 1000)
	return expectedMs, d.nowUs+leastUs > d.clientLeavesUs(c)
}

// leastPrefillMs returns the least time (ms) from the start of a call's attempt to its first byte, as far as observed.
func (d *Decider) leastPrefillMs(c *Call) float64 {
	m := d.prefillModelOf(c)
	baseMs, perToken := m.coefficients()
	return m.lowestRatio.value() * (baseMs + perToken*float64(c.Routed.PromptTokens))
}

// dropDemandExcept ends the wait for all models but those given, and drops the demand for units that no client returns for.
func (d *Decider) dropDemandExcept(hasDemand map[string]bool) {
	for key, demand := range d.loadEstimates.demands {
		if hasDemand[key] {
			continue
		}
		demand.sinceUs = 0
		if len(demand.clientRetryTimesUs) == 0 {
			delete(d.loadEstimates.demands, key)
		}
	}
}

// rejectUntilLoaded refuses a call with a retry delay after which its model should be loaded, spread over the calls that are refused
// together. Until its client returns the call is still counted as demand, because nobody else may have asked for the model.
func (d *Decider) rejectUntilLoaded(c *Call, demand *unplacedDemand, untilLoadedMs float64) {
	spread := 1 + float64(mixHash(c.Routed.idHash^hashOf(c.ID))%1000)/2000
	retryMs := d.capRetryMs(c, max(noDelayMs, int64(untilLoadedMs*spread)))
	if len(demand.clientRetryTimesUs) == 0 {
		d.emit(CallUnplaced{})
	}
	d.expectRetry(demand, retryMs)
	if c.Adapter != "" {
		d.expectRetry(d.loadEstimates.demandFor(c.Routed.Service, c.unit()), retryMs)
	}
	d.failCallWithRetry(c, fault.Overloaded, "no replica has its model, and none can have it before its client leaves", retryMs)
}

// expectRetry records that a refused client should retry after retryMs.
func (d *Decider) expectRetry(demand *unplacedDemand, retryMs int64) {
	demand.clientRetryTimesUs = append(demand.clientRetryTimesUs, d.nowUs+retryMs*clock.Ms)
	if len(demand.clientRetryTimesUs) > maxTrackedClientRetries {
		demand.clientRetryTimesUs = demand.clientRetryTimesUs[1:]
	}
}

// reportReturning adds to the reported queue, by unit, the refused calls whose retry delay has not passed.
func (d *Decider) reportReturning(rep *wire.Report) {
	for key, demand := range d.loadEstimates.demands {
		kept := demand.clientRetryTimesUs[:0]
		for _, us := range demand.clientRetryTimesUs {
			if us > d.nowUs {
				kept = append(kept, us)
			}
		}
		demand.clientRetryTimesUs = kept
		if len(kept) > 0 {
			_, unit, _ := strings.Cut(key, "|")
			rep.Queued[unit] += len(kept)
		}
	}
}
