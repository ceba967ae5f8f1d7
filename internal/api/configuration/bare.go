package configuration

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// Digest returns a hash of an operator's request, by which the same request is recognized when it is sent again.
func Digest(raw []byte) string {
	h := fnv.New128a()
	_, _ = h.Write(raw)
	return fmt.Sprintf("%x", h.Sum(nil))
}

// WithoutSource returns an indexed copy of the declaration without the operator's own text, as it is sent to gateways.
func (d *Declaration) WithoutSource() *Declaration {
	n := *d
	n.Index = nil
	n.Routes = routesWithoutSource(d.Routes)
	n.Services = servicesWithoutSource(d.Services)
	n.Tenants = tenantsWithoutSource(d.Tenants)
	n.Limits = d.Limits.withoutSource()
	return n.Indexed()
}

// WithoutSource returns a copy of the edit without the operator's own text, as it is sent to gateways.
func (e *Edit) WithoutSource() *Edit {
	n := *e
	n.Routes = routesWithoutSource(e.Routes)
	n.Services = servicesWithoutSource(e.Services)
	n.Tenants = tenantsWithoutSource(e.Tenants)
	n.Limits = e.Limits.withoutSource()
	return &n
}

func routesWithoutSource(routes []Route) []Route {
	bare := slices.Clone(routes)
	for i := range bare {
		bare[i].Source = nil
	}
	return bare
}

func servicesWithoutSource(services []Service) []Service {
	bare := slices.Clone(services)
	for i := range bare {
		bare[i].Source = nil
	}
	return bare
}

func (l *Limits) withoutSource() *Limits {
	if l == nil {
		return nil
	}
	bare := *l
	bare.Source = nil
	return &bare
}
