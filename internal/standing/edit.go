package standing

import (
	"petreltide/internal/fault"
)

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
