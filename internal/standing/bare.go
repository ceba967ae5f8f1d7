package standing

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// Mark is a short name for what an operator sent, so that the same order is known again.
func Mark(raw []byte) string {
	h := fnv.New128a()
	_, _ = h.Write(raw)
	return fmt.Sprintf("%x", h.Sum(nil))
}

// Bare is the declaration without the operator's own text, as desks need it.
func (d *Declaration) Bare() *Declaration {
	n := *d
	n.Index = nil
	n.Routes = slices.Clone(d.Routes)
	for i := range n.Routes {
		n.Routes[i].Source = nil
	}
	n.Services = slices.Clone(d.Services)
	for i := range n.Services {
		n.Services[i].Source = nil
	}
	if d.Limits != nil {
		l := *d.Limits
		l.Source = nil
		n.Limits = &l
	}
	return n.Indexed()
}

func (e *Edit) Bare() *Edit {
	n := *e
	n.Routes, n.Services = slices.Clone(e.Routes), slices.Clone(e.Services)
	for i := range n.Routes {
		n.Routes[i].Source = nil
	}
	for i := range n.Services {
		n.Services[i].Source = nil
	}
	if e.Limits != nil {
		l := *e.Limits
		l.Source = nil
		n.Limits = &l
	}
	return &n
}
