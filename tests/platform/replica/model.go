package replica

import "petreltide/internal/api/configuration"

// Model is what the stand-in knows of one model beyond its declaration.
type Model struct {
	SizeMb    int64
	LoadUs    int64
	WarmUs    int64
	Adapters  int
	AdapterMb int64
	AdapterUs int64
}

// Engine is how a model replica works; a replica without one gives short answers after some work.
type Engine struct {
	CacheTokens  int64
	Stride       int
	RoomMb       int64
	AdaptersMost int
	Models       map[string]Model
	StepUs       int64
	SlotUs       int64
	TokensPerMs  float64
}

// EngineOf reads the stand-in's engine out of a declared one.
func EngineOf(e *configuration.Engine) *Engine {
	out := &Engine{
		CacheTokens: e.CacheTokens, Stride: max(e.Stride, 1), RoomMb: e.CapacityMB, AdaptersMost: e.MaxAdapters, Models: map[string]Model{},
		StepUs: 9 * ms, SlotUs: 30, TokensPerMs: 20,
	}
	for _, m := range e.Models {
		out.Models[m.Name] = Model{
			SizeMb: m.SizeMB, LoadUs: m.LoadMs * ms, WarmUs: 150*ms + m.LoadMs*ms/3, Adapters: m.Adapters, AdapterMb: m.AdapterMB, AdapterUs: 12 * ms,
		}
	}
	return out
}
