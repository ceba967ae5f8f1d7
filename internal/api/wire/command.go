package wire

// Action is the operation that a command requests from a replica.
type Action string

// The actions that a command can request.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// ReplicaCommand tells one incarnation of a replica to load or unload one unit. A replica has at most one pending
// command; commands are numbered without gaps together with grants, and fenced by the epoch they were issued under.
type ReplicaCommand struct {
	// Number and Epoch are assigned by the state machine when the command is issued.
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
	// Revision is the configuration revision that the command was proposed under; it is refused under any other.
	Revision    uint64 `json:"revision"`
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	Action      Action `json:"step"`
	// Unit is a model, or an adapter as "model/adapter".
	Unit string `json:"unit"`
	// SizeMB is the unit's size in MB: the declared size for a load, the recorded size for an unload. The state machine
	// sets it.
	SizeMB int64 `json:"sizeMb"`
	// Reason is the placement policy's human-readable reason; empty if it gave none.
	Reason string `json:"why,omitempty"`
}

// ResidentUnit is a unit that is loaded at a replica: a model, or an adapter as "model/adapter".
type ResidentUnit struct {
	Unit   string `json:"unit"`
	SizeMB int64  `json:"sizeMb"`
}
