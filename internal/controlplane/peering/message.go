// Package peering holds the messages that control nodes send each other as JSON: those of the replication chain, and the soft
// state that each of them has heard of replicas and gateways. Package controlnode sends and takes them. Gateways see none of
// them; what they are sent stands in package wire. It has no behaviour, and a field once sent keeps its name.
package peering

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/failuredetector"
	"petreltide/internal/outlier"
)

// Message is one message between control nodes; exactly one field is set.
type Message struct {
	Chain             *chain.Msg                       `json:"chain,omitempty"`
	Result            *wire.Result                     `json:"result,omitempty"`
	Report            *wire.Report                     `json:"report,omitempty"`
	Suspicion         *failuredetector.SuspicionReport `json:"silence,omitempty"`
	Gossip            *Gossip                          `json:"heard,omitempty"`
	DrainConfirmation *DrainConfirmation               `json:"confirmed,omitempty"`
	Outliers          *outlier.Table                   `json:"outlier,omitempty"`
}

// Batch is a number of one-way messages sent together from one control node to another.
type Batch struct {
	Messages []Message `json:"letters"`
}

// Gossip is what a control node has heard of replicas and gateways, told to the other control nodes. Wants asks for
// all rows again.
type Gossip struct {
	Sender       string                 `json:"by"`
	Incarnation  string                 `json:"inc"`
	Observations []registry.GossipEntry `json:"notes,omitempty"`
	RequestAll   bool                   `json:"wants,omitempty"`
	Gateways     []string               `json:"desks,omitempty"`
	// ConfirmDraining names replicas that leave: whoever knows of it says so.
	ConfirmDraining []string `json:"confirm,omitempty"`
}

// KnownDraining is a replica that a control node knows to be leaving, or to be gone.
type KnownDraining struct {
	ID      string `json:"id"`
	Removed bool   `json:"gone,omitempty"`
}

// DrainConfirmation answers Confirm. Incarnation is the incarnation of the control node that asked.
type DrainConfirmation struct {
	Sender      string          `json:"by"`
	Incarnation string          `json:"inc"`
	Draining    []KnownDraining `json:"leaving"`
}
