package chain

import "petreltide/internal/api/membership"

// Identities and views are declared in package membership, as gateways use them too. The aliases give them short names in
// this package, which uses them throughout.
type (
	// Member is a control node, identified by the ID stored on its disk.
	Member = membership.Member
	// Replica is a position in the chain of a view, held by one process of a member.
	Replica = membership.ChainReplica
	// View is a configuration of the chain: the voters on the next view, and the replicas of the log, head first.
	View = membership.View
)
