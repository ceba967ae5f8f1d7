package wire

// Action is what a command asks of a replica.
type Action string

// The actions of a command.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// ReplicaCommand tells one incarnation of a replica to load or unload one unit. A replica has at most one pending
// command; commands are numbered without gaps together with grants, and fenced by the epoch they were issued under.
type ReplicaCommand struct {
	// Number and Epoch are given by the state as the command is issued.
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
	// Revision is the one that the command was proposed under; it is refused under any other.
	Revision    uint64 `json:"revision"`
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	Action      Action `json:"step"`
	// Unit is a model, or an adapter as "model/adapter".
	Unit string `json:"unit"`
	// SizeMB is the unit's size: the declared one of a load, the recorded one of an unload. The state fills it in.
	SizeMB int64 `json:"sizeMb"`
	// Reason is the placement policy's, for people; empty where it gave none.
	Reason string `json:"why,omitempty"`
}

// ResidentUnit is a model, or an adapter as "model/adapter", at a replica.
type ResidentUnit struct {
	Unit   string `json:"unit"`
	SizeMB int64  `json:"sizeMb"`
}
