package configuration

import (
	"math"
	"strings"
)

// adapterLoadMs is the estimated time in ms to load an adapter.
const adapterLoadMs = 50

// Engine describes the capacity of the replicas of a model service. Sizes are in MB; those of units are rounded up and the
// capacity is rounded down. Stride is the number of tokens in one event of a stream.
type Engine struct {
	Slots          int           `json:"slots" validate:"min=1,max=65536"`
	CacheTokens    int64         `json:"cacheTokens" validate:"min=1"`
	Stride         int           `json:"stride" validate:"min=0"`
	CapacityMB     int64         `json:"roomMb" validate:"min=1"`
	MaxAdapters    int           `json:"adaptersMost" validate:"min=0"`
	LoadsPerSecond float64       `json:"loadsPerS" validate:"min=0"`
	Models         []EngineModel `json:"models" validate:"max=8192,unique=Name,dive"`
}

// EngineModel is a model that a service's replicas may load, with adapters named a1 to a<Adapters>.
type EngineModel struct {
	Name      string `json:"name" validate:"required,max=256"`
	SizeMB    int64  `json:"sizeMb" validate:"min=1"`
	LoadMs    int64  `json:"loadMs" validate:"min=1"`
	Adapters  int    `json:"adapters,omitempty" validate:"min=0,max=65536"`
	AdapterMB int64  `json:"adapterMb,omitempty" validate:"min=0"`
}

// SplitUnit splits a unit name into model and adapter; the adapter of "m" is empty, that of "m/a3" is "a3".
func SplitUnit(unit string) (model, adapter string) {
	model, adapter, _ = strings.Cut(unit, "/")
	return model, adapter
}

// UnitName returns the unit name of a model, or of an adapter of it if adapter is not empty.
func UnitName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// EngineUnitSize returns the size in MB and the load time in ms of a model, or of an adapter of it, at a service's replicas.
// ok is false for an unknown unit.
func (d *Declaration) EngineUnitSize(service, unit string) (sizeMb, loadMs int64, ok bool) {
	model, adapter := SplitUnit(unit)
	m := d.EngineModel(service, model)
	if m == nil {
		return 0, 0, false
	}
	if adapter == "" {
		return m.SizeMB, m.LoadMs, true
	}
	if !m.HasAdapter(adapter) {
		return 0, 0, false
	}
	return m.AdapterMB, adapterLoadMs, true
}

// HasAdapter reports whether the model has an adapter of that name; adapters are named a1, a2 and so on.
func (m *EngineModel) HasAdapter(name string) bool {
	if len(name) < 2 || name[0] != 'a' || name[1] == '0' {
		return false
	}
	n := 0
	for _, c := range name[1:] {
		if c < '0' || c > '9' || n > 1<<20 {
			return false
		}
		n = n*10 + int(c-'0')
	}
	return n >= 1 && n <= m.Adapters
}

// MaxConcurrentLoads returns the number of concurrent loads that the store sustains at full speed: the loads that it allows
// per second times the average duration of a load. It is at least 1.
func (e *Engine) MaxConcurrentLoads() int {
	if len(e.Models) == 0 {
		return 1
	}
	var sumMs int64
	for _, m := range e.Models {
		sumMs += m.LoadMs
	}
	return max(1, int(math.Round(e.LoadsPerSecond*float64(sumMs)/float64(len(e.Models))/1000)))
}
