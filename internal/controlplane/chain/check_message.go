package chain

import "petreltide/internal/api/fault"

// checkMessage returns why a message must be discarded: it is of a later version, its sender belongs to another chain, or it is
// malformed. A discarded message has no effect and gets no answer.
func (n *Node) checkMessage(m Msg) *fault.Fault {
	if m.Version > MessageVersion {
		return fault.New(fault.UnknownFormat, "form", "a message of version %d from %s at %s; this release reads up to %d", m.Version, m.From.ID, m.From.Addr, MessageVersion)
	}
	for _, v := range m.carriedViews() {
		if n.isForeign(v) {
			return fault.New(fault.ForeignMember, "system", "%s at %s belongs to the chain founded by %s; this chain was founded by %s", m.From.ID, m.From.Addr, v.System, n.view.System)
		}
	}
	return m.validate()
}

// carriedViews returns all views in a message that its receiver may adopt.
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

// isForeign reports whether the view belongs to another chain. A view without a chain is not foreign, as its member may join any.
func (n *Node) isForeign(v View) bool {
	return v.System != "" && n.view.System != "" && v.System != n.view.System
}
