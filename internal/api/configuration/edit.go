package configuration

import (
	"petreltide/internal/api/fault"
)

// Edit adds, replaces or removes routes, services and tenants by name, and replaces the limits if it has any. Everything
// else stays unchanged.
type Edit struct {
	Version        uint64    `json:"version"`
	Routes         []Route   `json:"routes,omitempty"`
	Services       []Service `json:"services,omitempty"`
	RemoveRoutes   []string  `json:"removeRoutes,omitempty"`
	RemoveServices []string  `json:"removeServices,omitempty"`
	Limits         *Limits   `json:"limits,omitempty"`
	Tenants        []Tenant  `json:"tenants,omitempty"`
	RemoveTenants  []string  `json:"removeTenants,omitempty"`
}

// Apply returns a copy of the declaration with an edit applied; the receiver is not modified.
func (d *Declaration) Apply(e *Edit) (*Declaration, *fault.Fault) {
	faults := &fault.List{}
	n := *d
	n.Index = nil
	n.Version = e.Version
	routes := itemsEdit[Route]{field: "routes", upsert: e.Routes, remove: e.RemoveRoutes, name: func(r *Route) string { return r.Name }}
	n.Routes = routes.apply(faults, d.Routes)
	services := itemsEdit[Service]{field: "services", upsert: e.Services, remove: e.RemoveServices, name: func(s *Service) string { return s.Name }}
	n.Services = services.apply(faults, d.Services)
	tenants := itemsEdit[Tenant]{field: "tenants", upsert: e.Tenants, remove: e.RemoveTenants, name: func(t *Tenant) string { return t.Name }}
	n.Tenants = nil
	if edited := tenants.apply(faults, d.Tenants); len(edited) > 0 {
		n.Tenants = edited
	}
	n.RequireKeys = d.RequireKeys || len(n.Tenants) > 0
	if e.Limits != nil {
		n.Limits = e.Limits
	}
	return &n, faults.Combined(fault.InvalidConfig)
}

// itemsEdit edits a list of named items. An item in upsert replaces the item of the same name or is appended; the items named
// in remove are removed. An item that is in both is kept.
type itemsEdit[T any] struct {
	field  string
	upsert []T
	remove []string
	name   func(*T) string
}

func (e *itemsEdit[T]) apply(faults *fault.List, current []T) []T {
	removed := map[string]bool{}
	for _, name := range e.remove {
		removed[name] = true
	}
	upserts := e.byName(faults)
	placed := make(map[string]bool, len(e.upsert))
	edited := make([]T, 0, len(current)+len(e.upsert))
	for i := range current {
		name := e.name(&current[i])
		if at, ok := upserts[name]; ok {
			edited = append(edited, e.upsert[at])
			placed[name] = true
		} else if !removed[name] {
			edited = append(edited, current[i])
		}
	}
	for i := range e.upsert {
		if name := e.name(&e.upsert[i]); !placed[name] {
			edited = append(edited, e.upsert[i])
			placed[name] = true
		}
	}
	return edited
}

// byName returns the indexes of the upserted items by name, and adds a fault for a duplicate name.
func (e *itemsEdit[T]) byName(faults *fault.List) map[string]int {
	at := map[string]int{}
	for i := range e.upsert {
		name := e.name(&e.upsert[i])
		if _, twice := at[name]; twice {
			faults.Addf(fault.InvalidConfig, e.field, "%q is named twice", name)
		}
		at[name] = i
	}
	return at
}
