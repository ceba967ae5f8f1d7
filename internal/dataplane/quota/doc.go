// Package quota asks the control nodes, for one gateway, whether requests of tenants with a limit may run. Client is a
// reducer: it takes requests, answers and the newest view, and says whom to ask and what is decided.
//
// A request is admitted by a token that a control node granted after the request had arrived, and it is sent to a replica
// after that. Nothing is kept from one answer for a later request, so that a gateway that is cut off or frozen holds nothing
// of a tenant's limit, and no clock but the control node's decides.
//
// The chain's tail counts for all (package controlplane/quota). Where it gives no answer, a gateway asks two other voters, who
// may grant a little out of reserves of their own; where nobody does, the request is refused as unanswered.
package quota
