package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-playground/validator/v10"

	"petreltide/internal/api/fault"
)

// Declaration is the complete configuration declared by operators, in one of the two forms described for the package.
type Declaration struct {
	Name         string    `json:"name" validate:"required,max=64"`
	Zones        []string  `json:"zones" validate:"required,min=1,max=16,unique,dive,required,max=32"`
	DrainedZones []string  `json:"emptied,omitempty" validate:"max=16,unique,dive,required"`
	Replica      Replica   `json:"replica"`
	Store        Store     `json:"store"`
	Scaler       Scaler    `json:"scaler"`
	Policy       Policy    `json:"policy"`
	Shadows      []Policy  `json:"shadows,omitempty" validate:"max=4,unique=Name,dive"`
	Kinds        []Kind    `json:"kinds" validate:"required,min=1,max=16,unique=Name,dive"`
	Models       []Model   `json:"models" validate:"required,min=1,max=1024,unique=Name,dive"`
	Adapters     []Adapter `json:"adapters,omitempty" validate:"max=4096,unique=Name,dive"`

	// Version is the operators' own version number of a declaration by routes, 0 for a declaration by kinds. A declaration by
	// routes is validated by CheckRoutes: its services' engines take the place of replica, store, models and adapters, and
	// its routes that of kinds.
	Version  uint64    `json:"version,omitempty" validate:"-"`
	Routes   []Route   `json:"routes,omitempty" validate:"-"`
	Services []Service `json:"services,omitempty" validate:"-"`
	Limits   *Limits   `json:"limits,omitempty" validate:"-"`
	Tenants  []Tenant  `json:"tenants,omitempty" validate:"-"`
	// RequireKeys means that requests need a tenant's key, except on public routes. It is set once tenants have been
	// declared, and stays set if none is left.
	RequireKeys bool `json:"requireKeys,omitempty" validate:"-"`

	Index *Index `json:"-" validate:"-"`
}

// Routed reports whether the declaration is by routes and services, rather than by kinds.
func (d *Declaration) Routed() bool { return d.Version > 0 }

// Replica declares the capacity of a replica.
type Replica struct {
	CapacityMB int64 `json:"roomMb" validate:"required,min=1"`
}

// Store bounds the loads of all replicas together from the store of weights: the number of concurrent loads, and the rate in
// MB per second with a burst in MB.
type Store struct {
	Loads       int   `json:"loads" validate:"required,min=1,max=64"`
	MBPerSecond int64 `json:"mbPerSecond" validate:"required,min=1"`
	BurstMB     int64 `json:"burstMb" validate:"required,min=1"`
}

// Scaler configures how replica counts follow call rates: the number of standby replicas, the difference in percent up to
// which two latencies count as equal, so that fewer replicas are preferred, and the window over which rates are measured.
type Scaler struct {
	StandbyReplicas     int `json:"spares" validate:"min=0,max=64"`
	LatencyTolerancePct int `json:"similarPct" validate:"min=0,max=100"`
	WindowMs            int `json:"windowMs" validate:"required,min=500,max=600000"`
}

// Policy is a placement policy with its name and its Starlark program.
type Policy struct {
	Name   string `json:"name" validate:"required,max=64"`
	Source string `json:"source" validate:"required,max=65536"`
}

// Kind is a class of calls. Urgency ranges from 1 to 9; 9 is the most urgent.
type Kind struct {
	Name       string `json:"name" validate:"required,max=64"`
	Urgency    int    `json:"urgency" validate:"required,min=1,max=9"`
	Resumable  bool   `json:"resumable"`
	DeadlineMs int64  `json:"expiryMs" validate:"required,min=100,max=86400000"`
}

// Model is a model with its capacity table, which is measured offline. Weight is its importance relative to other models
// with the same rate.
type Model struct {
	Name     string          `json:"name" validate:"required,max=64"`
	SizeMB   int64           `json:"sizeMb" validate:"required,min=1"`
	LoadMs   int64           `json:"loadMs" validate:"required,min=1"`
	Weight   int             `json:"weight" validate:"min=0,max=100"`
	Capacity []CapacityPoint `json:"table" validate:"required,min=1,max=64,dive"`
}

// CapacityPoint is the throughput that a number of replicas of one model sustain, and their latency.
type CapacityPoint struct {
	Replicas       int     `json:"replicas" validate:"required,min=1"`
	CallsPerSecond float64 `json:"perSecond" validate:"required,gt=0"`
	LatencyMs      int64   `json:"latencyMs" validate:"required,min=1"`
}

// Adapter is an adapter of one model, loaded in addition to it.
type Adapter struct {
	Name   string `json:"name" validate:"required,max=64"`
	Model  string `json:"model" validate:"required"`
	SizeMB int64  `json:"sizeMb" validate:"required,min=1"`
	LoadMs int64  `json:"loadMs" validate:"required,min=1"`
}

// Model returns the model of that name, or nil if there is none.
func (d *Declaration) Model(name string) *Model {
	return findByName(d.Models, name, func(m *Model) string { return m.Name })
}

// Adapter returns the adapter of that name, or nil if there is none.
func (d *Declaration) Adapter(name string) *Adapter {
	return findByName(d.Adapters, name, func(a *Adapter) string { return a.Name })
}

// Kind returns the kind of that name or, in a declaration by routes, a kind derived from the route of that name. It returns
// nil if there is none.
func (d *Declaration) Kind(name string) *Kind {
	if d.Routed() {
		if r := d.Route(name); r != nil {
			return &Kind{Name: r.Name, Urgency: max(1, 9-r.Priority), Resumable: r.Retryable(), DeadlineMs: r.TimeoutMs}
		}
		return nil
	}
	return findByName(d.Kinds, name, func(k *Kind) string { return k.Name })
}

// IsDrained reports whether operators have drained a zone.
func (d *Declaration) IsDrained(zone string) bool { return slices.Contains(d.DrainedZones, zone) }

// HasZone reports whether a zone is declared.
func (d *Declaration) HasZone(zone string) bool { return slices.Contains(d.Zones, zone) }

// UnitSize returns the size of a model or an adapter; ok is false for an unknown name.
func (d *Declaration) UnitSize(unit string) (sizeMb, loadMs int64, ok bool) {
	if m := d.Model(unit); m != nil {
		return m.SizeMB, m.LoadMs, true
	}
	if a := d.Adapter(unit); a != nil {
		return a.SizeMB, a.LoadMs, true
	}
	return 0, 0, false
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

// Validate validates a struct by its validate tags and returns all faults, with the paths of the fields.
func Validate(code fault.Code, v any) *fault.List {
	faults := &fault.List{}
	err := validate.Struct(v)
	if err == nil {
		return faults
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		faults.Addf(code, "", "%v", err)
	}
	for _, e := range violations {
		path := e.Namespace()
		if i := strings.IndexByte(path, '.'); i >= 0 {
			path = path[i+1:]
		}
		rule := e.Tag()
		if e.Param() != "" {
			rule += " " + e.Param()
		}
		faults.Addf(code, path, "must satisfy %q, has %v", rule, brief(e.Value()))
	}
	return faults
}

func brief(v any) string {
	text := fmt.Sprintf("%v", v)
	if len(text) > 60 {
		text = text[:60] + "…"
	}
	return text
}

// PolicyCheck compiles the source of a policy. It is passed in so that this package does not depend on an interpreter.
type PolicyCheck func(name, source string) *fault.Fault

// Decode decodes one declaration and rejects unknown fields. It performs no other validation.
func Decode(raw []byte) (*Declaration, *fault.Fault) {
	d := &Declaration{}
	if bad := fault.DecodeJSON(raw, d); bad != nil {
		return nil, bad
	}
	return d, nil
}

// Check returns all faults of a declaration by kinds, or nil if there are none. If policy is nil, policies are not compiled.
// Declarations by routes are validated by CheckRoutes.
func Check(d *Declaration, policy PolicyCheck) *fault.Fault {
	faults := Validate(fault.InvalidConfig, d)
	for i, z := range d.DrainedZones {
		if !d.HasZone(z) {
			faults.Addf(fault.InvalidConfig, fmt.Sprintf("emptied[%d]", i), "zone %q is not declared", z)
		}
	}
	names := map[string]string{}
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		names[m.Name] = path
		if m.SizeMB > d.Replica.CapacityMB {
			faults.Addf(fault.InvalidConfig, path+".sizeMb", "%d MB fits no replica of %d MB", m.SizeMB, d.Replica.CapacityMB)
		}
		if m.SizeMB > d.Store.BurstMB {
			faults.Addf(fault.InvalidConfig, path+".sizeMb", "%d MB can never be loaded within a burst of %d MB", m.SizeMB, d.Store.BurstMB)
		}
		checkCapacity(faults, path, m.Capacity)
	}
	for i, a := range d.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		if other, taken := names[a.Name]; taken {
			faults.Addf(fault.InvalidConfig, path+".name", "%q is already the name of %s", a.Name, other)
		}
		names[a.Name] = path
		base := d.Model(a.Model)
		if base == nil {
			faults.Addf(fault.InvalidConfig, path+".model", "no model %q", a.Model)
		} else if base.SizeMB+a.SizeMB > d.Replica.CapacityMB {
			faults.Addf(fault.InvalidConfig, path+".sizeMb", "with its model %d MB fits no replica of %d MB", base.SizeMB+a.SizeMB, d.Replica.CapacityMB)
		}
	}
	if policy != nil {
		if f := policy(d.Policy.Name, d.Policy.Source); f != nil {
			f.Field = "policy.source"
			faults.Add(f)
		}
		for i, p := range d.Shadows {
			if f := policy(p.Name, p.Source); f != nil {
				f.Field = fmt.Sprintf("shadows[%d].source", i)
				faults.Add(f)
			}
		}
	}
	return faults.Combined(fault.InvalidConfig)
}

func checkCapacity(faults *fault.List, path string, table []CapacityPoint) {
	for i, p := range table {
		at := fmt.Sprintf("%s.table[%d]", path, i)
		if p.Replicas != i+1 {
			faults.Addf(fault.InvalidConfig, at+".replicas", "the table has a gap: want %d, has %d", i+1, p.Replicas)
		}
		if i > 0 && p.CallsPerSecond < table[i-1].CallsPerSecond {
			faults.Addf(fault.InvalidConfig, at+".perSecond", "throughput falls as replicas grow")
		}
	}
}

// Parse decodes a declaration by kinds and validates it with Check.
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

// Merge applies a JSON merge patch to a declaration and returns the resulting JSON without validating it.
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
