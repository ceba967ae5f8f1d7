package stand

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Engine is the part of a model replica that holds models: it takes orders and reports what it holds.
type Engine struct {
	mu     sync.Mutex
	models []string
	orders uint64
	busy   bool
}

// Load is how long a load or an unload takes.
const loadTime = 300 * time.Millisecond

// order handles an order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) (operation, model string, status int) {
	var fields map[string]json.RawMessage
	err := json.NewDecoder(r.Body).Decode(&fields)
	var o struct {
		Operation, Model, Adapter, Holder string
		FenceNumber, ExpectedCount        *uint64
	}
	for name, into := range map[string]any{"operation": &o.Operation, "model": &o.Model, "adapter": &o.Adapter, "holder": &o.Holder,
		Word("FenceNumber"): &o.FenceNumber, Word("ExpectedCount"): &o.ExpectedCount} {
		if raw, given := fields[name]; given && err == nil {
			err = json.Unmarshal(raw, into)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := slices.Contains(e.models, o.Model)
	switch {
	case err != nil || o.Holder == "" || o.FenceNumber == nil || o.Adapter != "" || (o.Operation != "loading" && o.Operation != "unloading"):
		status = http.StatusBadRequest
	case e.busy || (o.ExpectedCount != nil && *o.ExpectedCount != e.orders):
		status = http.StatusConflict
	case held == (o.Operation == "loading"):
		status = http.StatusOK
	default:
		status = http.StatusAccepted
		e.busy = true
		e.orders++
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy = false
			if o.Operation == "loading" {
				e.models = append(e.models, o.Model)
			} else {
				e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
			}
		})
	}
	w.WriteHeader(status)
	return o.Operation, o.Model, status
}

// held returns the models as heartbeats and reports list them.
func (e *Engine) held() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := []map[string]any{}
	for _, m := range e.models {
		all = append(all, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return all
}

// holds reports whether a model is there.
func (e *Engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

// report handles a question for the state.
func (e *Engine) report(w http.ResponseWriter, running int) {
	models := e.held()
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "prefill_and_decode", "models": models, "busy": e.busy, Word("CallSequence"): e.orders, "waiting": 0,
		"running": running, Word("CacheUsed"): 0, Word("CacheTotal"): 120000, "handledModels": 0})
}
