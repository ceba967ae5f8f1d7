package chain

import "petreltide/internal/api/fault"

// unreadable says why a message is not read at all: it is of a later version, its sender belongs to another chain, or
// it is malformed. Nothing of it is taken up, and nothing is sent back.
func (n *Node) unreadable(m Msg) *fault.Fault {
	if m.Form > MessageForm {
		return fault.New(fault.UnknownFormat, "form", "a message of form %d from %s at %s; this version reads up to %d", m.Form, m.From.ID, m.From.Addr, MessageForm)
	}
	for _, v := range m.views() {
		if n.foreign(v) {
			return fault.New(fault.ForeignMember, "system", "%s at %s belongs to the chain that %s founded, this is the one of %s", m.From.ID, m.From.Addr, v.System, n.view.System)
		}
	}
	return m.malformed()
}

// views are all that a message would have its reader take up.
func (m Msg) views() (all []View) {
	if m.Hello != nil {
		all = append(all, m.Hello.View)
		if m.Hello.Accepted != nil {
			all = append(all, m.Hello.Accepted.View)
		}
	}
	if m.Accept != nil {
		all = append(all, m.Accept.View)
	}
	if m.Promise != nil && m.Promise.Accepted != nil {
		all = append(all, m.Promise.Accepted.View)
	}
	return all
}

// foreign: the view is one of another chain. One that has no chain yet may join either.
func (n *Node) foreign(v View) bool {
	return v.System != "" && n.view.System != "" && v.System != n.view.System
}
