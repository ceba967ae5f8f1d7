// Package quota asks the control nodes, on behalf of one gateway, whether requests of tenants with a limit may be executed.
// Client is a reducer: its inputs are requests, responses and the newest view of the chain, and its outputs are queries to
// control nodes and decisions on requests.
//
// A request is admitted by a token that a control node granted after the request had arrived, and the request is sent to a
// replica after that. No token is kept from one response for a later request. So a gateway that is partitioned or frozen
// holds nothing of a tenant's limit, and only the clock of the control node matters.
//
// The tail of the chain counts for all gateways (package controlplane/quota). If the tail does not respond, a gateway queries
// two other voters, each of which may grant a few tokens from its own reserve. If none of them does, the request is refused
// as unanswered.
package quota
