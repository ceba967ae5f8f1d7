package standing

import (
	"fmt"
	"strings"

	"petreltide/internal/fault"
)

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
