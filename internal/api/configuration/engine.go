package configuration

import (
	"math"
	"strings"
)

// adapterLoadMs is how long an adapter's load is reckoned to take.
const adapterLoadMs = 50

// Engine is what a model service's replicas can hold and bear. Sizes are MB, rounded up for what is
// held and down for the room; Stride is the tokens in one event of a stream.
type Engine struct {
	Slots          int           `json:"slots" validate:"min=1,max=65536"`
	CacheTokens    int64         `json:"cacheTokens" validate:"min=1"`
	Stride         int           `json:"stride" validate:"min=0"`
	CapacityMB     int64         `json:"roomMb" validate:"min=1"`
	MaxAdapters    int           `json:"adaptersMost" validate:"min=0"`
	LoadsPerSecond float64       `json:"loadsPerS" validate:"min=0"`
	Models         []EngineModel `json:"models" validate:"max=8192,unique=Name,dive"`
}

// EngineModel is a model that a service's replicas may load, with adapters a1 to a<Adapters>.
type EngineModel struct {
	Name      string `json:"name" validate:"required,max=256"`
	SizeMB    int64  `json:"sizeMb" validate:"min=1"`
	LoadMs    int64  `json:"loadMs" validate:"min=1"`
	Adapters  int    `json:"adapters,omitempty" validate:"min=0,max=65536"`
	AdapterMB int64  `json:"adapterMb,omitempty" validate:"min=0"`
}

// SplitUnit splits a unit into model and adapter: "m" or "m/a3".
func SplitUnit(unit string) (model, adapter string) {
	model, adapter, _ = strings.Cut(unit, "/")
	return model, adapter
}

// UnitName is the name under which a model, or an adapter of it, is loaded.
func UnitName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// EngineUnitSize is the room a model or an adapter of it takes at a service's replicas.
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

// HasAdapter says whether the model has an adapter of a name; they are named a1, a2 and so on.
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

// MaxConcurrentLoads is how many loads the store bears at full speed: what it allows a second times how long
// a load takes on average.
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
