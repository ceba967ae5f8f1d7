package wire

// Grant allows a gateway to use the attempt numbers from From up to, but not including, To at a replica.
type Grant struct {
	// Number identifies the grant. It is from the same sequence as command numbers: a later grant has a higher number.
	Number uint64 `json:"ticket"`
	// Epoch is the epoch of the leader that issued the grant.
	Epoch uint64 `json:"epoch"`
	// Gateway and GatewayIncarnation identify the process that may use the grant.
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	// Replica and Incarnation identify the replica process at which its numbers are valid.
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	// Model is the model that the attempts call.
	Model string `json:"model"`
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
}

// GrantKey identifies the single grant that a gateway has for a model at a replica, in the form used in snapshots:
// "gateway|replica|model". It is only compared and never parsed, as a name may contain the separator.
type GrantKey string

// Key returns the key of the grant in State.Grants.
func (g Grant) Key() GrantKey { return GrantKey(g.Gateway + "|" + g.Replica + "|" + g.Model) }
