package simulator

import (
	"fmt"
	"slices"

	"petreltide/internal/api/configuration"
)

// clientsHost is the host of all routes that clients send requests to.
const clientsHost = "cards.example"

// renameFaultKinds change names, routes and services while requests wait in the gateways.
var renameFaultKinds = []string{"rename-routes", "swap-route-names", "renumber-routes", "drop-route", "drop-service", "rename-tenants", "swap-tenant-names"}

const (
	// crowdGapUs is the time between two of the requests that crowd around a change of names, so that some wait for a slot; crowdUs is
	// how long before the change they begin to come.
	crowdGapUs = 2 * millisecond
	crowdUs    = 800 * millisecond
)

// renameFault lets requests crowd, and then changes names. It is false for every other fault, and where nothing can be renamed.
func (d *routedDay) renameFault(f Fault) bool {
	ops := d.operators
	var act func(done func())
	switch f.Kind {
	case "rename-routes", "swap-route-names", "renumber-routes":
		act = ops.renameRoutes(f)
	case "drop-route":
		act = ops.dropRoute(f)
	case "drop-service":
		act = ops.dropService
	case "rename-tenants", "swap-tenant-names":
		if d.tenants == nil {
			return false
		}
		act = ops.renameTenants(f)
	default:
		return false
	}
	d.clients.crowd(d.nowUs + crowdUs + f.DurationUs/4)
	d.schedule(d.nowUs+crowdUs, func() { ops.do(act) })
	return true
}

// crowd sends more requests without a model than their replicas have slots for, until a time. Nothing is owed for them.
func (c *clients) crowd(untilUs int64) {
	if c.day.nowUs >= untilUs || c.day.handed {
		return
	}
	row, _ := c.day.tenants.pick()
	c.requestCount++
	class := &classes[len(classes)-1-c.requestCount%2]
	s := &clientRequest{clients: c, class: class, firstUs: c.day.nowUs, tenant: row, extra: true, body: fmt.Sprintf("c%d/1", c.requestCount)}
	s.send()
	c.day.schedule(c.day.nowUs+crowdGapUs, func() { c.crowd(untilUs) })
}

// renameRoutes sends a version in which the routes of clients have other names at the same places: new ones, each other's, or the
// next one's after a new first route.
func (ops *routedOperators) renameRoutes(f Fault) func(done func()) {
	return func(done func()) {
		number := ops.draw()
		names, renamed, added := []string{}, []configuration.Route{}, []configuration.Route{}
		for _, r := range ops.newest.routes {
			if r.Host == clientsHost {
				names, renamed = append(names, r.Name), append(renamed, r)
			}
		}
		shift := 1 + f.N%max(len(names)-1, 1)
		for i := range renamed {
			switch f.Kind {
			case "rename-routes":
				renamed[i].Name = fmt.Sprintf("route-%d-%d", number, i)
			case "swap-route-names":
				renamed[i].Name = names[(i+shift)%len(names)]
			case "renumber-routes":
				renamed[i].Name = fmt.Sprintf("r-%d", i+shift)
			}
		}
		if f.Kind == "renumber-routes" {
			for i := range shift {
				added = append(added, routeOf(fmt.Sprintf("r-%d", i), opsHost, bigPrefix(number, i), configuration.Idempotent, to("log")))
			}
		}
		ops.sendRoutes(number, append(renamed, added...), names, done)
	}
}

// sendRoutes sends a version with these routes in place of those of the given names, as an update or whole.
func (ops *routedOperators) sendRoutes(number uint64, routes []configuration.Route, replaced []string, done func()) {
	base := ops.newest
	routes = append(routes, fingerprintRoute(number))
	remove := slices.DeleteFunc(slices.Clone(replaced), func(name string) bool {
		return slices.ContainsFunc(routes, func(r configuration.Route) bool { return r.Name == name })
	})
	// A name that an earlier version of these operators gave to a route of theirs may be taken.
	kept := slices.DeleteFunc(slices.Clone(base.routes), func(r configuration.Route) bool { return slices.Contains(remove, r.Name) })
	var edit *configuration.Edit
	if ops.random.Intn(2) > 0 {
		edit = &configuration.Edit{Routes: routes, RemoveRoutes: remove}
	}
	v := ops.version(number, base, edited(kept, routes, nil), edit, true)
	ops.recordFingerprint(v)
	ops.send(v, func(status int) { ops.onAnswer(v, status, done) })
}

// dropRoute sends a version without one of the routes of clients, and right after it one that has the route again, under another
// name.
func (ops *routedOperators) dropRoute(f Fault) func(done func()) {
	return func(done func()) {
		dropped := []configuration.Route{}
		for _, r := range ops.newest.routes {
			if r.Host == clientsHost {
				dropped = append(dropped, r)
			}
		}
		if len(dropped) < len(classes) {
			// The drop before is in force, and what added the route back is not.
			done()
			return
		}
		route := dropped[f.A%len(dropped)]
		ops.sendRoutes(ops.draw(), nil, []string{route.Name}, func() {
			back := route
			number := ops.draw()
			back.Name = fmt.Sprintf("route-%d-back", number)
			if slices.ContainsFunc(ops.newest.routes, func(r configuration.Route) bool { return r.Place() == route.Place() }) {
				done()
				return
			}
			ops.sendRoutes(number, []configuration.Route{back}, nil, done)
		})
	}
}

// dropService sends a version in which no route leads to a service and the service is gone, and right after it one that has both
// again.
func (ops *routedOperators) dropService(done func()) {
	const dropped, instead = "log-b", "log"
	moved := []configuration.Route{}
	for _, r := range ops.newest.routes {
		if slices.ContainsFunc(r.Split, func(w configuration.WeightedService) bool { return w.Service == dropped }) {
			r.Split = []configuration.WeightedService{to(instead)}
			moved = append(moved, r)
		}
	}
	ops.droppedService = dropped
	ops.sendRoutes(ops.draw(), moved, nil, func() {
		ops.droppedService = ""
		back := []configuration.Route{}
		for _, r := range ops.newest.routes {
			if r.Host == clientsHost && slices.ContainsFunc(r.Split, func(w configuration.WeightedService) bool { return w.Service == instead }) {
				r.Split = []configuration.WeightedService{to(dropped)}
				back = append(back, r)
			}
		}
		ops.sendRoutes(ops.draw(), back, nil, done)
	})
}

// renameTenants sends a version in which tenants have other names with the keys that they hold: new ones, or each other's.
func (ops *routedOperators) renameTenants(f Fault) func(done func()) {
	return func(done func()) {
		number := ops.number
		ops.tenantChange = func(all []configuration.Tenant) {
			a, b := f.A%len(all), f.B%len(all)
			if f.Kind == "swap-tenant-names" {
				all[a].Name, all[b].Name = all[b].Name, all[a].Name
				return
			}
			all[a].Name = fmt.Sprintf("tenant-%d-%d", number, a)
		}
		ops.change(done)
	}
}

// countRenamed counts the requests that wait at a gateway which is about to learn that the routes or tenants of some of them have
// other names.
func (g *routedGateway) countRenamed(declaration *configuration.Declaration) {
	if !g.day.plan.Renames || g.snapshot == nil || g.snapshot.Declaration == nil || g.snapshot.Declaration == declaration {
		return
	}
	for _, x := range g.open {
		if x.call == nil || x.current != nil {
			continue
		}
		if r := declaration.Match(x.attempt.Host, x.attempt.Path); r == nil {
			g.day.caused["waited-without-route"]++
		} else if r.Name != x.call.Kind {
			g.day.caused["waited-through-rename"]++
		}
		if t := declaration.TenantOfKeyDigest(x.call.Routed.KeyDigest); t != nil && t.Name != x.call.Routed.Tenant {
			g.day.caused["waited-through-tenant-rename"]++
		}
	}
}
