package chain

import "petreltide/internal/api/fault"

// checkMessage says why a message is not read at all: it is of a later version, its sender belongs to another chain, or
// it is malformed. Nothing of it is taken up, and nothing is sent back.
func (n *Node) checkMessage(m Msg) *fault.Fault {
	if m.Version > MessageVersion {
		return fault.New(fault.UnknownFormat, "form", "a message of form %d from %s at %s; this version reads up to %d", m.Version, m.From.ID, m.From.Addr, MessageVersion)
	}
	for _, v := range m.carriedViews() {
		if n.isForeign(v) {
			return fault.New(fault.ForeignMember, "system", "%s at %s belongs to the chain that %s founded, this is the one of %s", m.From.ID, m.From.Addr, v.System, n.view.System)
		}
	}
	return m.validate()
}

// carriedViews are all that a message would have its reader take up.
func (m Msg) carriedViews() (all []View) {
	if m.Hello != nil {
		all = append(all, m.Hello.View)
		if m.Hello.AcceptedProposal != nil {
			all = append(all, m.Hello.AcceptedProposal.View)
		}
	}
	if m.Accept != nil {
		all = append(all, m.Accept.View)
	}
	if m.Promise != nil && m.Promise.AcceptedProposal != nil {
		all = append(all, m.Promise.AcceptedProposal.View)
	}
	return all
}

// isForeign: the view is one of another chain. One that has no chain yet may join either.
func (n *Node) isForeign(v View) bool {
	return v.System != "" && n.view.System != "" && v.System != n.view.System
}
