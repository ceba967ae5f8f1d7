// Package configuration holds what operators declare: the declaration in force, edits of it, and the checks that both must pass.
package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-playground/validator/v10"

	"petreltide/internal/api/fault"
)

// Declaration is all that operators have declared.
type Declaration struct {
	Name     string    `json:"name" validate:"required,max=64"`
	Zones    []string  `json:"zones" validate:"required,min=1,max=16,unique,dive,required,max=32"`
	Emptied  []string  `json:"emptied,omitempty" validate:"max=16,unique,dive,required"`
	Replica  Replica   `json:"replica"`
	Store    Store     `json:"store"`
	Scaler   Scaler    `json:"scaler"`
	Policy   Policy    `json:"policy"`
	Shadows  []Policy  `json:"shadows,omitempty" validate:"max=4,unique=Name,dive"`
	Kinds    []Kind    `json:"kinds" validate:"required,min=1,max=16,unique=Name,dive"`
	Models   []Model   `json:"models" validate:"required,min=1,max=1024,unique=Name,dive"`
	Adapters []Adapter `json:"adapters,omitempty" validate:"max=4096,unique=Name,dive"`

	// Version is the operators' own number of it. A declaration with routes is checked by CheckRoutes:
	// its services' engines stand for replica, store, models and adapters, its routes for kinds.
	Version  uint64    `json:"version,omitempty" validate:"-"`
	Routes   []Route   `json:"routes,omitempty" validate:"-"`
	Services []Service `json:"services,omitempty" validate:"-"`
	Limits   *Limits   `json:"limits,omitempty" validate:"-"`

	Index *Index `json:"-" validate:"-"`
}

// Routed declarations send by routes to services.
func (d *Declaration) Routed() bool { return d.Version > 0 }

// Replica says how much a replica holds.
type Replica struct {
	RoomMb int64 `json:"roomMb" validate:"required,min=1"`
}

// Store bounds what all replicas together load from the store of weights: how many at once, and how many MB a second
// with what burst.
type Store struct {
	Loads       int   `json:"loads" validate:"required,min=1,max=64"`
	MbPerSecond int64 `json:"mbPerSecond" validate:"required,min=1"`
	BurstMb     int64 `json:"burstMb" validate:"required,min=1"`
}

// Scaler says how counts follow rates: spare replicas, how alike two latencies must be to prefer fewer replicas, and over
// how long rates are measured.
type Scaler struct {
	Spares     int `json:"spares" validate:"min=0,max=64"`
	SimilarPct int `json:"similarPct" validate:"min=0,max=100"`
	WindowMs   int `json:"windowMs" validate:"required,min=500,max=600000"`
}

// Policy is a placement policy: its name and its Starlark program.
type Policy struct {
	Name   string `json:"name" validate:"required,max=64"`
	Source string `json:"source" validate:"required,max=65536"`
}

// Kind is a class of calls; Urgency 9 is the most urgent.
type Kind struct {
	Name       string `json:"name" validate:"required,max=64"`
	Urgency    int    `json:"urgency" validate:"required,min=1,max=9"`
	Resumable  bool   `json:"resumable"`
	DeadlineMs int64  `json:"expiryMs" validate:"required,min=100,max=86400000"`
}

// Model is a model with its offline table; Weight says how much it counts beside others of the same rate.
type Model struct {
	Name   string  `json:"name" validate:"required,max=64"`
	SizeMb int64   `json:"sizeMb" validate:"required,min=1"`
	LoadMs int64   `json:"loadMs" validate:"required,min=1"`
	Weight int     `json:"weight" validate:"min=0,max=100"`
	Table  []Point `json:"table" validate:"required,min=1,max=64,dive"`
}

// Point is what a number of replicas of one model bear, and how fast they answer.
type Point struct {
	Replicas  int     `json:"replicas" validate:"required,min=1"`
	PerSecond float64 `json:"perSecond" validate:"required,gt=0"`
	LatencyMs int64   `json:"latencyMs" validate:"required,min=1"`
}

// Adapter is an adapter of one model, loaded beside it.
type Adapter struct {
	Name   string `json:"name" validate:"required,max=64"`
	Model  string `json:"model" validate:"required"`
	SizeMb int64  `json:"sizeMb" validate:"required,min=1"`
	LoadMs int64  `json:"loadMs" validate:"required,min=1"`
}

// Model finds a model by name; nil where there is none.
func (d *Declaration) Model(name string) *Model {
	return named(d.Models, name, func(m *Model) string { return m.Name })
}

// Adapter finds an adapter by name; nil where there is none.
func (d *Declaration) Adapter(name string) *Adapter {
	return named(d.Adapters, name, func(a *Adapter) string { return a.Name })
}

// Kind finds a kind by name, or makes one of the route of that name; nil where there is neither.
func (d *Declaration) Kind(name string) *Kind {
	if d.Routed() {
		if r := d.Route(name); r != nil {
			return &Kind{Name: r.Name, Urgency: max(1, 9-r.Priority), Resumable: r.Repeatable(), DeadlineMs: r.TimeoutMs}
		}
		return nil
	}
	return named(d.Kinds, name, func(k *Kind) string { return k.Name })
}

// IsEmptied says whether operators have emptied a zone.
func (d *Declaration) IsEmptied(zone string) bool { return slices.Contains(d.Emptied, zone) }

// HasZone says whether a zone is declared.
func (d *Declaration) HasZone(zone string) bool { return slices.Contains(d.Zones, zone) }

// UnitMb is the room a model or an adapter takes; ok is false for an unknown name.
func (d *Declaration) UnitMb(unit string) (sizeMb, loadMs int64, ok bool) {
	if m := d.Model(unit); m != nil {
		return m.SizeMb, m.LoadMs, true
	}
	if a := d.Adapter(unit); a != nil {
		return a.SizeMb, a.LoadMs, true
	}
	return 0, 0, false
}

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

// Struct runs the tags over any tagged struct and collects all faults with their paths.
func Struct(code fault.Code, v any) *fault.Sheet {
	sheet := &fault.Sheet{}
	err := checker.Struct(v)
	if err == nil {
		return sheet
	}
	var faults validator.ValidationErrors
	if list, ok := err.(validator.ValidationErrors); ok {
		faults = list
	} else {
		sheet.Note(code, "", "%v", err)
	}
	for _, e := range faults {
		path := e.Namespace()
		if i := strings.IndexByte(path, '.'); i >= 0 {
			path = path[i+1:]
		}
		rule := e.Tag()
		if e.Param() != "" {
			rule += " " + e.Param()
		}
		sheet.Note(code, path, "must satisfy %q, has %v", rule, brief(e.Value()))
	}
	return sheet
}

func brief(v any) string {
	text := fmt.Sprintf("%v", v)
	if len(text) > 60 {
		text = text[:60] + "…"
	}
	return text
}

// PolicyCheck compiles a policy source; it is handed in so that this package needs no interpreter.
type PolicyCheck func(name, source string) *fault.Fault

// Decode reads one declaration and refuses fields that it does not know. It checks nothing else.
func Decode(raw []byte) (*Declaration, *fault.Fault) {
	d := &Declaration{}
	if bad := fault.DecodeJSON(raw, d); bad != nil {
		return nil, bad
	}
	return d, nil
}

// Check returns all that is wrong with a declaration by kinds, nil for nothing; policy may be nil. Declarations by routes
// are checked by CheckRoutes.
func Check(d *Declaration, policy PolicyCheck) *fault.Fault {
	sheet := Struct(fault.InvalidConfig, d)
	for i, z := range d.Emptied {
		if !d.HasZone(z) {
			sheet.Note(fault.InvalidConfig, fmt.Sprintf("emptied[%d]", i), "zone %q is not declared", z)
		}
	}
	names := map[string]string{}
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		names[m.Name] = path
		if m.SizeMb > d.Replica.RoomMb {
			sheet.Note(fault.InvalidConfig, path+".sizeMb", "%d MB fits no replica of %d MB", m.SizeMb, d.Replica.RoomMb)
		}
		if m.SizeMb > d.Store.BurstMb {
			sheet.Note(fault.InvalidConfig, path+".sizeMb", "%d MB can never be loaded within a burst of %d MB", m.SizeMb, d.Store.BurstMb)
		}
		checkTable(sheet, path, m.Table)
	}
	for i, a := range d.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		if other, taken := names[a.Name]; taken {
			sheet.Note(fault.InvalidConfig, path+".name", "%q is already the name of %s", a.Name, other)
		}
		names[a.Name] = path
		base := d.Model(a.Model)
		if base == nil {
			sheet.Note(fault.InvalidConfig, path+".model", "no model %q", a.Model)
		} else if base.SizeMb+a.SizeMb > d.Replica.RoomMb {
			sheet.Note(fault.InvalidConfig, path+".sizeMb", "with its model %d MB fits no replica of %d MB", base.SizeMb+a.SizeMb, d.Replica.RoomMb)
		}
	}
	if policy != nil {
		if f := policy(d.Policy.Name, d.Policy.Source); f != nil {
			f.Field = "policy.source"
			sheet.Add(f)
		}
		for i, p := range d.Shadows {
			if f := policy(p.Name, p.Source); f != nil {
				f.Field = fmt.Sprintf("shadows[%d].source", i)
				sheet.Add(f)
			}
		}
	}
	return sheet.As(fault.InvalidConfig)
}

func checkTable(sheet *fault.Sheet, path string, table []Point) {
	for i, p := range table {
		at := fmt.Sprintf("%s.table[%d]", path, i)
		if p.Replicas != i+1 {
			sheet.Note(fault.InvalidConfig, at+".replicas", "the table has a gap: want %d, has %d", i+1, p.Replicas)
		}
		if i > 0 && p.PerSecond < table[i-1].PerSecond {
			sheet.Note(fault.InvalidConfig, at+".perSecond", "throughput falls as replicas grow")
		}
	}
}

// Parse decodes a declaration and checks it.
func Parse(raw []byte, policy PolicyCheck) (*Declaration, *fault.Fault) {
	d, f := Decode(raw)
	if f != nil {
		return nil, f
	}
	if f := Check(d, policy); f != nil {
		return nil, f
	}
	return d, nil
}

// Merge lays a JSON merge patch on a declaration and returns the text of the result, unchecked.
func Merge(base *Declaration, patch []byte) ([]byte, *fault.Fault) {
	raw, err := json.Marshal(base)
	if err != nil {
		return nil, fault.New(fault.BadJSON, "", "%v", err)
	}
	merged, err := jsonpatch.MergePatch(raw, patch)
	if err != nil {
		return nil, fault.New(fault.BadJSON, "", "%v", err)
	}
	return merged, nil
}
