package scheduling

import (
	"maps"
	"math"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
)

const (
	// loadSmoothing is the weight of the newest observation in the moving averages of load times.
	loadSmoothing = 1.0 / 8
	// declaredLoadFactor is the ratio of actual to declared load time that is expected before any load was observed.
	declaredLoadFactor = 1.0
)

// observedTime is a quantity that is measured again and again: its moving average is what to expect, its recent minimum what is
// possible.
type observedTime struct {
	mean   float64
	lowest recentMinimum
}

// observe adds an observation.
func (o *observedTime) observe(value float64) {
	o.mean += (value - o.mean) * loadSmoothing
	o.lowest.add(value)
}

// unplacedDemand is the demand for a unit of a service that no replica has loaded. sinceUs is since when calls wait for the
// unit, 0 if none does; clientRetryTimesUs are the times at which the clients of refused calls should retry.
type unplacedDemand struct {
	sinceUs            int64
	clientRetryTimesUs []int64
}

// loadEstimates holds what this gateway knows about when a unit that no replica has will be loaded: the loads in progress, how
// long loads take relative to what is declared, how long (ms) loads of adapters take, and how long (ms) it takes until a load is
// ordered that calls wait for. loads holds start times, keyed by replica and unit; demands is keyed by service and unit.
type loadEstimates struct {
	loads        map[string]int64
	demands      map[string]*unplacedDemand
	loadFactor   observedTime
	adapterMs    observedTime
	orderDelayMs observedTime
}

func newLoadEstimates() *loadEstimates {
	return &loadEstimates{loads: map[string]int64{}, demands: map[string]*unplacedDemand{}, loadFactor: observedTime{mean: declaredLoadFactor}}
}

// demandFor returns the demand for a unit of a service and creates it if necessary.
func (e *loadEstimates) demandFor(service, unit string) *unplacedDemand {
	key := service + "|" + unit
	demand := e.demands[key]
	if demand == nil {
		demand = &unplacedDemand{}
		e.demands[key] = demand
	}
	return demand
}

// observe tracks loads through snapshots, from the first one that shows a replica loading a unit to the first one that shows
// the unit loaded, and updates the observed times.
func (e *loadEstimates) observe(s *Snapshot, nowUs int64) {
	loading := map[string]bool{}
	for _, id := range s.IDs {
		r := s.Replicas[id]
		if r.Loading == "" {
			continue
		}
		key := id + "|" + r.Loading
		loading[key] = true
		if e.loads[key] == 0 {
			e.loads[key] = nowUs
			if demand := e.demands[r.Service+"|"+r.Loading]; demand != nil && demand.sinceUs > 0 {
				e.orderDelayMs.observe(float64(nowUs-demand.sinceUs) / 1000)
			}
		}
	}
	// Keys are sorted, because the moving average depends on the order of loads that end together.
	for _, key := range slices.Sorted(maps.Keys(e.loads)) {
		if !loading[key] {
			e.loadEnded(s, key, nowUs)
		}
	}
}

// loadEnded forgets a load, given by its key, that a snapshot no longer shows, and observes how long it took if the unit is loaded.
func (e *loadEstimates) loadEnded(s *Snapshot, key string, nowUs int64) {
	tookMs := float64(nowUs-e.loads[key]) / 1000
	delete(e.loads, key)
	id, unit, _ := strings.Cut(key, "|")
	r := s.Replicas[id]
	if r == nil || !isLoaded(r, unit) {
		return
	}
	if _, adapter := configuration.SplitUnit(unit); adapter != "" {
		e.adapterMs.observe(tookMs)
		return
	}
	if m := s.Declaration.EngineModel(r.Service, unit); m != nil && m.LoadMs > 0 {
		e.loadFactor.observe(tookMs / float64(m.LoadMs))
	}
}

// untilLoadedMs returns the time (ms) after which some replica is expected to have the model and adapter of a call loaded, and the
// least after which one can have them, as far as observed.
func (d *Decider) untilLoadedMs(c *Call) (expectedMs, leastMs float64) {
	e := d.loadEstimates
	m := d.snapshot.Declaration.EngineModel(c.Routed.Service, c.Model)
	if m == nil {
		return 0, 0
	}
	loadMs, leastLoadMs := float64(m.LoadMs)*e.loadFactor.mean, float64(m.LoadMs)*e.loadFactor.lowest.value()
	adapterMs, leastAdapterMs := 0.0, 0.0
	if c.Adapter != "" {
		adapterMs, leastAdapterMs = e.adapterMs.mean, e.adapterMs.lowest.value()
	}
	expectedMs, leastMs = math.Inf(1), math.Inf(1)
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if r.Draining || r.Unreachable {
			continue
		}
		if r.Loading == c.Model {
			sinceMs := float64(d.nowUs-e.loads[r.ID+"|"+c.Model]) / 1000
			expectedMs = min(expectedMs, max(loadMs-sinceMs, 0)+adapterMs)
			leastMs = min(leastMs, max(leastLoadMs-sinceMs, 0)+leastAdapterMs)
		} else if isLoaded(r, c.Model) && r.Unloading != c.Model {
			expectedMs, leastMs = min(expectedMs, adapterMs), 0
		}
	}
	if !math.IsInf(expectedMs, 1) {
		return expectedMs, leastMs
	}
	sinceMs := 0.0
	if demand := e.demands[c.modelKey()]; demand != nil && demand.sinceUs > 0 {
		sinceMs = float64(d.nowUs-demand.sinceUs) / 1000
	}
	expectedMs = loadMs + max(e.orderDelayMs.mean-sinceMs, 0) + adapterMs
	return expectedMs, leastLoadMs + max(e.orderDelayMs.lowest.value()-sinceMs, 0) + leastAdapterMs
}

// nowhereLoaded reports whether no replica that accepts calls has the model and adapter of the call loaded.
func (d *Decider) nowhereLoaded(c *Call) bool {
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if d.snapshot.acceptsRouted(r, c.Model, c.Adapter) {
			return false
		}
	}
	return true
}
