package wire

// Grant lets a gateway number its attempts at a replica from From up to, not including, To.
type Grant struct {
	// Number is the grant's own, from the same sequence as commands: a later grant has a higher one.
	Number uint64 `json:"ticket"`
	// Epoch is the leader's that issued it.
	Epoch uint64 `json:"epoch"`
	// Gateway and GatewayIncarnation are the process that may use it.
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	// Replica and Incarnation are where its numbers count.
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	// Model is the model that the attempts call.
	Model string `json:"model"`
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
}

// GrantKey identifies the one grant that a gateway has for a model at a replica, as snapshots name it:
// "gateway|replica|model". It is compared and never cut open, as a name may hold the separator.
type GrantKey string

// Key returns the key of the grant in State.Grants.
func (g Grant) Key() GrantKey { return GrantKey(g.Gateway + "|" + g.Replica + "|" + g.Model) }
