package standing

import (
	"fmt"
	"strings"

	"petreltide/internal/fault"
)

// CheckRoutes collects what is wrong with routes, services and limits: the fields of each item by their tags, then
// what items say of each other.
func (d *Declaration) CheckRoutes() *fault.Fault {
	c := routesCheck{sheet: &fault.Sheet{}, services: map[string]bool{}, routes: map[string]bool{}, places: map[string]string{}}
	for i := range d.Services {
		c.service(fmt.Sprintf("services[%d]", i), &d.Services[i])
	}
	for i := range d.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), &d.Routes[i])
	}
	if d.Limits != nil {
		c.fields("limits", d.Limits)
	}
	return c.sheet.As(fault.InvalidConfig)
}

// routesCheck goes through a declaration once, services before routes, and gathers its faults.
type routesCheck struct {
	sheet *fault.Sheet
	// services and routes are the names so far.
	services map[string]bool
	routes   map[string]bool
	// places are the paths of the routes so far, by host and prefix.
	places map[string]string
}

func (c *routesCheck) note(field, format string, args ...any) {
	c.sheet.Note(fault.InvalidConfig, field, format, args...)
}

// fields checks one item by its tags; path is where it stands in the declaration.
func (c *routesCheck) fields(path string, item any) {
	for _, f := range Struct(fault.InvalidConfig, item).Faults {
		f.Field = path + "." + f.Field
		c.sheet.Faults = append(c.sheet.Faults, f)
	}
}

// unique notes a name that was seen before.
func (c *routesCheck) unique(seen map[string]bool, path, name string) {
	if seen[name] {
		c.note(path+".name", "%q is named twice", name)
	}
	seen[name] = true
}

func (c *routesCheck) service(path string, s *Service) {
	c.fields(path, s)
	c.unique(c.services, path, s.Name)
	if s.Engine == nil {
		return
	}
	for i, m := range s.Engine.Models {
		if m.SizeMb > s.Engine.RoomMb {
			c.note(fmt.Sprintf("%s.engine.models[%d]", path, i), "%d MB fits no replica of %d MB", m.SizeMb, s.Engine.RoomMb)
		}
	}
}

func (c *routesCheck) route(path string, r *Route) {
	c.fields(path, r)
	c.unique(c.routes, path, r.Name)
	place := strings.ToLower(r.Host) + "\x00" + r.Prefix
	if other, taken := c.places[place]; taken {
		c.note(path, "%s has the same host and prefix", other)
	}
	c.places[place] = path
	c.split(path, r.Split)
}

func (c *routesCheck) split(path string, split []Weighted) {
	sum := 0
	for i, w := range split {
		sum += w.Weight
		if !c.services[w.Service] {
			c.note(fmt.Sprintf("%s.split[%d]", path, i), "no service %q", w.Service)
		}
	}
	if sum <= 0 {
		c.note(path+".split", "the weights add up to %d", sum)
	}
}
