package configuration

import (
	"fmt"
	"strings"

	"petreltide/internal/api/fault"
)

// CheckRoutes returns all faults of routes, services, tenants and limits, or nil if there are none. It validates the fields
// of each item by their tags, and the references and conflicts between items.
func (d *Declaration) CheckRoutes() *fault.Fault {
	return d.checkRoutes(func(string) bool { return true }, true)
}

// CheckEdited is like CheckRoutes for the result of applying an edit to a valid declaration. It skips the fields of items
// that the edit does not name, as they have been validated before: the log of a restarted control node may hold hundreds of
// edits.
func (d *Declaration) CheckEdited(e *Edit) *fault.Fault {
	edited := make(map[string]bool, len(e.Routes)+len(e.Services)+len(e.Tenants))
	for i := range e.Tenants {
		edited[e.Tenants[i].Name] = true
	}
	for i := range e.Routes {
		edited[e.Routes[i].Name] = true
	}
	for i := range e.Services {
		edited[e.Services[i].Name] = true
	}
	return d.checkRoutes(func(name string) bool { return edited[name] }, e.Limits != nil)
}

// checkRoutes validates the fields of the items for whose names isNew is true, and those of the limits if newLimits is true.
func (d *Declaration) checkRoutes(isNew func(name string) bool, newLimits bool) *fault.Fault {
	c := routeChecker{
		faults: &fault.List{}, isNew: isNew,
		services: make(map[string]bool, len(d.Services)), routes: make(map[string]bool, len(d.Routes)), byKey: make(map[routeKey]int, len(d.Routes)),
		tenants: make(map[string]bool, len(d.Tenants)), keyHolders: map[string]int{},
	}
	for i := range d.Services {
		c.service(i, &d.Services[i])
	}
	for i := range d.Routes {
		c.route(i, &d.Routes[i])
	}
	for i := range d.Tenants {
		c.tenant(i, &d.Tenants[i])
	}
	if d.Limits != nil && newLimits {
		c.fields("limits", d.Limits)
	}
	return c.faults.Combined(fault.InvalidConfig)
}

// routeKey identifies the calls that a route receives by host, in lower case, and path prefix.
type routeKey struct{ host, prefix string }

// routeChecker validates a declaration in one pass, services before routes, and collects its faults.
type routeChecker struct {
	faults *fault.List
	// services and routes are the names seen so far.
	services map[string]bool
	routes   map[string]bool
	// byKey maps the keys of the routes seen so far to their indexes.
	byKey map[routeKey]int
	// tenants are the names seen so far. keyHolders maps the digest of a key to the index of the tenant that holds it.
	tenants    map[string]bool
	keyHolders map[string]int
	isNew      func(name string) bool
}

func servicePath(i int) string { return fmt.Sprintf("services[%d]", i) }

func routePath(i int) string { return fmt.Sprintf("routes[%d]", i) }

func (c *routeChecker) addf(field, format string, args ...any) {
	c.faults.Addf(fault.InvalidConfig, field, format, args...)
}

// fields validates one item by its tags; path is its position in the declaration.
func (c *routeChecker) fields(path string, item any) {
	for _, f := range Validate(fault.InvalidConfig, item).Faults {
		f.Field = path + "." + f.Field
		c.faults.Faults = append(c.faults.Faults, f)
	}
}

// unique adds a fault for a name that was seen before.
func (c *routeChecker) unique(seen map[string]bool, path func(int) string, i int, name string) {
	if seen[name] {
		c.addf(path(i)+".name", "%q is named twice", name)
	}
	seen[name] = true
}

func (c *routeChecker) service(i int, s *Service) {
	isNew := c.isNew(s.Name)
	if isNew {
		c.fields(servicePath(i), s)
	}
	c.unique(c.services, servicePath, i, s.Name)
	if s.Engine == nil || !isNew {
		return
	}
	for j, m := range s.Engine.Models {
		if m.SizeMB > s.Engine.CapacityMB {
			c.addf(fmt.Sprintf("%s.engine.models[%d]", servicePath(i), j), "%d MB fits no replica of %d MB", m.SizeMB, s.Engine.CapacityMB)
		}
	}
}

func (c *routeChecker) route(i int, r *Route) {
	if c.isNew(r.Name) {
		c.fields(routePath(i), r)
	}
	c.unique(c.routes, routePath, i, r.Name)
	at := routeKey{strings.ToLower(r.Host), r.Prefix}
	if other, taken := c.byKey[at]; taken {
		c.addf(routePath(i), "%s has the same host and prefix", routePath(other))
	}
	c.byKey[at] = i
	c.split(i, r.Split)
}

func (c *routeChecker) split(i int, split []WeightedService) {
	sum := 0
	for j, w := range split {
		sum += w.Weight
		if !c.services[w.Service] {
			c.addf(fmt.Sprintf("%s.split[%d]", routePath(i), j), "no service %q", w.Service)
		}
	}
	if sum <= 0 {
		c.addf(routePath(i)+".split", "the weights add up to %d", sum)
	}
}
