package chain

import "petreltide/internal/api/membership"

// The identities and views that gateways follow as well stand in package membership. The chain's own names for them are
// aliases, as it is about little else.
type (
	// Member is a control node by the identity that its disk holds.
	Member = membership.Member
	// Replica is a place in the order of a view, held by one process of a member.
	Replica = membership.ChainReplica
	// View says who votes on the next view and which processes hold the log, head first.
	View = membership.View
)
