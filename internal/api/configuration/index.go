package configuration

import (
	"strings"
)

// Index holds lookup tables of a declaration, so that a lookup does not scan its lists.
type Index struct {
	models   map[string]int
	adapters map[string]int
	routes   map[string]*Route
	services map[string]*Service
	units    map[string]*EngineModel
	hosts    map[string]map[string]*Route
	tenants  map[string]*Tenant
	// keyHolders maps the digest of a key to the tenant that holds it.
	keyHolders map[string]*Tenant
}

// Indexed builds the index of the declaration, if it has none, and returns the declaration. The declaration must not be
// modified afterwards.
func (d *Declaration) Indexed() *Declaration {
	if d.Index != nil {
		return d
	}
	x := &Index{
		models: make(map[string]int, len(d.Models)), adapters: make(map[string]int, len(d.Adapters)),
		routes: make(map[string]*Route, len(d.Routes)), services: make(map[string]*Service, len(d.Services)),
		units: map[string]*EngineModel{}, hosts: map[string]map[string]*Route{},
		tenants: make(map[string]*Tenant, len(d.Tenants)), keyHolders: make(map[string]*Tenant, 2*len(d.Tenants)),
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
	for i := range d.Tenants {
		t := &d.Tenants[i]
		x.tenants[t.Name] = t
		for _, digest := range t.KeyDigests {
			x.keyHolders[digest] = t
		}
	}
	d.Index = x
	return d
}

// findByName returns the first item of that name, or nil if there is none.
func findByName[T any](all []T, name string, of func(*T) string) *T {
	for i := range all {
		if of(&all[i]) == name {
			return &all[i]
		}
	}
	return nil
}

// Route returns the route of that name, or nil if there is none.
func (d *Declaration) Route(name string) *Route {
	if d.Index != nil {
		return d.Index.routes[name]
	}
	return findByName(d.Routes, name, func(r *Route) string { return r.Name })
}

// Service returns the service of that name, or nil if there is none.
func (d *Declaration) Service(name string) *Service {
	if d.Index != nil {
		return d.Index.services[name]
	}
	return findByName(d.Services, name, func(s *Service) string { return s.Name })
}

// EngineModel returns a model of a service's engine, or nil if there is none.
func (d *Declaration) EngineModel(service, model string) *EngineModel {
	if d.Index != nil {
		return d.Index.units[service+"\x00"+model]
	}
	s := d.Service(service)
	if s == nil || s.Engine == nil {
		return nil
	}
	return findByName(s.Engine.Models, model, func(m *EngineModel) string { return m.Name })
}

// Match returns the route of the host with the longest prefix of the path, or nil if there is none. A port in host is
// ignored. Every prefix ends with a slash. A declaration without an index matches nothing.
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
