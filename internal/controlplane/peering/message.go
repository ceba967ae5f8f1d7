// Package peering defines the messages that control nodes send each other as JSON: those of the replication chain, and gossip
// about the replicas and gateways that each of them knows. Package controlnode sends and receives them. Messages to and from
// gateways are defined in package wire. The package contains only types; a field that has been sent once keeps its JSON name.
package peering

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/failuredetector"
	"petreltide/internal/outlier"
)

// Message is a message between control nodes; exactly one field is set.
type Message struct {
	Chain             *chain.Msg                       `json:"chain,omitempty"`
	Result            *wire.Result                     `json:"result,omitempty"`
	Report            *wire.Report                     `json:"report,omitempty"`
	Suspicion         *failuredetector.SuspicionReport `json:"silence,omitempty"`
	Gossip            *Gossip                          `json:"heard,omitempty"`
	DrainConfirmation *DrainConfirmation               `json:"confirmed,omitempty"`
	Outliers          *outlier.Table                   `json:"outlier,omitempty"`
}

// Batch is a list of one-way messages that one control node sends to another in one call.
type Batch struct {
	Messages []Message `json:"letters"`
}

// Gossip tells another control node what the sender knows of replicas and gateways.
type Gossip struct {
	// Sender and Incarnation identify the control node that sends the message.
	Sender       string                 `json:"by"`
	Incarnation  string                 `json:"inc"`
	Observations []registry.GossipEntry `json:"notes,omitempty"`
	// RequestAll asks the recipient to send all of its entries again.
	RequestAll bool `json:"wants,omitempty"`
	// Gateways are the gateways whose primary subscription is at the sender.
	Gateways []string `json:"desks,omitempty"`
	// ConfirmDraining are the IDs of replicas that are draining or have ended. The recipient answers with a DrainConfirmation of
	// those of which it knows that. Only builds that do not record departures in the replicated state send it.
	ConfirmDraining []string `json:"confirm,omitempty"`
}

// KnownDraining is a replica that a control node knows to be draining or, if Removed, to have ended.
type KnownDraining struct {
	ID      string `json:"id"`
	Removed bool   `json:"gone,omitempty"`
}

// DrainConfirmation answers the ConfirmDraining of a Gossip. Sender is the control node that answers; Incarnation is the
// incarnation of the control node that asked.
type DrainConfirmation struct {
	Sender      string          `json:"by"`
	Incarnation string          `json:"inc"`
	Draining    []KnownDraining `json:"leaving"`
}
