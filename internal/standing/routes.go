package standing

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"petreltide/internal/fault"
)

// Repeat says what may be done with a route's requests when one is lost.
type Repeat string

// The repeats of routes: a stream of events, a request that may run more than once, and one that may not.
const (
	Streaming     Repeat = "streaming"
	Idempotent    Repeat = "idempotent"
	NonIdempotent Repeat = "non_idempotent"
)

// Route sends the calls of one host and path prefix to services. Source is the operator's own text of
// it, given back as it came; times are milliseconds, Priority 0 is the most urgent.
type Route struct {
	Name         string          `json:"name" validate:"required,max=256"`
	Host         string          `json:"host" validate:"required,max=256"`
	Prefix       string          `json:"prefix" validate:"required,max=4096,startswith=/,endswith=/"`
	Repeat       Repeat          `json:"repeat" validate:"oneof=streaming idempotent non_idempotent"`
	TimeoutMs    int64           `json:"timeoutMs" validate:"min=1,max=86400000"`
	AimMs        int64           `json:"aimMs,omitempty" validate:"min=0"`
	GapMs        int64           `json:"gapMs,omitempty" validate:"min=0"`
	Priority     int             `json:"priority" validate:"min=0,max=1000"`
	Split        []Weighted      `json:"split" validate:"min=1,max=64,dive"`
	AttemptsMost int             `json:"attemptsMost" validate:"min=1,max=64"`
	Affinity     bool            `json:"affinity,omitempty"`
	Resumable    bool            `json:"resumable,omitempty"`
	Source       json.RawMessage `json:"source,omitempty" validate:"-"`
}

// Weighted is a service and its weight in a route's split.
type Weighted struct {
	Service string `json:"service" validate:"required"`
	Weight  int    `json:"weight" validate:"min=0,max=1000000"`
}

// Repeatable calls may run more than once: those of idempotent routes, and streams that may be resumed.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || (r.Repeat == Streaming && r.Resumable)
}

// Service draws by weight from a number that is spread evenly, such as a hash of the call's id.
func (r *Route) Service(draw uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0
	for _, w := range r.Split {
		sum += w.Weight
	}
	at := int(draw % uint64(max(sum, 1)))
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// May says whether the route sends anything to a service.
func (r *Route) May(service string) bool {
	for _, w := range r.Split {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is a group of replicas that serve the same. ConnectionsMost bounds each gateway's connections to one replica;
// Engine is nil for services that hold no models.
type Service struct {
	Name            string          `json:"name" validate:"required,max=256"`
	HealthPath      string          `json:"health,omitempty"`
	ConnectionsMost int             `json:"connectionsMost,omitempty" validate:"min=0"`
	Engine          *Engine         `json:"engine,omitempty"`
	Source          json.RawMessage `json:"source,omitempty" validate:"-"`
}

// Engine is what a model service's replicas can hold and bear. Sizes are MB, rounded up for what is
// held and down for the room; Stride is the tokens in one event of a stream.
type Engine struct {
	Slots        int           `json:"slots" validate:"min=1,max=65536"`
	CacheTokens  int64         `json:"cacheTokens" validate:"min=1"`
	Stride       int           `json:"stride" validate:"min=0"`
	RoomMb       int64         `json:"roomMb" validate:"min=1"`
	AdaptersMost int           `json:"adaptersMost" validate:"min=0"`
	LoadsPerS    float64       `json:"loadsPerS" validate:"min=0"`
	Models       []EngineModel `json:"models" validate:"max=8192,unique=Name,dive"`
}

// EngineModel is a model that a service's replicas may hold; its adapters are named a1 to a<Adapters>.
type EngineModel struct {
	Name      string `json:"name" validate:"required,max=256"`
	SizeMb    int64  `json:"sizeMb" validate:"min=1"`
	LoadMs    int64  `json:"loadMs" validate:"min=1"`
	Adapters  int    `json:"adapters,omitempty" validate:"min=0,max=65536"`
	AdapterMb int64  `json:"adapterMb,omitempty" validate:"min=0"`
}

// Limits bound what a caller may send and how long it may take; 0 leaves the product's own bound.
type Limits struct {
	HeaderBytesMost int             `json:"headerBytesMost,omitempty" validate:"min=0"`
	BodyBytesMost   int64           `json:"bodyBytesMost,omitempty" validate:"min=0"`
	HeaderMs        int64           `json:"headerMs,omitempty" validate:"min=0"`
	IdleMs          int64           `json:"idleMs,omitempty" validate:"min=0"`
	Source          json.RawMessage `json:"source,omitempty" validate:"-"`
}

// Edit changes named routes and services and leaves the rest.
type Edit struct {
	Version        uint64    `json:"version"`
	Routes         []Route   `json:"routes,omitempty"`
	Services       []Service `json:"services,omitempty"`
	RemoveRoutes   []string  `json:"removeRoutes,omitempty"`
	RemoveServices []string  `json:"removeServices,omitempty"`
	Limits         *Limits   `json:"limits,omitempty"`
}

// Edited is the declaration with the edit laid on it; the old one stays as it is.
func (d *Declaration) Edited(e *Edit) (*Declaration, *fault.Fault) {
	sheet := &fault.Sheet{}
	n := *d
	n.Index = nil
	n.Version = e.Version
	n.Routes = laid(sheet, "routes", d.Routes, e.Routes, e.RemoveRoutes, func(r *Route) string { return r.Name })
	n.Services = laid(sheet, "services", d.Services, e.Services, e.RemoveServices, func(s *Service) string { return s.Name })
	if e.Limits != nil {
		n.Limits = e.Limits
	}
	return &n, sheet.As(fault.InvalidConfig)
}

func laid[T any](sheet *fault.Sheet, field string, have, upsert []T, remove []string, name func(*T) string) []T {
	gone := map[string]bool{}
	for _, r := range remove {
		gone[r] = true
	}
	at := map[string]int{}
	for i := range upsert {
		n := name(&upsert[i])
		if _, twice := at[n]; twice {
			sheet.Note(fault.InvalidConfig, field, "%q is named twice", n)
		}
		at[n] = i
	}
	placed := make(map[string]bool, len(upsert))
	kept := make([]T, 0, len(have)+len(upsert))
	for i := range have {
		n := name(&have[i])
		if j, ok := at[n]; ok {
			kept = append(kept, upsert[j])
			placed[n] = true
		} else if !gone[n] {
			kept = append(kept, have[i])
		}
	}
	for i := range upsert {
		if n := name(&upsert[i]); !placed[n] {
			kept = append(kept, upsert[i])
			placed[n] = true
		}
	}
	return kept
}

// CheckRoutes collects what is wrong with routes and services: tags first, then cross-references.
func (d *Declaration) CheckRoutes() *fault.Fault {
	sheet := &fault.Sheet{}
	note := func(path string, v any) {
		for _, f := range Struct(fault.InvalidConfig, v).Faults {
			f.Field = path + "." + f.Field
			sheet.Faults = append(sheet.Faults, f)
		}
	}
	services := map[string]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		note(path, s)
		if services[s.Name] {
			sheet.Note(fault.InvalidConfig, path+".name", "%q is named twice", s.Name)
		}
		services[s.Name] = true
		if s.Engine == nil {
			continue
		}
		for j, m := range s.Engine.Models {
			if m.SizeMb > s.Engine.RoomMb {
				sheet.Note(fault.InvalidConfig, fmt.Sprintf("%s.engine.models[%d]", path, j), "%d MB fits no replica of %d MB", m.SizeMb, s.Engine.RoomMb)
			}
		}
	}
	names, places := map[string]bool{}, map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		note(path, r)
		if names[r.Name] {
			sheet.Note(fault.InvalidConfig, path+".name", "%q is named twice", r.Name)
		}
		names[r.Name] = true
		place := strings.ToLower(r.Host) + "\x00" + r.Prefix
		if other, taken := places[place]; taken {
			sheet.Note(fault.InvalidConfig, path, "%s has the same host and prefix", other)
		}
		places[place] = path
		sum := 0
		for j, w := range r.Split {
			sum += w.Weight
			if !services[w.Service] {
				sheet.Note(fault.InvalidConfig, fmt.Sprintf("%s.split[%d]", path, j), "no service %q", w.Service)
			}
		}
		if sum <= 0 {
			sheet.Note(fault.InvalidConfig, path+".split", "the weights add up to %d", sum)
		}
	}
	if d.Limits != nil {
		note("limits", d.Limits)
	}
	return sheet.As(fault.InvalidConfig)
}

// Index finds what a declaration names without walking it.
type Index struct {
	models   map[string]int
	adapters map[string]int
	routes   map[string]*Route
	services map[string]*Service
	units    map[string]*EngineModel
	hosts    map[string]map[string]*Route
}

// Indexed builds the index of a declaration that will not change any more, once.
func (d *Declaration) Indexed() *Declaration {
	if d.Index != nil {
		return d
	}
	x := &Index{
		models: make(map[string]int, len(d.Models)), adapters: make(map[string]int, len(d.Adapters)),
		routes: make(map[string]*Route, len(d.Routes)), services: make(map[string]*Service, len(d.Services)),
		units: map[string]*EngineModel{}, hosts: map[string]map[string]*Route{},
	}
	for i := range d.Models {
		x.models[d.Models[i].Name] = i
	}
	for i := range d.Adapters {
		x.adapters[d.Adapters[i].Name] = i
	}
	for i := range d.Services {
		s := &d.Services[i]
		x.services[s.Name] = s
		if s.Engine != nil {
			for j := range s.Engine.Models {
				x.units[s.Name+"\x00"+s.Engine.Models[j].Name] = &s.Engine.Models[j]
			}
		}
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routes[r.Name] = r
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = map[string]*Route{}
		}
		x.hosts[host][r.Prefix] = r
	}
	d.Index = x
	return d
}

// Route finds a route by name; nil where there is none.
func (d *Declaration) Route(name string) *Route {
	if d.Index != nil {
		return d.Index.routes[name]
	}
	return named(d.Routes, name, func(r *Route) string { return r.Name })
}

// named finds the first item of a name; nil where there is none.
func named[T any](all []T, name string, of func(*T) string) *T {
	for i := range all {
		if of(&all[i]) == name {
			return &all[i]
		}
	}
	return nil
}

// Service finds a service by name; nil where there is none.
func (d *Declaration) Service(name string) *Service {
	if d.Index != nil {
		return d.Index.services[name]
	}
	return named(d.Services, name, func(s *Service) string { return s.Name })
}

// EngineModel is a model as a service's engine names it; nil where it does not.
func (d *Declaration) EngineModel(service, model string) *EngineModel {
	if d.Index != nil {
		return d.Index.units[service+"\x00"+model]
	}
	s := d.Service(service)
	if s == nil || s.Engine == nil {
		return nil
	}
	return named(s.Engine.Models, model, func(m *EngineModel) string { return m.Name })
}

// Match finds the route with the longest prefix that begins the path; every prefix ends with a slash.
func (d *Declaration) Match(host, path string) *Route {
	if d.Index == nil {
		return nil
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	places := d.Index.hosts[host]
	if places == nil {
		if places = d.Index.hosts[strings.ToLower(host)]; places == nil {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := places[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Units splits a unit into model and adapter: "m" or "m/a3".
func Units(unit string) (model, adapter string) {
	model, adapter, _ = strings.Cut(unit, "/")
	return model, adapter
}

// Unit joins a model and an adapter to one name; adapter may be empty.
func Unit(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// EngineUnitMb is the room a model or an adapter of it takes at a service's replicas.
func (d *Declaration) EngineUnitMb(service, unit string) (sizeMb, loadMs int64, ok bool) {
	model, adapter := Units(unit)
	m := d.EngineModel(service, model)
	if m == nil {
		return 0, 0, false
	}
	if adapter == "" {
		return m.SizeMb, m.LoadMs, true
	}
	if !m.HasAdapter(adapter) {
		return 0, 0, false
	}
	return m.AdapterMb, 50, true
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

// StoreAtOnce is how many loads the store bears at full speed: what it allows a second times how long
// a load takes on average.
func (e *Engine) StoreAtOnce() int {
	if len(e.Models) == 0 {
		return 1
	}
	var sumMs int64
	for _, m := range e.Models {
		sumMs += m.LoadMs
	}
	return max(1, int(math.Round(e.LoadsPerS*float64(sumMs)/float64(len(e.Models))/1000)))
}

// Mark is a short name for what an operator sent, so that the same order is known again.
func Mark(raw []byte) string {
	h := fnv.New128a()
	_, _ = h.Write(raw)
	return fmt.Sprintf("%x", h.Sum(nil))
}

// Bare is the declaration without the operator's own text, as desks need it.
func (d *Declaration) Bare() *Declaration {
	n := *d
	n.Index = nil
	n.Routes = slices.Clone(d.Routes)
	for i := range n.Routes {
		n.Routes[i].Source = nil
	}
	n.Services = slices.Clone(d.Services)
	for i := range n.Services {
		n.Services[i].Source = nil
	}
	if d.Limits != nil {
		l := *d.Limits
		l.Source = nil
		n.Limits = &l
	}
	return n.Indexed()
}

// Bare is the edit without the operator's own text, as gateways need it.
func (e *Edit) Bare() *Edit {
	n := *e
	n.Routes, n.Services = slices.Clone(e.Routes), slices.Clone(e.Services)
	for i := range n.Routes {
		n.Routes[i].Source = nil
	}
	for i := range n.Services {
		n.Services[i].Source = nil
	}
	if e.Limits != nil {
		l := *e.Limits
		l.Source = nil
		n.Limits = &l
	}
	return &n
}
